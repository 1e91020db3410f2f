"""Outlier ejection and slow start of upstreams."""

import attrs

from .const import (
    EJECT_AFTER_FAILURES,
    FIRST_EJECTION_S,
    MAX_EJECTED_SHARE,
    MAX_EJECTION_S,
    RAMP_FLOOR,
    RAMP_S,
)

_NEVER_S = float("-inf")


@attrs.define
class _Health:
    incarnation: str = ""
    accepting: bool = True
    back_at_s: float = _NEVER_S
    failures_in_row: int = 0
    ejections: int = 0
    ejected_until_s: float = _NEVER_S


class UpstreamHealthTracker:
    """What attempts have told about each upstream."""

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def record_heartbeat(
        self, vm_id: str, incarnation: str, now_s: float, *, accepting: bool
    ) -> None:
        """Note who answers on ``vm_id``; one that is back starts slowly.

        The first upstreams that an entry meets are not ramped, since the
        entry itself is what has just started.
        """
        known = self._health.get(vm_id)
        if known is None:
            self._health[vm_id] = _Health(incarnation, accepting)
            return
        came_back = accepting and not known.accepting
        if came_back or known.incarnation not in ("", incarnation):
            self.note_back(vm_id, now_s)
        known.incarnation = incarnation
        known.accepting = accepting

    def note_unreachable(self, vm_id: str) -> None:
        """Note that the upstream's sidecar does not answer."""
        self._health.setdefault(vm_id, _Health()).accepting = False

    def note_back(self, vm_id: str, now_s: float) -> None:
        """Start the ramp of an upstream that takes work again."""
        known = self._health.setdefault(vm_id, _Health())
        known.back_at_s = now_s
        known.failures_in_row = 0

    def note_success(self, vm_id: str, now_s: float) -> None:
        """Note an answer that came whole."""
        known = self._health.setdefault(vm_id, _Health())
        known.failures_in_row = 0
        if known.ejections and now_s > known.ejected_until_s + MAX_EJECTION_S:
            known.ejections = 0

    def note_failure(self, vm_id: str, now_s: float) -> None:
        """Note a failed attempt; several in a row eject the upstream.

        Each ejection lasts twice as long as the one before.
        """
        known = self._health.setdefault(vm_id, _Health())
        known.failures_in_row += 1
        if known.failures_in_row < EJECT_AFTER_FAILURES or self._is_enough(now_s):
            return
        pause_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**known.ejections)
        known.ejections += 1
        known.failures_in_row = 0
        known.ejected_until_s = now_s + pause_s
        known.back_at_s = known.ejected_until_s

    def _is_enough(self, now_s: float) -> bool:
        """Return whether no further upstream may be ejected now."""
        ejected = sum(now_s < item.ejected_until_s for item in self._health.values())
        return ejected + 1 > MAX_EJECTED_SHARE * len(self._health)

    def forget_all_but(self, vm_ids: frozenset[str]) -> None:
        """Drop what is known of upstreams that are gone."""
        for vm_id in self._health.keys() - vm_ids:
            del self._health[vm_id]

    def is_ejected(self, vm_id: str, now_s: float) -> bool:
        """Return whether the upstream is left out for now."""
        known = self._health.get(vm_id)
        return known is not None and now_s < known.ejected_until_s

    def ramp(self, vm_id: str, now_s: float) -> float:
        """Return the part of its limit that the upstream is given, 0 to 1."""
        known = self._health.get(vm_id)
        if known is None:
            return 1.0
        grown = (now_s - known.back_at_s) / RAMP_S
        return min(1.0, max(RAMP_FLOOR, grown))
