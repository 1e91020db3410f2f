"""Outlier ejection and slow start of upstreams."""

import attrs

from .const import (
    FAILURES_BEFORE_EJECTION,
    FIRST_EJECTION_S,
    MAX_EJECTED_SHARE,
    MAX_EJECTION_S,
    MIN_SLOW_START_SHARE,
    SLOW_START_S,
)

_NEVER_S = float("-inf")


@attrs.define
class _UpstreamHealth:
    incarnation: str = ""
    accepting: bool = True
    slow_start_at_s: float = _NEVER_S
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until_s: float = _NEVER_S


class UpstreamHealthTracker:
    """Tracks failures, ejections and slow start of each upstream."""

    def __init__(self) -> None:
        self._health: dict[str, _UpstreamHealth] = {}

    def record_heartbeat(
        self, vm_id: str, incarnation: str, now_s: float, *, accepting: bool
    ) -> None:
        """Record a heartbeat reply and start the slow start after a return.

        An upstream has returned if its incarnation changed or if it accepts
        requests again. The first heartbeat of an upstream does not start the
        slow start: after a restart of the entry, all upstreams are new to it.
        """
        health = self._health.get(vm_id)
        if health is None:
            self._health[vm_id] = _UpstreamHealth(incarnation, accepting)
            return
        accepts_again = accepting and not health.accepting
        if accepts_again or health.incarnation not in ("", incarnation):
            self.start_slow_start(vm_id, now_s)
        health.incarnation = incarnation
        health.accepting = accepting

    def record_unreachable(self, vm_id: str) -> None:
        """Record that the upstream's sidecar did not answer a heartbeat."""
        self._health.setdefault(vm_id, _UpstreamHealth()).accepting = False

    def start_slow_start(self, vm_id: str, now_s: float) -> None:
        """Start the slow start of an upstream that accepts requests again."""
        health = self._health.setdefault(vm_id, _UpstreamHealth())
        health.slow_start_at_s = now_s
        health.consecutive_failures = 0

    def record_success(self, vm_id: str, now_s: float) -> None:
        """Record a complete answer.

        Resets the ejection count if more than ``MAX_EJECTION_S`` have passed
        since the end of the last ejection.
        """
        health = self._health.setdefault(vm_id, _UpstreamHealth())
        health.consecutive_failures = 0
        if health.ejections and now_s > health.ejected_until_s + MAX_EJECTION_S:
            health.ejections = 0

    def record_failure(self, vm_id: str, now_s: float) -> None:
        """Record a failed attempt and eject the upstream after several.

        ``FAILURES_BEFORE_EJECTION`` consecutive failures eject the upstream.
        Each ejection lasts twice as long as the previous one, up to
        ``MAX_EJECTION_S``.
        """
        health = self._health.setdefault(vm_id, _UpstreamHealth())
        health.consecutive_failures += 1
        if (
            health.consecutive_failures < FAILURES_BEFORE_EJECTION
            or self._is_ejection_limit_reached(now_s)
        ):
            return
        ejection_s = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.consecutive_failures = 0
        health.ejected_until_s = now_s + ejection_s
        health.slow_start_at_s = health.ejected_until_s

    def _is_ejection_limit_reached(self, now_s: float) -> bool:
        """Return whether one more ejection would exceed the allowed share."""
        ejected = sum(now_s < item.ejected_until_s for item in self._health.values())
        return ejected + 1 > MAX_EJECTED_SHARE * len(self._health)

    def retain_only(self, vm_ids: frozenset[str]) -> None:
        """Remove the state of all upstreams that are not in ``vm_ids``."""
        for vm_id in self._health.keys() - vm_ids:
            del self._health[vm_id]

    def is_ejected(self, vm_id: str, now_s: float) -> bool:
        """Return whether the upstream is ejected at ``now_s``."""
        health = self._health.get(vm_id)
        return health is not None and now_s < health.ejected_until_s

    def slow_start_share(self, vm_id: str, now_s: float) -> float:
        """Return the usable share of the concurrency limit, 0 to 1."""
        health = self._health.get(vm_id)
        if health is None:
            return 1.0
        elapsed_share = (now_s - health.slow_start_at_s) / SLOW_START_S
        return min(1.0, max(MIN_SLOW_START_SHARE, elapsed_share))
