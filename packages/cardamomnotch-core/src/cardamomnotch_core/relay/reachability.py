"""Upstreams and availability zones that do not accept connections.

Answers one load: a zone, or many upstreams, are lost at once, and each request that
meets one of them waits for the connect timeout. In a large fleet an entry meets most
upstreams for the first time, so entries tell each other.
"""

from collections.abc import Iterable

import attrs

from ..membership.rendezvous import rendezvous_hash
from .const import (
    CONNECT_TIMEOUT_S,
    MIN_AVOIDED_S,
    MIN_REPORTERS,
    MIN_UNREACHABLE_IN_ZONE,
    UNREACHABLE_WINDOW_S,
)
from .models import Upstream

# Owner of the hashes by which entries take turns.
_RETRY_TURN = "retry turn"


@attrs.define
class _Evidence:
    """Which entries could not reach an upstream, and when."""

    upstream: Upstream
    reported_at_s: dict[str, float] = attrs.field(factory=dict)

    def reporters(self, since_s: float) -> set[str]:
        """Return the entries that reported since a time."""
        return {entry for entry, at_s in self.reported_at_s.items() if at_s > since_s}


class Reachability:
    """Decides which upstreams are avoided, as a last resort.

    One entry may have lost its own path, so two have to report: the same upstream,
    or three upstreams of a zone. Reports do not count beside answers from the zone to
    the reporter's zone, or to this one: the paths between two zones may be lost alone.
    If no zone is left, the loss is at this entry. A zone that was avoided lately is
    avoided again after one report from this entry's zone, until it answers.
    """

    def __init__(self, entry: str, zone: str) -> None:
        self._entry = entry
        self._zone = zone
        # Entries try again one after the other, so that few requests do.
        turn = rendezvous_hash(_RETRY_TURN, entry) / 2**64
        self._avoided_s = MIN_AVOIDED_S * (1 + turn)
        self._zones_of_entries = {entry: zone}
        # By upstream process.
        self._evidence: dict[str, _Evidence] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._lost_until_s: dict[str, float] = {}
        # When an entry of a zone last got an answer from an upstream of a zone.
        self._answered_at_s: dict[tuple[str, str], float] = {}
        # Known zones of upstreams, for the others of which a zone may be lost.
        self._zones: set[str] = set()
        # Processes to report to the other entries.
        self._unsent: dict[str, None] = {}

    def lost_zones(self, now_s: float) -> frozenset[str]:
        """Return the zones whose upstreams are avoided."""
        lost = {zone for zone, until_s in self._lost_until_s.items() if now_s < until_s}
        return frozenset() if lost >= self._zones else frozenset(lost)

    def is_avoided(self, upstream: Upstream, now_s: float) -> bool:
        """Return whether an upstream is used only if there is no other."""
        if now_s < self._avoided_until_s.get(upstream.process, 0.0):
            return True
        is_zone_lost = upstream.zone in self._lost_until_s
        return is_zone_lost and upstream.zone in self.lost_zones(now_s)

    def put_entry(self, entry: str, zone: str) -> None:
        """Add another entry, or change its zone."""
        self._zones_of_entries[entry] = zone

    def remove_entry(self, entry: str) -> None:
        """Remove an entry that is gone."""
        self._zones_of_entries.pop(entry, None)

    def record_zone(self, zone: str) -> None:
        """Record that a zone has upstreams."""
        self._zones.add(zone)

    def record_unreachable(self, upstream: Upstream, now_s: float) -> None:
        """Record that this entry could not connect to an upstream in time."""
        self._unsent[upstream.process] = None
        self.apply(self._entry, (upstream,), now_s)

    def apply(self, entry: str, unreachable: Iterable[Upstream], now_s: float) -> None:
        """Record what an entry could not reach."""
        self._expire(now_s - UNREACHABLE_WINDOW_S)
        for upstream in unreachable:
            evidence = self._evidence.setdefault(upstream.process, _Evidence(upstream))
            evidence.reported_at_s[entry] = now_s
            reporters = evidence.reporters(now_s - UNREACHABLE_WINDOW_S)
            if (
                len(reporters) >= MIN_REPORTERS
                or upstream.process in self._avoided_until_s
            ):
                self._avoided_until_s[upstream.process] = now_s + self._avoided_s
            if self._is_lost(upstream.zone, now_s):
                self._lost_until_s[upstream.zone] = now_s + self._avoided_s

    def record_answer(self, upstream: Upstream, entry: str, now_s: float) -> None:
        """Record that an upstream has answered an entry."""
        zone = self._zones_of_entries.get(entry, "")
        self._answered_at_s[zone, upstream.zone] = now_s
        if zone == self._zone:
            self._evidence.pop(upstream.process, None)
            self._avoided_until_s.pop(upstream.process, None)
            self._lost_until_s.pop(upstream.zone, None)

    def take_unsent(self) -> list[str]:
        """Return the processes to report to the other entries, and forget them."""
        unsent, self._unsent = self._unsent, {}
        return list(unsent)

    def _is_lost(self, zone: str, now_s: float) -> bool:
        """Return whether a zone's upstreams fail and none has answered meanwhile.

        A connection that was begun before an answer arrived says nothing.
        """
        found = [
            reporters
            for evidence in self._evidence.values()
            if evidence.upstream.zone == zone
            and (reporters := self._uncontradicted(evidence, now_s))
        ]
        reporters = set().union(*found)
        if zone in self._lost_until_s:
            # Entries of other zones may still use the zone, so only reports from this
            # one extend the time.
            return any(
                self._zones_of_entries.get(entry) == self._zone for entry in reporters
            )
        return len(found) >= MIN_UNREACHABLE_IN_ZONE and len(reporters) >= MIN_REPORTERS

    def _uncontradicted(self, evidence: _Evidence, now_s: float) -> set[str]:
        """Return the reporters whose zone, and this one, got no answer meanwhile."""
        return {
            entry
            for entry in evidence.reporters(now_s - UNREACHABLE_WINDOW_S)
            if evidence.reported_at_s[entry]
            > CONNECT_TIMEOUT_S
            + max(
                self._answered_at_s.get((zone, evidence.upstream.zone), 0.0)
                for zone in (self._zones_of_entries.get(entry, ""), self._zone)
            )
        }

    def _expire(self, since_s: float) -> None:
        """Delete what was reported before a time."""
        for process, evidence in tuple(self._evidence.items()):
            if not evidence.reporters(since_s):
                del self._evidence[process]
        for times_s in (self._avoided_until_s, self._lost_until_s):
            for key, until_s in tuple(times_s.items()):
                if until_s < since_s:
                    del times_s[key]
