"""Use of each service by workspace, over all entries.

Answers a workspace that sends many times its usual load, at one entry or spread over
many: load notices name the workspace, so each entry sums up what all have in flight.
"""

import math
from collections.abc import Callable, Hashable, Mapping

import attrs

from ..const import MAX_ATTEMPT_S, PEER_ACTIVITY_WINDOW_S
from .const import (
    MAX_SHARE_COST,
    MIN_SHARE_REQUESTS,
    SHARE_COST_EXPONENT,
    SHARE_MARGIN,
    SHARE_MAX_AGE_S,
    START_RATE_HALF_LIFE_S,
)


@attrs.frozen
class _Run:
    """One attempt in flight; ``workspace`` is empty if its entry names none."""

    service: str
    workspace: str
    started_at_s: float


@attrs.define
class _Use:
    """A workspace's attempts in flight, and its recent starts."""

    own: int = 0
    others: int = 0
    # Starts that count as recent, as of ``updated_at_s``; halved with each half-life.
    starts: float = 0.0
    updated_at_s: float = 0.0

    def decayed_starts(self, now_s: float) -> float:
        """Return how many starts count as recent."""
        half_lives = (now_s - self.updated_at_s) / START_RATE_HALF_LIFE_S
        return self.starts * 0.5 ** max(0.0, half_lives)


def fair_share(demands: Mapping[str, float], capacity: float) -> float:
    """Return the max-min fair share: what each may use at most.

    What a workspace does not demand is divided among the others. Returns infinity if
    the capacity is enough for all.
    """
    left, open_demands = capacity, sorted(demands.values())
    while open_demands:
        share = left / len(open_demands)
        if open_demands[0] > share:
            return max(0.0, share)
        left -= open_demands.pop(0)
    return float("inf")


class WorkspaceUse:
    """Counts each workspace's attempts in flight, of this and the other entries.

    Attempts of other entries expire if no notice tells their end, and are dropped with
    their entry. Without notices an entry supposes that the others do as it does.
    """

    def __init__(
        self,
        entry: str,
        entries: Callable[[], int],
        capacity: Callable[[str, float], float],
        waiting: Callable[[str], Mapping[str, int]],
    ) -> None:
        self._entry = entry
        self._entries = entries
        # Slots of a service over all of its upstreams.
        self._capacity = capacity
        # Requests that wait at this entry for a service, by workspace.
        self._waiting = waiting
        self._runs: dict[tuple[str, Hashable], _Run] = {}
        # By service, then by workspace.
        self._uses: dict[str, dict[str, _Use]] = {}
        self._noticed_at_s = float("-inf")
        self._short_until_s: dict[str, float] = {}
        self._shares: dict[str, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._runs)

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that workspaces use."""
        return tuple(self._uses)

    def record_started(
        self,
        service: str,
        workspace: str,
        entry: str,
        attempt: Hashable,
        now_s: float,
    ) -> None:
        """Record that an entry has sent an attempt."""
        self.record_ended(entry, attempt, now_s)
        self._runs[(entry, attempt)] = _Run(service, workspace, now_s)
        uses = self._uses.setdefault(service, {})
        use = uses.setdefault(workspace, _Use())
        self._add(use, entry, 1)
        use.starts = use.decayed_starts(now_s) + 1
        use.updated_at_s = now_s

    def record_ended(self, entry: str, attempt: Hashable, now_s: float) -> None:
        """Record that an attempt has ended; unknown ones are ignored."""
        run = self._runs.pop((entry, attempt), None)
        if run is None:
            return
        uses = self._uses[run.service]
        use = uses[run.workspace]
        self._add(use, entry, -1)
        if not use.own and not use.others and use.decayed_starts(now_s) < 1:
            del uses[run.workspace]
            if not uses:
                del self._uses[run.service]

    def record_notice(self, now_s: float) -> None:
        """Record that another entry has sent notices."""
        self._noticed_at_s = now_s

    def record_short(self, service: str, until_s: float) -> None:
        """Record that a service has no free slot."""
        self._short_until_s[service] = until_s

    def forget_entry(self, entry: str, now_s: float) -> None:
        """Drop the attempts of an entry that is gone."""
        for key in tuple(self._runs):
            if key[0] == entry:
                self.record_ended(*key, now_s)

    def expire(self, now_s: float) -> None:
        """Drop other entries' attempts without an end, and workspaces not in use."""
        # Attempts are in the order of their starts; an entry knows its own.
        for key, run in tuple(self._runs.items()):
            if run.started_at_s > now_s - MAX_ATTEMPT_S:
                break
            if key[0] != self._entry:
                self.record_ended(*key, now_s)
        for service, uses in tuple(self._uses.items()):
            for name, use in tuple(uses.items()):
                if not use.own and not use.others and use.decayed_starts(now_s) < 1:
                    del uses[name]
            if not uses:
                del self._uses[service]
        for service, until_s in tuple(self._short_until_s.items()):
            if now_s >= until_s:
                del self._short_until_s[service]
                self._shares.pop(service, None)

    def in_flight(self, service: str, workspace: str, now_s: float) -> int:
        """Return a workspace's attempts in flight at all entries."""
        use = self._uses.get(service, {}).get(workspace)
        if use is None:
            return 0
        if now_s - self._noticed_at_s > PEER_ACTIVITY_WINDOW_S:
            return use.own * max(1, self._entries())
        return use.own + use.others

    def starts_per_s(self, service: str, workspace: str, now_s: float) -> float:
        """Return the rate of a workspace's recent starts at all entries."""
        use = self._uses.get(service, {}).get(workspace)
        if use is None:
            return 0.0
        # A steady rate sums up to the rate times the mean life.
        return use.decayed_starts(now_s) * math.log(2) / START_RATE_HALF_LIFE_S

    def is_short(self, service: str, now_s: float) -> bool:
        """Return whether requests of this entry found no free slot lately."""
        return now_s < self._short_until_s.get(service, float("-inf"))

    def is_over_share(self, service: str, workspace: str, now_s: float) -> bool:
        """Return whether a workspace uses more than its fair share of short slots."""
        return self.slot_cost(service, workspace, now_s) > 1.0

    def slot_cost(self, service: str, workspace: str, now_s: float) -> float:
        """Return what a slot costs a workspace in virtual time; 1 within its share."""
        if not workspace or not self.is_short(service, now_s):
            return 1.0
        used = self.in_flight(service, workspace, now_s)
        share = self._share(service, now_s)
        if used <= MIN_SHARE_REQUESTS or used <= share * SHARE_MARGIN:
            return 1.0
        excess = used / share if share else MAX_SHARE_COST
        return min(MAX_SHARE_COST, excess**SHARE_COST_EXPONENT)

    def over_share(self, now_s: float) -> dict[str, list[str]]:
        """Return the workspaces over their share, by service."""
        found = {
            service: [name for name in uses if self.is_over_share(service, name, now_s)]
            for service, uses in self._uses.items()
        }
        return {service: names for service, names in found.items() if names}

    def _share(self, service: str, now_s: float) -> float:
        share, until_s = self._shares.get(service, (0.0, float("-inf")))
        if now_s < until_s:
            return share
        uses = self._uses.get(service, {})
        waiting = self._waiting(service)
        demands = {
            name: self.in_flight(service, name, now_s) + waiting.get(name, 0)
            for name in {*uses, *waiting}
        }
        unknown = demands.pop("", 0)
        share = fair_share(demands, self._capacity(service, now_s) - unknown)
        self._shares[service] = (share, now_s + SHARE_MAX_AGE_S)
        return share

    def _add(self, use: _Use, entry: str, count: int) -> None:
        if entry == self._entry:
            use.own += count
        else:
            use.others += count
