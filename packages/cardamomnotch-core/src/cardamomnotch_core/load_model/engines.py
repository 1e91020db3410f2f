"""An upstream of the load model."""

from collections import OrderedDict

import attrs

from .const import CACHE_TOKENS


@attrs.frozen(kw_only=True)
class EnginePrompt:
    """A request as an upstream of the load model sees it."""

    model: str
    # Names of the part that requests share and of the request's own part.
    subject: str
    own_part: str
    shared_tokens: int
    own_tokens: int
    output_tokens: int = 0

    @property
    def tokens(self) -> int:
        """Return the tokens of memory that the request holds while it runs."""
        return self.shared_tokens + self.own_tokens + self.output_tokens


@attrs.define
class Engine:
    """Reads prompts one after the other, and keeps their parts.

    ``memory_tokens`` is for running requests and cached parts together. If it is 0,
    only shared parts are kept, up to ``CACHE_TOKENS``.
    """

    memory_tokens: int = 0
    free_at_s: float = 0.0
    _running_tokens: int = 0
    _cached: OrderedDict[tuple[str, str], int] = attrs.field(factory=OrderedDict)
    _tokens: int = 0

    def read(self, prompt: EnginePrompt, s_per_token: float, now_s: float) -> float:
        """Read a prompt, and return when its prefill ends, in seconds."""
        unread = prompt.own_tokens
        if not self.holds(prompt):
            unread += prompt.shared_tokens
        if self.memory_tokens:
            self._running_tokens += prompt.tokens
            self._keep(prompt.model, prompt.own_part, prompt.own_tokens)
        self._keep(prompt.model, prompt.subject, prompt.shared_tokens)
        self._evict()
        self.free_at_s = max(now_s, self.free_at_s) + unread * s_per_token
        return self.free_at_s

    def end(self, prompt: EnginePrompt) -> None:
        """Release the memory of a request that has been read."""
        if self.memory_tokens:
            self._running_tokens -= prompt.tokens

    def holds(self, prompt: EnginePrompt) -> bool:
        """Return whether the shared part of a prompt is cached."""
        return (prompt.model, prompt.subject) in self._cached

    def _keep(self, model: str, part: str, tokens: int) -> None:
        key = (model, part)
        self._tokens += tokens - self._cached.get(key, 0)
        self._cached[key] = tokens
        self._cached.move_to_end(key)

    def _evict(self) -> None:
        limit, least = CACHE_TOKENS, 1
        if self.memory_tokens:
            limit, least = max(0, self.memory_tokens - self._running_tokens), 0
        while self._tokens > limit and len(self._cached) > least:
            _, evicted = self._cached.popitem(last=False)
            self._tokens -= evicted
