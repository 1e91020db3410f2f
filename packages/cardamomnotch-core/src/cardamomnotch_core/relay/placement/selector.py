"""Selection of the upstream for an attempt, by all rules that apply to it."""

from collections.abc import Callable, Iterable, Sequence
from functools import partial

import attrs

from cardamomnotch_protocol.result_codes import ResultCode

from ..crashes.suspect_runs import SuspectRuns
from ..exceptions import RefusalError
from ..fleet import Fleet, UpstreamState
from ..models import RequestFacts, Service
from ..rates.upstream_rates import UpstreamRates
from ..rollouts.versions import VersionSelector
from .placer import Placement, Placer

# Retry-After time if no upstream can take a request, in seconds.
_RETRY_NO_UPSTREAM_S = 0.3


@attrs.frozen(kw_only=True)
class Constraints:
    """What earlier attempts of a request require of the next one."""

    # Upstreams that are only used if there is no other.
    tried: frozenset[str] = frozenset()
    # Version that has already sent part of the answer; empty if none has.
    version: str = ""
    # Whether the caller has a part of the answer.
    is_resumed: bool = False
    # Whether the upstream must have a free slot, if any has.
    needs_slot: bool = False


class UpstreamSelector:
    """Chooses among the upstreams that a request may use."""

    def __init__(
        self,
        fleet: Fleet,
        versions: VersionSelector,
        rates: UpstreamRates,
        suspect_runs: SuspectRuns,
        placer: Placer,
        has_slot: Callable[[UpstreamState, float], bool] = lambda state, now_s: True,
    ) -> None:
        self._fleet = fleet
        self._versions = versions
        self._rates = rates
        self._suspect_runs = suspect_runs
        self._placer = placer
        # Whether an upstream has a free slot.
        self._has_slot = has_slot

    def candidates(
        self,
        service: Service,
        facts: RequestFacts,
        constraints: Constraints,
        now_s: float,
    ) -> Iterable[UpstreamState]:
        """Yield the upstreams that may get a request now.

        Raises RefusalError if no upstream can take it.
        """
        _, usable = self._usable(service, facts, constraints, now_s)
        if not self._rates.applies(service, now_s):
            return usable
        return (
            state for state in usable if self._rates.may_send(state, service, now_s)
        )

    def place(
        self,
        service: Service,
        facts: RequestFacts,
        model: str,
        body_bytes: int,
        now_s: float,
        constraints: Constraints,
    ) -> Placement:
        """Return the placement of an attempt.

        Raises RefusalError if no upstream can take the request.
        """
        allowed, usable = self._usable(service, facts, constraints, now_s)
        may_send = None
        if self._rates.applies(service, now_s):
            may_send = partial(self._rates.may_send, service=service, now_s=now_s)
        pools = [usable]
        if constraints.tried:
            untried = [
                state for state in usable if state.upstream_id not in constraints.tried
            ]
            pools = [untried, usable]
        if constraints.needs_slot:
            with_slots = [
                [state for state in pool if self._has_slot(state, now_s)]
                for pool in pools
            ]
            pools = [*with_slots, *pools]
        for pool in pools:
            placement = self._placer.choose(
                pool, facts, model, body_bytes, now_s, may_send
            )
            if placement is not None:
                return placement
        raise self._rates.refusal(allowed, service, now_s)

    def _usable(
        self,
        service: Service,
        facts: RequestFacts,
        constraints: Constraints,
        now_s: float,
    ) -> tuple[Sequence[UpstreamState], Sequence[UpstreamState]]:
        """Return the upstreams of the request's version, and those it may use.

        Raises RefusalError if there are none.
        """
        candidates = self._fleet.candidates(service.name, now_s)
        allowed = self._versions.allowed(
            service.name, candidates, facts, now_s, constraints.version
        )
        if not allowed:
            raise RefusalError(
                ResultCode.NO_UPSTREAM,
                "no upstream is available for the service",
                _RETRY_NO_UPSTREAM_S,
            )
        selected = self._rates.select(allowed, service, now_s)
        usable = self._suspect_runs.usable(
            selected, facts, now_s, is_resumed=constraints.is_resumed
        )
        return allowed, usable
