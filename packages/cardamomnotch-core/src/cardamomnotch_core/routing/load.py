"""Load of each upstream, between the reports that it sends."""

import math

import attrs

from ..membership.models import Upstream
from .const import (
    DEFAULT_FIRST_TOKEN_S,
    LATENCY_SMOOTHING,
    LOAD_HALF_TRUST_S,
)


@attrs.define
class _LocalLoad:
    # Attempts of this entry that have not ended.
    in_flight: int = 0
    # Attempts sent since the last load report.
    sent_since_report: int = 0
    report_at_s: float = float("-inf")
    first_token_s: float = 0.0


class UpstreamLoadTracker:
    """Counts this entry's own attempts and averages first-token times."""

    def __init__(self) -> None:
        self._loads: dict[str, _LocalLoad] = {}

    def record_attempt_start(self, vm_id: str) -> None:
        """Count an attempt that has just been sent."""
        load = self._loads.setdefault(vm_id, _LocalLoad())
        load.in_flight += 1
        load.sent_since_report += 1

    def record_attempt_end(self, vm_id: str) -> None:
        """Stop counting an attempt."""
        load = self._loads.setdefault(vm_id, _LocalLoad())
        load.in_flight = max(0, load.in_flight - 1)

    def note_first_token(self, vm_id: str, seconds: float) -> None:
        """Add a first-token time to the exponentially weighted average."""
        load = self._loads.setdefault(vm_id, _LocalLoad())
        if not load.first_token_s:
            load.first_token_s = seconds
            return
        load.first_token_s += LATENCY_SMOOTHING * (seconds - load.first_token_s)

    def forget_all_but(self, vm_ids: frozenset[str]) -> None:
        """Drop what is known of upstreams that are gone."""
        for vm_id in self._loads.keys() - vm_ids:
            del self._loads[vm_id]

    def in_flight(self, upstream: Upstream, now_s: float) -> float:
        """Return the attempts expected to be in flight at ``upstream``.

        A report is trusted less with its age; what this entry has sent since
        the report is added, so that entries do not herd between reports.
        """
        load = self._loads.get(upstream.vm_id)
        age_s = max(0.0, now_s - upstream.heard_at_s)
        trust = math.exp(-age_s / LOAD_HALF_TRUST_S)
        reported = upstream.load.in_flight
        if load is None:
            return reported * trust
        if upstream.heard_at_s > load.report_at_s:
            load.report_at_s = upstream.heard_at_s
            load.sent_since_report = 0
        expected = reported * trust + load.in_flight * (1 - trust)
        return max(load.in_flight, expected + load.sent_since_report)

    def first_token_s(self, vm_id: str) -> float:
        """Return the recent first-token time, or the default if unknown."""
        load = self._loads.get(vm_id)
        if load is None or not load.first_token_s:
            return DEFAULT_FIRST_TOKEN_S
        return load.first_token_s
