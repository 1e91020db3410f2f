"""Estimate of one upstream's prompt cache."""

import itertools
from collections import OrderedDict
from collections.abc import Callable, Hashable, Sequence

import attrs

from ..const import MAX_ATTEMPT_S
from .const import (
    BEING_READ_CHANCE,
    MAX_CACHED_PARTS,
    MAX_EVICTED_PARTS,
    READ_AFTER_S,
    SURELY_CACHED_FRACTION,
    SURELY_EVICTED_FRACTION,
    UNSEEN_READ_FACTOR,
    USE_HALF_LIFE_S,
)
from .models import CachedPrompt, EvictedPart, Prefixes, PromptRun

_PartKey = tuple[str, int]


@attrs.define
class _Part:
    """A cached part of prompts."""

    tokens: int
    uses: float
    used_at_s: float
    # Counters of the upstream when the part was last used.
    own_tokens: int = 0
    used_tokens: int = 0

    def decayed_uses(self, now_s: float) -> float:
        return self.uses * 0.5 ** (max(0.0, now_s - self.used_at_s) / USE_HALF_LIFE_S)


class UpstreamCache:
    """Estimates which prompt parts an upstream has cached, by model.

    ``memory_tokens`` is for running requests and cached parts together; 0 if it is
    not stated: then ``default_tokens`` are for cached parts alone. The least recently
    used parts are evicted first. At most ``max_parts`` parts are stored.
    """

    def __init__(
        self, memory_tokens: int, default_tokens: int, max_parts: int = MAX_CACHED_PARTS
    ) -> None:
        self._memory_tokens = memory_tokens
        self._default_tokens = default_tokens
        self._max_parts = max_parts
        # Parts by model and prefix key, the least recently used first.
        self._parts: OrderedDict[_PartKey, _Part] = OrderedDict()
        self._tokens = 0
        # Tokens that were cached without being parts here, and tokens of parts that
        # were used, all in all.
        self._own_tokens = 0
        self._used_tokens = 0
        # Requests in the order of their sending, and those of them whose prefill has
        # not ended.
        self._runs: OrderedDict[Hashable, PromptRun] = OrderedDict()
        self._reading: OrderedDict[Hashable, PromptRun] = OrderedDict()
        self._running_tokens = 0
        # How many prefills of a part are under way.
        self._reading_parts: dict[_PartKey, int] = {}

    @property
    def tokens(self) -> int:
        """Return the tokens of the parts that count as cached."""
        return self._tokens

    @property
    def capacity(self) -> int:
        """Return the tokens that running requests leave for cached parts."""
        if not self._memory_tokens:
            return self._default_tokens
        return max(0, self._memory_tokens - self._running_tokens)

    @property
    def running_tokens(self) -> int:
        """Return the tokens that running requests hold."""
        return self._running_tokens

    def __len__(self) -> int:
        return len(self._parts)

    def set_memory(self, tokens: int) -> None:
        """Set the memory that the service states, in tokens; 0 if none."""
        if tokens != self._memory_tokens:
            self._memory_tokens = tokens
            self._evict()

    def set_max_parts(self, max_parts: int) -> None:
        """Set the number of parts that are stored."""
        self._max_parts = max_parts
        self._evict()

    def expected_cached(
        self, model: str, prefixes: Prefixes, now_s: float
    ) -> CachedPrompt:
        """Return what is cached of a prompt's beginning."""
        self._settle(now_s)
        tokens, expected, chance = 0, 0.0, 1.0
        for key, part_tokens in prefixes:
            part_key = (model, key)
            part = self._parts.get(part_key)
            if part is not None:
                chance = min(chance, self._chance(part))
            elif part_key in self._reading_parts:
                chance = min(chance, BEING_READ_CHANCE)
            else:
                break
            tokens += part_tokens
            expected += part_tokens * chance
        return CachedPrompt(tokens, expected / tokens if tokens else 0.0)

    def would_evict(self, tokens: int, now_s: float) -> Sequence[EvictedPart]:
        """Return the parts that reading ``tokens`` evicts, at most a few.

        A part that is evicted in part, or that is cached with some probability only,
        has accordingly fewer uses.
        """
        free = self.capacity - self._tokens
        if not self._parts or tokens <= free - self._own_tokens:
            return ()
        oldest = next(iter(self._parts.values()))
        left = min(tokens, tokens + self._own_since(oldest) - free)
        evicted = []
        for (model, _), part in itertools.islice(
            self._parts.items(), MAX_EVICTED_PARTS
        ):
            if left <= 0:
                break
            share = min(1.0, left / max(1, part.tokens)) * self._chance(part)
            uses = share * min(1.0, part.decayed_uses(now_s))
            evicted.append(EvictedPart(model, part.tokens, uses))
            left -= part.tokens
        return evicted

    def record_sent(self, key: Hashable, run: PromptRun) -> None:
        """Add a request; its prompt is cached when its prefill has ended."""
        self._settle(run.sent_at_s)
        self.record_ended(key)
        self._runs[key] = self._reading[key] = run
        self._running_tokens += run.tokens
        for prefix, _ in run.prefixes:
            part_key = (run.model, prefix)
            self._reading_parts[part_key] = self._reading_parts.get(part_key, 0) + 1
        self._evict()

    def record_read(self, key: Hashable, now_s: float) -> None:
        """Record that the prefill of a request has ended."""
        run = self._stop_reading(key)
        if run is None:
            return
        # The deepest prefix first, so that a prefix outlasts those that need it.
        keys = [(run.model, prefix) for prefix, _ in reversed(run.prefixes)]
        for part_key, (_, tokens) in zip(keys, reversed(run.prefixes), strict=True):
            part = self._parts.get(part_key)
            if part is None:
                part = self._parts[part_key] = _Part(0, 0.0, now_s)
            else:
                self._parts.move_to_end(part_key)
            part.uses = part.decayed_uses(now_s) + 1.0
            part.used_at_s = now_s
            self._tokens += tokens - part.tokens
            self._used_tokens += tokens
            part.tokens = tokens
        self._own_tokens += run.own_tokens
        for part_key in keys:
            self._parts[part_key].own_tokens = self._own_tokens
            self._parts[part_key].used_tokens = self._used_tokens
        self._evict()

    def record_ended(self, key: Hashable) -> None:
        """Remove a request; if its prefill has not ended, its prompt is not cached."""
        self._stop_reading(key)
        run = self._runs.pop(key, None)
        if run is not None:
            self._running_tokens -= run.tokens

    def remove_matching(self, matches: Callable[[Hashable], bool]) -> None:
        """Remove the requests whose key matches ``matches``."""
        for key in tuple(filter(matches, self._runs)):
            self.record_ended(key)

    def _own_since(self, part: _Part) -> int:
        return self._own_tokens - part.own_tokens

    def _chance(self, part: _Part) -> float:
        """Return the probability that a part is still cached.

        It falls with the tokens that were used more recently, relative to the cache.
        """
        capacity = self.capacity
        if not capacity:
            return 0.0
        used = min(self._tokens, self._used_tokens - part.used_tokens)
        recent = (used + self._own_since(part) * UNSEEN_READ_FACTOR) / capacity
        if recent <= SURELY_CACHED_FRACTION:
            return 1.0
        span = SURELY_EVICTED_FRACTION - SURELY_CACHED_FRACTION
        return max(0.0, (SURELY_EVICTED_FRACTION - recent) / span)

    def _settle(self, now_s: float) -> None:
        """Apply what has happened by ``now_s`` without a notice."""
        while self._reading:
            key, run = next(iter(self._reading.items()))
            if run.sent_at_s > now_s - READ_AFTER_S:
                break
            self.record_read(key, run.sent_at_s + READ_AFTER_S)
        while self._runs:
            key, run = next(iter(self._runs.items()))
            if run.sent_at_s > now_s - MAX_ATTEMPT_S:
                break
            self.record_ended(key)

    def _stop_reading(self, key: Hashable) -> PromptRun | None:
        run = self._reading.pop(key, None)
        if run is None:
            return None
        for prefix, _ in run.prefixes:
            part_key = (run.model, prefix)
            count = self._reading_parts.pop(part_key, 1) - 1
            if count > 0:
                self._reading_parts[part_key] = count
        return run

    def _evict(self) -> None:
        capacity = self.capacity
        while self._parts:
            oldest = next(iter(self._parts.values()))
            recent = self._tokens + self._own_since(oldest)
            if (
                self._tokens <= capacity
                and len(self._parts) <= self._max_parts
                and recent <= capacity * SURELY_EVICTED_FRACTION
            ):
                return
            _, evicted = self._parts.popitem(last=False)
            self._tokens -= evicted.tokens
