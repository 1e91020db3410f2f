"""Choice of the upstream with the lowest expected cost for a request."""

from collections.abc import Callable, Collection, Hashable, Sequence
from functools import partial

import attrs

from ...membership.rendezvous import rendezvous_hash
from ..fleet import UpstreamState
from ..identity_cache import IdentityCache
from ..models import PromptPart, RequestFacts, Upstream
from ..prompt_cache.models import Prefixes, list_prefixes
from ..prompt_cache.popularity import PrefixPopularity
from ..prompt_cache.prompt_caches import PromptCaches
from ..prompt_cache.weighing import (
    SharedPrefix,
    delay_ms,
    evicted_ms,
    near_tie_limit_ms,
)
from ..upstream_estimates.coordinator import UpstreamEstimates
from .const import (
    CROSS_ZONE_MS_PER_KB,
    DEFAULT_SPREAD,
    MAX_COMPARED_UPSTREAMS,
)
from .ring import UpstreamRing


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
    # Prefill time that the cached tokens are expected to save.
    saved_ms: float = 0.0
    # What the prefill costs other requests: the delay of those that run there, the
    # prefill of what it evicts, and the charge for a prefix that others have cached.
    delay_ms: float = 0.0
    evicted_ms: float = 0.0
    again_ms: float = 0.0

    @property
    def expected_ms(self) -> float:
        """Return the expected time to the first token."""
        return self.prefill_ms + self.waiting_ms

    @property
    def cost_ms(self) -> float:
        """Return the cost by which placements are compared."""
        others_ms = self.delay_ms + self.evicted_ms + self.again_ms
        return self.prefill_ms + self.waiting_ms + self.transfer_ms + others_ms

    @property
    def parts(self) -> dict[str, int]:
        """Return the parts of the cost that are not 0, by name, in milliseconds."""
        parts = {
            "transfer_ms": self.transfer_ms,
            "delay_ms": self.delay_ms,
            "evicted_ms": self.evicted_ms,
            "again_ms": self.again_ms,
        }
        return {name: round(value) for name, value in parts.items() if value >= 0.5}


@attrs.frozen
class _Shortlist:
    """The candidates that are compared for a request."""

    states: Sequence[UpstreamState]
    # Ids of those that other requests with the prompt's prefix find too; None if all.
    common: Collection[str] | None = None


class Placer:
    """Places requests by the expected time to the first token.

    The cost is the sum of the wait for other requests, the prefill of the
    prompt's uncached part, the transfer between availability zones, and what the
    prefill costs other requests, in milliseconds.
    """

    def __init__(
        self,
        zone: str,
        is_avoided: Callable[[Upstream, float], bool] = lambda upstream, now_s: False,
        estimates: UpstreamEstimates | None = None,
        prompt_caches: PromptCaches | None = None,
    ) -> None:
        self._zone = zone
        # Whether an upstream is used only if there is no other.
        self._is_avoided = is_avoided
        self.estimates = estimates or UpstreamEstimates()
        self.first_tokens = self.estimates.first_tokens
        self.prompt_caches = prompt_caches or PromptCaches()
        self._popularity = PrefixPopularity()
        self._rings = IdentityCache(UpstreamRing)

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
        prefixes = tuple(list_prefixes(facts.prompt))
        shortlist = self._shortlist(candidates, facts, prefixes, model)
        considered = shortlist.states
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
        placements = [
            self._placement(state, facts, model, prefixes, body_bytes, now_s)
            for state in usable or candidates
        ]
        if not facts.prompt_tokens:
            return _lowest(placements, facts, model)
        prefix = self._shared_prefix(
            placements, prefixes, model, len(candidates), now_s
        )
        self._weigh(placements, model, prefix, now_s)
        chosen = _near_lowest(placements, facts, model, prefix, shortlist.common)
        chosen.end_ms = self.estimates.end_ms(
            chosen.state, model, facts.likely_output_tokens, now_s
        )
        return chosen

    def record_sent(
        self,
        state: UpstreamState,
        key: Hashable,
        facts: RequestFacts,
        model: str,
        now_s: float,
    ) -> None:
        """Record that a request was sent; ``key`` identifies it."""
        self.prompt_caches.record_sent(
            state.upstream_id, state.upstream.service, key, facts, model, now_s
        )
        prefixes = tuple(list_prefixes(facts.prompt[:-1]))
        self._record_popularity(state, model, prefixes, now_s)

    def record_sent_by_other(
        self,
        state: UpstreamState,
        key: Hashable,
        prompt: Sequence[PromptPart],
        model: str,
        now_s: float,
    ) -> None:
        """Record a request of another entry, by the shared parts of its prompt."""
        prefixes = tuple(list_prefixes(prompt))
        self.prompt_caches.record_sent_by_other(
            state.upstream_id, state.upstream.service, key, prefixes, model, now_s
        )
        self._record_popularity(state, model, prefixes, now_s)

    def forget(self, upstream_id: str) -> None:
        """Delete the prompt cache estimate of an upstream that is gone."""
        self.prompt_caches.forget(upstream_id)

    def _record_popularity(
        self, state: UpstreamState, model: str, prefixes: Prefixes, now_s: float
    ) -> None:
        upstream = state.upstream
        self._popularity.record_sent(
            upstream.upstream_id, upstream.service, model, prefixes, now_s
        )

    def _shortlist(
        self,
        candidates: Sequence[UpstreamState],
        facts: RequestFacts,
        prefixes: Prefixes,
        model: str,
    ) -> _Shortlist:
        """Return the candidates to compare, limited to a part of a large fleet.

        Of more than ``MAX_COMPARED_UPSTREAMS`` candidates, these are the ones
        that have read a prefix of the prompt, some chosen by a hash of the
        prefix, and some chosen by a hash of the request id.
        """
        if len(candidates) <= MAX_COMPARED_UPSTREAMS:
            return _Shortlist(candidates)
        ring = self._rings.get(candidates)
        ids: dict[str, None] = {}
        for key, _ in reversed(prefixes):
            ids.update(dict.fromkeys(self._popularity.upstreams(model, key)))
        count = MAX_COMPARED_UPSTREAMS // 3
        seed = f"{model}\x00{facts.prefix_key}"
        ids.update(dict.fromkeys(ring.find(seed, count)))
        common = frozenset(ids)
        ids.update(dict.fromkeys(ring.find(facts.request_id, count)))
        by_id = ring.by_id
        return _Shortlist([by_id[item] for item in ids if item in by_id], common)

    def _shared_prefix(
        self,
        placements: Sequence[Placement],
        prefixes: Prefixes,
        model: str,
        upstreams: int,
        now_s: float,
    ) -> SharedPrefix:
        """Return how far the prompt is cached, and at how many it may be."""
        share = 0.0
        if len(prefixes) > 1:
            service = placements[0].state.upstream.service
            share = self._popularity.share(service, model, prefixes[-2][0], now_s)
        cached_tokens = [placement.cached_tokens for placement in placements]
        return SharedPrefix.of(cached_tokens, share, upstreams)

    def _weigh(
        self,
        placements: Sequence[Placement],
        model: str,
        prefix: SharedPrefix,
        now_s: float,
    ) -> None:
        """Add to each placement what it costs other requests."""
        prefill_ms = partial(self._prefill_ms, placements[0].state.upstream.service)
        ms_per_token = prefill_ms(model, 1)
        again_ms_per_token = ms_per_token * prefix.read_again_cost
        would_evict = self.prompt_caches.would_evict
        for placement in placements:
            state = placement.state
            unread, cached = placement.unread_tokens, placement.cached_tokens
            placement.saved_ms = cached * ms_per_token
            placement.again_ms = (prefix.best_tokens - cached) * again_ms_per_token
            placement.delay_ms = delay_ms(unread * ms_per_token, state.running(now_s))
            evicted = would_evict(state.upstream_id, unread, now_s)
            if evicted:
                placement.evicted_ms = evicted_ms(evicted, prefill_ms)

    def _prefill_ms(self, service: str, model: str, tokens: int) -> float:
        """Return the prefill time of ``tokens`` tokens, in milliseconds."""
        idle_ms = self.estimates.prefill_ms(service, model, 0)
        return self.estimates.prefill_ms(service, model, tokens) - idle_ms

    def _placement(
        self,
        state: UpstreamState,
        facts: RequestFacts,
        model: str,
        prefixes: Prefixes,
        body_bytes: int,
        now_s: float,
    ) -> Placement:
        cached = self.prompt_caches.expected_cached(
            state.upstream_id, model, prefixes, now_s
        ).expected_tokens
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


def _lowest(
    placements: Sequence[Placement], facts: RequestFacts, model: str
) -> Placement:
    """Return the placement with the lowest cost; of several, one by their hash."""
    costs_ms = [placement.cost_ms for placement in placements]
    lowest_ms = min(costs_ms)
    best = [
        placement
        for placement, cost_ms in zip(placements, costs_ms, strict=True)
        if cost_ms == lowest_ms
    ]
    if len(best) == 1:
        return best[0]
    return max(best, key=lambda placement: _affinity(facts, model, placement.state))


def _near_lowest(
    placements: Sequence[Placement],
    facts: RequestFacts,
    model: str,
    prefix: SharedPrefix,
    common: Collection[str] | None,
) -> Placement:
    """Return a placement of a cost near the lowest, by a hash.

    The hash is of the prefix, so that equal prompts meet at an upstream that is to
    read it: one in ``common``, if there is any. It is of the request's id if there is
    no prefix, or upstreams have it cached already.
    """
    costs_ms = [placement.cost_ms for placement in placements]
    lowest_ms = min(costs_ms)
    limit_ms = near_tie_limit_ms(lowest_ms)
    cheapest = placements[costs_ms.index(lowest_ms)]
    near = [
        placement
        for placement, cost_ms in zip(placements, costs_ms, strict=True)
        if cost_ms <= limit_ms and placement.transfer_ms <= cheapest.transfer_ms
    ]
    if len(near) == 1:
        return cheapest
    holders = [item for item in near if prefix.holds(item.cached_tokens)]
    if holders or not facts.prefix_key:
        return max(
            holders or near,
            key=lambda item: rendezvous_hash(facts.request_id, item.state.upstream_id),
        )
    if common is not None:
        near = [item for item in near if item.state.upstream_id in common] or near
    return max(near, key=lambda item: _affinity(facts, model, item.state))


def _affinity(facts: RequestFacts, model: str, state: UpstreamState) -> int:
    return rendezvous_hash(f"{model}\x00{facts.prefix_key}", state.upstream_id)
