"""Choice of the upstream that answers a request first and cheapest."""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence

import attrs

from ..membership.rendezvous import rendezvous_hash
from .const import (
    CACHED_PROMPT_TOKENS,
    CROSS_ZONE_MS_PER_KB,
    MAX_BEGINNINGS,
    MAX_CONSIDERED,
    MAX_HOLDERS,
    RUNNING_REQUEST_MS,
)
from .first_token import FirstTokenModel
from .fleet import UpstreamState
from .models import PromptPart, RequestFacts


class PromptMemory:
    """Remembers which prompt beginnings an upstream has read, by model.

    Holds about as many tokens as the upstream's cache; the least recently
    used beginnings go first.
    """

    def __init__(self, max_tokens: int = CACHED_PROMPT_TOKENS) -> None:
        self._max_tokens = max_tokens
        self._tokens = 0
        self._parts: OrderedDict[tuple[str, str], int] = OrderedDict()

    def cached_tokens(self, model: str, beginnings: Iterable[tuple[str, int]]) -> int:
        """Return how many tokens of the prompt need not be read again."""
        total = 0
        for key, tokens in beginnings:
            if (model, key) not in self._parts:
                break
            total += tokens
        return total

    def note_read(self, model: str, prompt: Sequence[PromptPart]) -> None:
        """Note that the upstream reads the prompt."""
        for key, tokens in list_beginnings(prompt):
            if (model, key) not in self._parts:
                self._tokens += tokens
            self._parts[(model, key)] = tokens
            self._parts.move_to_end((model, key))
        while self._tokens > self._max_tokens and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


def parallel_reads(state: UpstreamState, facts: RequestFacts) -> int:
    """Return how many requests the upstream begins at once."""
    return 1 if facts.prompt_tokens else max(1, state.upstream.slots)


def list_beginnings(prompt: Sequence[PromptPart]) -> Iterable[tuple[str, int]]:
    """Yield what names each beginning of the prompt, and its last part's tokens."""
    key = ""
    for part in prompt:
        key = f"{key},{part.part_id}"
        yield key, part.tokens


# Not frozen: one is made for each candidate, and a frozen one takes longer.
@attrs.define
class Placement:
    """What a candidate would cost; the chosen one's is kept for the log."""

    state: UpstreamState
    # Expected time to the first token without other work on the upstream.
    reading_ms: float
    # Expected wait for other work, own and others'.
    waiting_ms: float
    # What the way between availability zones counts as.
    way_ms: float
    cached_tokens: int
    unread_tokens: int

    @property
    def expected_ms(self) -> float:
        """Return the expected time to the first token."""
        return self.reading_ms + self.waiting_ms

    @property
    def cost_ms(self) -> float:
        """Return what placements are compared by."""
        return self.reading_ms + self.waiting_ms + self.way_ms


class Placer:
    """Places requests by expected time to the first token.

    Counts what waits before it, the part of the prompt that has to be read,
    and the way between availability zones; all in milliseconds.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        self.first_tokens = FirstTokenModel()
        self._memories: dict[str, PromptMemory] = {}
        # The upstreams that have read a beginning, by model and beginning.
        self._holders: OrderedDict[tuple[str, str], deque[str]] = OrderedDict()
        # The last long sequence of candidates, and the same by id.
        self._indexed: tuple[Sequence[UpstreamState], dict[str, UpstreamState]] = (
            (),
            {},
        )

    def choose(
        self,
        candidates: Sequence[UpstreamState],
        facts: RequestFacts,
        model: str,
        body_bytes: int,
        now_s: float,
    ) -> Placement:
        """Return the best of ``candidates``, of which there must be one."""
        considered = self._shortlist(candidates, facts, model)
        usable = [state for state in considered if not state.is_penalized(now_s)]
        beginnings = tuple(list_beginnings(facts.prompt))
        placements = [
            self._placement(state, facts, model, beginnings, body_bytes, now_s)
            for state in usable or candidates
        ]
        costs_ms = [placement.cost_ms for placement in placements]
        least_ms = min(costs_ms)
        best = [
            placement
            for placement, cost_ms in zip(placements, costs_ms, strict=True)
            if cost_ms == least_ms
        ]
        if len(best) == 1:
            return best[0]
        return max(best, key=lambda placement: _affinity(facts, model, placement.state))

    def note_sent(
        self, state: UpstreamState, prompt: Sequence[PromptPart], model: str
    ) -> None:
        """Remember that ``state`` reads the prompt now."""
        if not prompt:
            return
        self._memory(state).note_read(model, prompt)
        for key, _ in list_beginnings(prompt):
            holders = self._holders.setdefault((model, key), deque(maxlen=MAX_HOLDERS))
            if state.upstream_id not in holders:
                holders.append(state.upstream_id)
            self._holders.move_to_end((model, key))
        while len(self._holders) > MAX_BEGINNINGS:
            self._holders.popitem(last=False)

    def forget(self, upstream_id: str) -> None:
        """Drop what is remembered of an upstream that has left."""
        self._memories.pop(upstream_id, None)

    def _shortlist(
        self, candidates: Sequence[UpstreamState], facts: RequestFacts, model: str
    ) -> Sequence[UpstreamState]:
        """Return all of few candidates, or a fixed number of many.

        These are the ones that have read the prompt's beginning, some that
        follow from it, and some that follow from the request.
        """
        if len(candidates) <= MAX_CONSIDERED:
            return candidates
        by_id = self._by_id(candidates)
        found: dict[str, UpstreamState] = {}
        for key, _ in reversed(list(list_beginnings(facts.prompt))):
            for upstream_id in self._holders.get((model, key), ()):
                if upstream_id in by_id:
                    found[upstream_id] = by_id[upstream_id]
        count = len(candidates)
        for seed in (f"{model}\x00{facts.prefix_key}", facts.request_id):
            position, step = (
                rendezvous_hash(seed, "position"),
                1 + rendezvous_hash(seed, "step") % (count - 1),
            )
            for number in range(MAX_CONSIDERED // 3):
                state = candidates[(position + number * step) % count]
                found[state.upstream_id] = state
        return list(found.values())

    def _by_id(self, candidates: Sequence[UpstreamState]) -> dict[str, UpstreamState]:
        """Return the candidates by id; the same ones come again and again."""
        known, by_id = self._indexed
        if candidates is not known:
            by_id = {state.upstream_id: state for state in candidates}
            self._indexed = candidates, by_id
        return by_id

    def _memory(self, state: UpstreamState) -> PromptMemory:
        return self._memories.setdefault(state.upstream_id, PromptMemory())

    def _placement(
        self,
        state: UpstreamState,
        facts: RequestFacts,
        model: str,
        beginnings: Sequence[tuple[str, int]],
        body_bytes: int,
        now_s: float,
    ) -> Placement:
        memory = self._memories.get(state.upstream_id)
        cached = memory.cached_tokens(model, beginnings) if memory else 0
        unread = max(0, facts.prompt_tokens - cached)
        waiting_ms = state.queue.waiting_ms(now_s, parallel_reads(state, facts))
        waiting_ms += state.running(now_s) * RUNNING_REQUEST_MS
        reading_ms = self.first_tokens.expected_ms(model, unread)
        way_ms = self._transfer_ms(state, body_bytes)
        return Placement(state, reading_ms, waiting_ms, way_ms, cached, unread)

    def _transfer_ms(self, state: UpstreamState, body_bytes: int) -> float:
        if state.upstream.zone == self._zone:
            return 0.0
        return body_bytes / 1000 * CROSS_ZONE_MS_PER_KB


def _affinity(facts: RequestFacts, model: str, state: UpstreamState) -> int:
    return rendezvous_hash(f"{model}\x00{facts.prefix_key}", state.upstream_id)
