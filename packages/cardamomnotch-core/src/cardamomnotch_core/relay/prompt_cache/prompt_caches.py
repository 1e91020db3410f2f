"""Estimates of the prompt caches of all upstreams.

Answers one load: requests that share the beginnings of their prompts, at more upstreams
than can keep all of them.
"""

from collections.abc import Callable, Hashable, Mapping, Sequence

import attrs

from ..models import RequestFacts
from .const import (
    CACHED_PROMPT_TOKENS,
    MAX_CACHED_PARTS,
    MIN_PARTS_PER_UPSTREAM,
    OWN_TOKENS_STEP,
)
from .models import CachedPrompt, EvictedPart, Prefixes, PromptRun, list_prefixes
from .upstream_cache import UpstreamCache

_NOTHING = CachedPrompt(0, 0.0)


def _state_no_memory(service: str) -> int:
    """Return 0: the memory of the service's upstreams is not stated."""
    return 0


@attrs.define
class _TypicalRequest:
    """Own prompt tokens and output tokens of a request with a prompt."""

    own_tokens: float = 0.0
    output_tokens: float = 0.0
    count: int = 0

    def update(self, own_tokens: int, output_tokens: int) -> None:
        self.count += 1
        step = max(OWN_TOKENS_STEP, 1 / self.count)
        self.own_tokens += step * (own_tokens - self.own_tokens)
        self.output_tokens += step * (output_tokens - self.output_tokens)


class PromptCaches:
    """Estimates what each upstream has cached, from the requests of all entries.

    ``memory_of`` returns the memory in tokens that a service states; 0 if none.
    The requests of other entries are known by the shared parts of their prompts; the
    rest of them is taken to be as long as that of this entry's requests.
    """

    def __init__(self, memory_of: Callable[[str], int] = _state_no_memory) -> None:
        self._memory_of = memory_of
        self._caches: dict[str, UpstreamCache] = {}
        self._typical = _TypicalRequest()

    @property
    def caches(self) -> Mapping[str, UpstreamCache]:
        """Return the estimates by upstream id."""
        return self._caches

    def expected_cached(
        self, upstream_id: str, model: str, prefixes: Prefixes, now_s: float
    ) -> CachedPrompt:
        """Return what an upstream has probably cached of a prompt's beginning."""
        cache = self._caches.get(upstream_id)
        if cache is None:
            return _NOTHING
        return cache.expected_cached(model, prefixes, now_s)

    def would_evict(
        self, upstream_id: str, tokens: int, now_s: float
    ) -> Sequence[EvictedPart]:
        """Return parts that an upstream evicts if it reads ``tokens``."""
        cache = self._caches.get(upstream_id)
        return cache.would_evict(tokens, now_s) if cache is not None else ()

    def record_sent(
        self,
        upstream_id: str,
        service: str,
        key: Hashable,
        facts: RequestFacts,
        model: str,
        now_s: float,
    ) -> None:
        """Add a request of this entry; ``key`` identifies it."""
        if not facts.prompt_tokens and not facts.prompt:
            return
        prefixes = tuple(list_prefixes(facts.prompt))
        named = sum(tokens for _, tokens in prefixes)
        shared = sum(part.tokens for part in facts.prompt[:-1])
        prompt_tokens = max(named, facts.prompt_tokens)
        output = facts.expected_output_tokens or facts.max_output_tokens
        self._typical.update(prompt_tokens - shared, output)
        run = PromptRun(
            model=model,
            prefixes=prefixes,
            own_tokens=prompt_tokens - named,
            tokens=prompt_tokens + output,
            sent_at_s=now_s,
        )
        self._cache(upstream_id, service).record_sent(key, run)

    def record_sent_by_other(
        self,
        upstream_id: str,
        service: str,
        key: Hashable,
        prefixes: Prefixes,
        model: str,
        now_s: float,
    ) -> None:
        """Add a request of another entry, by the shared parts of its prompt."""
        if not prefixes:
            return
        own_tokens = round(self._typical.own_tokens)
        run = PromptRun(
            model=model,
            prefixes=tuple(prefixes),
            own_tokens=own_tokens,
            tokens=sum(tokens for _, tokens in prefixes)
            + own_tokens
            + round(self._typical.output_tokens),
            sent_at_s=now_s,
        )
        self._cache(upstream_id, service).record_sent(key, run)

    def record_read(self, upstream_id: str, key: Hashable, now_s: float) -> None:
        """Record that the prefill of a request has ended."""
        cache = self._caches.get(upstream_id)
        if cache is not None:
            cache.record_read(key, now_s)

    def record_ended(self, upstream_id: str, key: Hashable) -> None:
        """Remove a request that has ended."""
        cache = self._caches.get(upstream_id)
        if cache is not None:
            cache.record_ended(key)

    def forget(self, upstream_id: str) -> None:
        """Delete the estimate of an upstream whose process has ended."""
        self._caches.pop(upstream_id, None)

    def forget_entry(self, entry: str) -> None:
        """Remove the requests of an entry that is gone."""
        for cache in self._caches.values():
            cache.remove_matching(
                lambda key: isinstance(key, tuple) and key[0] == entry
            )

    def _cache(self, upstream_id: str, service: str) -> UpstreamCache:
        memory_tokens = self._memory_of(service)
        cache = self._caches.get(upstream_id)
        if cache is None:
            cache = UpstreamCache(memory_tokens, CACHED_PROMPT_TOKENS)
            self._caches[upstream_id] = cache
            self._share_parts()
        cache.set_memory(memory_tokens)
        return cache

    def _share_parts(self) -> None:
        """Divide the number of parts that are stored among the upstreams."""
        max_parts = max(MIN_PARTS_PER_UPSTREAM, MAX_CACHED_PARTS // len(self._caches))
        for cache in self._caches.values():
            cache.set_max_parts(max_parts)
