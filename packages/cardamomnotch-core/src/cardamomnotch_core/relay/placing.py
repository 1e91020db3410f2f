"""Choice of the upstream that answers a request first and cheapest."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import attrs

from ..membership.rendezvous import rank
from .const import (
    CACHED_PROMPT_TOKENS,
    CROSS_ZONE_MS_PER_KB,
    PREFILL_MS_PER_TOKEN,
    RUNNING_REQUEST_MS,
)
from .fleet import UpstreamState
from .models import RequestFacts


class PromptMemory:
    """Remembers which prompt beginnings an upstream has read, by model.

    Holds about as many tokens as the upstream's cache; the least recently
    used beginnings go first.
    """

    def __init__(self, max_tokens: int = CACHED_PROMPT_TOKENS) -> None:
        self._max_tokens = max_tokens
        self._tokens = 0
        self._parts: OrderedDict[tuple[str, str], int] = OrderedDict()

    def cached_tokens(self, model: str, facts: RequestFacts) -> int:
        """Return how many tokens of the prompt need not be read again."""
        total = 0
        for key, tokens in _beginnings(facts):
            if (model, key) not in self._parts:
                break
            total += tokens
        return total

    def note_read(self, model: str, facts: RequestFacts) -> None:
        """Note that the upstream reads the prompt."""
        for key, tokens in _beginnings(facts):
            if (model, key) not in self._parts:
                self._tokens += tokens
            self._parts[(model, key)] = tokens
            self._parts.move_to_end((model, key))
        while self._tokens > self._max_tokens and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


def _beginnings(facts: RequestFacts) -> Iterable[tuple[str, int]]:
    key = ""
    for part in facts.prompt:
        key = f"{key},{part.part_id}"
        yield key, part.tokens


@attrs.frozen(kw_only=True)
class Placement:
    """A chosen upstream, with what decided, for the log."""

    state: UpstreamState
    cost_ms: float
    cached_tokens: int
    candidates: int


class Placer:
    """Places requests by expected time to the first token.

    Counts what waits before it, the part of the prompt that has to be read,
    and the way between availability zones; all in milliseconds.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self._memories: dict[str, PromptMemory] = {}

    def choose(
        self,
        candidates: Sequence[UpstreamState],
        facts: RequestFacts,
        model: str,
        body_bytes: int,
        now_s: float,
    ) -> Placement | None:
        """Return the best of ``candidates``; None if there are none."""
        usable = [state for state in candidates if not state.is_penalized(now_s)]
        usable = usable or list(candidates)
        if not usable:
            return None
        home = max(usable, key=lambda state: _affinity(facts, model, state))
        best: tuple[float, int, UpstreamState] | None = None
        for state in usable:
            cached = self._memory(state).cached_tokens(model, facts)
            if state is home:
                cached = max(cached, facts.prompt_tokens - _own_tokens(facts))
            cost_ms = self._cost_ms(state, facts, cached, body_bytes)
            key = (cost_ms, -_affinity(facts, model, state))
            if best is None or key < best[0]:
                best = (key, cached, state)
        key, cached, state = best
        return Placement(
            state=state,
            cost_ms=key[0],
            cached_tokens=cached,
            candidates=len(candidates),
        )

    def note_sent(self, state: UpstreamState, facts: RequestFacts, model: str) -> None:
        """Remember that ``state`` reads the prompt now."""
        if facts.prompt:
            self._memory(state).note_read(model, facts)

    def forget(self, upstream_id: str) -> None:
        """Drop what is remembered of an upstream that has left."""
        self._memories.pop(upstream_id, None)

    def _memory(self, state: UpstreamState) -> PromptMemory:
        return self._memories.setdefault(state.upstream_id, PromptMemory())

    def _cost_ms(
        self, state: UpstreamState, facts: RequestFacts, cached: int, body_bytes: int
    ) -> float:
        unread = max(0, facts.prompt_tokens - cached)
        waiting = state.prefilling_tokens
        cost_ms = (unread + waiting) * PREFILL_MS_PER_TOKEN
        cost_ms += state.in_flight * RUNNING_REQUEST_MS
        if state.upstream.zone != self._zone:
            cost_ms += body_bytes / 1000 * CROSS_ZONE_MS_PER_KB
        return cost_ms


def _own_tokens(facts: RequestFacts) -> int:
    return facts.prompt[-1].tokens if facts.prompt else facts.prompt_tokens


def _affinity(facts: RequestFacts, model: str, state: UpstreamState) -> int:
    return rank(f"{model}\x00{facts.prefix_key}", state.upstream_id)
