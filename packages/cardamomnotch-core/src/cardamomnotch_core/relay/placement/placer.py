"""Choice of the upstream with the lowest expected cost for a request."""

from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Sequence

import attrs

from ...membership.rendezvous import rendezvous_hash
from ..fleet import UpstreamState
from ..identity_cache import IdentityCache
from ..models import PromptPart, RequestFacts, Upstream
from ..upstream_estimates.coordinator import UpstreamEstimates
from .const import (
    CACHED_PROMPT_TOKENS,
    CROSS_ZONE_MS_PER_KB,
    DEFAULT_SPREAD,
    MAX_COMPARED_UPSTREAMS,
    MAX_PREFIX_UPSTREAMS,
    MAX_PREFIXES,
)


class PromptCacheEstimate:
    """Estimates which prompt prefixes an upstream has cached, by model.

    Holds about as many tokens as the upstream's cache; the least recently
    used prefixes are evicted first.
    """

    def __init__(self, max_tokens: int = CACHED_PROMPT_TOKENS) -> None:
        self._max_tokens = max_tokens
        self._tokens = 0
        self._parts: OrderedDict[tuple[str, str], int] = OrderedDict()

    def cached_tokens(self, model: str, prefixes: Iterable[tuple[str, int]]) -> int:
        """Return how many tokens of the prompt the upstream has cached."""
        total = 0
        for key, tokens in prefixes:
            if (model, key) not in self._parts:
                break
            total += tokens
        return total

    def record_read(self, model: str, prompt: Sequence[PromptPart]) -> None:
        """Add the prefixes of a prompt that the upstream reads."""
        for key, tokens in list_prefixes(prompt):
            if (model, key) not in self._parts:
                self._tokens += tokens
            self._parts[(model, key)] = tokens
            self._parts.move_to_end((model, key))
        while self._tokens > self._max_tokens and len(self._parts) > 1:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens


def list_prefixes(prompt: Sequence[PromptPart]) -> Iterable[tuple[str, int]]:
    """Yield each prompt prefix's key, and its last part's tokens."""
    key = ""
    for part in prompt:
        key = f"{key},{part.part_id}"
        yield key, part.tokens


# Not frozen: an instance is created for each candidate, and creating a frozen
# one takes longer.
@attrs.define
class Placement:
    """Expected cost of sending a request to one upstream."""

    state: UpstreamState
    # Expected time to the first token on an idle upstream.
    prefill_ms: float
    # Expected wait for other requests, of this and the other entries.
    waiting_ms: float
    # Cost of the transfer between availability zones.
    transfer_ms: float
    # Prompt tokens that the upstream has cached, and those it has to read.
    cached_tokens: int
    unread_tokens: int
    # Factor of the expected time to the first token that four of five observed times
    # stay under.
    spread: float = DEFAULT_SPREAD
    # Expected time from the first token to the end; 0 if not known.
    end_ms: float = 0.0

    @property
    def expected_ms(self) -> float:
        """Return the expected time to the first token."""
        return self.prefill_ms + self.waiting_ms

    @property
    def cost_ms(self) -> float:
        """Return the cost by which placements are compared."""
        return self.prefill_ms + self.waiting_ms + self.transfer_ms


class Placer:
    """Places requests by the expected time to the first token.

    The cost is the sum of the wait for other requests, the prefill of the
    prompt's uncached part and the transfer between availability zones, in
    milliseconds.
    """

    def __init__(
        self,
        zone: str,
        is_avoided: Callable[[Upstream, float], bool] = lambda upstream, now_s: False,
        estimates: UpstreamEstimates | None = None,
    ) -> None:
        self._zone = zone
        # Whether an upstream is used only if there is no other.
        self._is_avoided = is_avoided
        self.estimates = estimates or UpstreamEstimates()
        self.first_tokens = self.estimates.first_tokens
        self._prompt_caches: dict[str, PromptCacheEstimate] = {}
        # Upstreams that have read a prompt prefix, by model and prefix key.
        self._prefix_upstreams: OrderedDict[tuple[str, str], deque[str]] = OrderedDict()
        # Candidates by id.
        self._by_id = IdentityCache(_index_by_id)

    def choose(
        self,
        candidates: Sequence[UpstreamState],
        facts: RequestFacts,
        model: str,
        body_bytes: int,
        now_s: float,
        may_send: Callable[[UpstreamState], bool] | None = None,
    ) -> Placement | None:
        """Return the placement with the lowest cost.

        ``may_send`` tells whether a candidate may get a request now; None if all
        may. Returns None if none may.
        """
        considered = self._shortlist(candidates, facts, model)
        if may_send is not None:
            considered = list(filter(may_send, considered))
        usable = [
            state
            for state in considered
            if not state.is_penalized(now_s)
            and not self._is_avoided(state.upstream, now_s)
        ]
        if not usable and may_send is not None:
            candidates = list(filter(may_send, candidates))
        if not candidates:
            return None
        prefixes = tuple(list_prefixes(facts.prompt))
        placements = [
            self._placement(state, facts, model, prefixes, body_bytes, now_s)
            for state in usable or candidates
        ]
        costs_ms = [placement.cost_ms for placement in placements]
        lowest_ms = min(costs_ms)
        best = [
            placement
            for placement, cost_ms in zip(placements, costs_ms, strict=True)
            if cost_ms == lowest_ms
        ]
        chosen = best[0]
        if len(best) > 1:
            chosen = max(
                best, key=lambda placement: _affinity(facts, model, placement.state)
            )
        chosen.end_ms = self.estimates.end_ms(
            chosen.state, model, facts.likely_output_tokens, now_s
        )
        return chosen

    def record_sent(
        self, state: UpstreamState, prompt: Sequence[PromptPart], model: str
    ) -> None:
        """Record that the upstream of ``state`` reads the prompt."""
        if not prompt:
            return
        self._prompt_cache(state).record_read(model, prompt)
        for key, _ in list_prefixes(prompt):
            prefix_upstreams = self._prefix_upstreams.setdefault(
                (model, key), deque(maxlen=MAX_PREFIX_UPSTREAMS)
            )
            if state.upstream_id not in prefix_upstreams:
                prefix_upstreams.append(state.upstream_id)
            self._prefix_upstreams.move_to_end((model, key))
        while len(self._prefix_upstreams) > MAX_PREFIXES:
            self._prefix_upstreams.popitem(last=False)

    def forget(self, upstream_id: str) -> None:
        """Delete the prompt cache estimate of an upstream that is gone."""
        self._prompt_caches.pop(upstream_id, None)

    def _shortlist(
        self, candidates: Sequence[UpstreamState], facts: RequestFacts, model: str
    ) -> Sequence[UpstreamState]:
        """Return the candidates to compare, limited to a part of a large fleet.

        Of more than ``MAX_COMPARED_UPSTREAMS`` candidates, these are the ones
        that have read a prefix of the prompt, some chosen by a hash of the
        prefix, and some chosen by a hash of the request id.
        """
        if len(candidates) <= MAX_COMPARED_UPSTREAMS:
            return candidates
        by_id = self._by_id.get(candidates)
        shortlist: dict[str, UpstreamState] = {}
        for key, _ in reversed(list(list_prefixes(facts.prompt))):
            for upstream_id in self._prefix_upstreams.get((model, key), ()):
                if upstream_id in by_id:
                    shortlist[upstream_id] = by_id[upstream_id]
        count = len(candidates)
        for seed in (f"{model}\x00{facts.prefix_key}", facts.request_id):
            position, step = (
                rendezvous_hash(seed, "position"),
                1 + rendezvous_hash(seed, "step") % (count - 1),
            )
            for number in range(MAX_COMPARED_UPSTREAMS // 3):
                state = candidates[(position + number * step) % count]
                shortlist[state.upstream_id] = state
        return list(shortlist.values())

    def _prompt_cache(self, state: UpstreamState) -> PromptCacheEstimate:
        return self._prompt_caches.setdefault(state.upstream_id, PromptCacheEstimate())

    def _placement(
        self,
        state: UpstreamState,
        facts: RequestFacts,
        model: str,
        prefixes: Sequence[tuple[str, int]],
        body_bytes: int,
        now_s: float,
    ) -> Placement:
        prompt_cache = self._prompt_caches.get(state.upstream_id)
        cached = prompt_cache.cached_tokens(model, prefixes) if prompt_cache else 0
        unread = max(0, facts.prompt_tokens - cached)
        estimate = self.estimates.first_token(state, facts, model, unread, now_s)
        return Placement(
            state,
            estimate.prefill_ms,
            estimate.waiting_ms,
            self._transfer_ms(state, body_bytes),
            cached,
            unread,
            estimate.spread,
        )

    def _transfer_ms(self, state: UpstreamState, body_bytes: int) -> float:
        if state.upstream.zone == self._zone:
            return 0.0
        return body_bytes / 1000 * CROSS_ZONE_MS_PER_KB


def _index_by_id(candidates: Sequence[UpstreamState]) -> dict[str, UpstreamState]:
    return {state.upstream_id: state for state in candidates}


def _affinity(facts: RequestFacts, model: str, state: UpstreamState) -> int:
    return rendezvous_hash(f"{model}\x00{facts.prefix_key}", state.upstream_id)
