"""Weighs what a cached prompt saves against what it costs other requests.

Answers one load: requests that share a long beginning of their prompts and come faster
than the upstream that has it cached can serve them.
"""

import math
from collections.abc import Callable, Iterable, Sequence

import attrs

from .const import (
    EVICTED_COST,
    MAX_PREFIX_UPSTREAMS,
    NEAR_TIE_FRACTION,
    NEAR_TIE_MS,
    PREFILL_DELAY_FACTOR,
    READ_AGAIN_COST,
    READ_BEYOND_LIMIT_COST,
)
from .models import EvictedPart

# Returns the prefill time of a number of tokens with a model, in milliseconds.
PrefillMs = Callable[[str, int], float]


@attrs.frozen
class SharedPrefix:
    """How far a prompt is cached at the upstreams that are compared."""

    # Expected tokens at the upstream that has cached the most.
    best_tokens: int
    # Upstreams that have cached at least half of that, and how many may.
    holders: int
    max_holders: int

    @classmethod
    def of(
        cls, cached_tokens: Sequence[int], share: float, upstreams: int
    ) -> "SharedPrefix":
        """Return it from the expected cached tokens at each compared upstream.

        ``share`` is the prefix's share of the requests of all ``upstreams``: a prefix
        of many requests needs many of them.
        """
        best = max(cached_tokens, default=0)
        holders = sum(2 * tokens >= best for tokens in cached_tokens) if best else 0
        return cls(
            best, holders, max(MAX_PREFIX_UPSTREAMS, math.ceil(share * upstreams))
        )

    def holds(self, cached_tokens: int) -> bool:
        """Return whether an upstream has cached most of what any has."""
        return self.best_tokens > 0 and 2 * cached_tokens >= self.best_tokens

    @property
    def read_again_cost(self) -> float:
        """Return the cost of reading it once more, relative to its prefill time."""
        if self.holders >= self.max_holders:
            return READ_BEYOND_LIMIT_COST
        return READ_AGAIN_COST * self.holders / self.max_holders


def delay_ms(prefill_ms: float, running: int) -> float:
    """Return how long a prefill delays the requests that run beside it, in total."""
    return prefill_ms * running * PREFILL_DELAY_FACTOR


def evicted_ms(parts: Iterable[EvictedPart], prefill_ms: PrefillMs) -> float:
    """Return the prefill time that evicting ``parts`` is expected to cost."""
    return EVICTED_COST * sum(
        prefill_ms(part.model, part.tokens) * part.uses for part in parts
    )


def near_tie_limit_ms(lowest_ms: float) -> float:
    """Return the cost up to which a placement is as good as the lowest one.

    Entries that decide on the same late notices would otherwise all take one upstream.
    """
    return lowest_ms + max(NEAR_TIE_MS, lowest_ms * NEAR_TIE_FRACTION)
