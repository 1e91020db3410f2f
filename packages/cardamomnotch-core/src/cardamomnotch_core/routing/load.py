"""Estimates of each upstream's load between its load reports."""

import math

import attrs

from ..membership.models import Upstream
from .const import (
    DEFAULT_FIRST_TOKEN_S,
    FIRST_TOKEN_SMOOTHING_FACTOR,
    LOAD_REPORT_DECAY_S,
)


@attrs.define
class _UpstreamLoad:
    # Attempts started by this entry that have not ended.
    in_flight: int = 0
    # Attempts started by this entry since the last load report.
    sent_since_report: int = 0
    report_at_s: float = float("-inf")
    first_token_s: float = 0.0


class UpstreamLoadTracker:
    """Tracks this entry's attempts and first-token times per upstream."""

    def __init__(self) -> None:
        self._loads: dict[str, _UpstreamLoad] = {}

    def record_attempt_start(self, vm_id: str) -> None:
        """Count an attempt that has been sent to the upstream."""
        load = self._loads.setdefault(vm_id, _UpstreamLoad())
        load.in_flight += 1
        load.sent_since_report += 1

    def record_attempt_end(self, vm_id: str) -> None:
        """Remove an ended attempt from the count."""
        load = self._loads.setdefault(vm_id, _UpstreamLoad())
        load.in_flight = max(0, load.in_flight - 1)

    def record_first_token_time(self, vm_id: str, seconds: float) -> None:
        """Add a first-token time to the exponential moving average."""
        load = self._loads.setdefault(vm_id, _UpstreamLoad())
        if not load.first_token_s:
            load.first_token_s = seconds
            return
        load.first_token_s += FIRST_TOKEN_SMOOTHING_FACTOR * (
            seconds - load.first_token_s
        )

    def retain_only(self, vm_ids: frozenset[str]) -> None:
        """Remove the state of all upstreams that are not in ``vm_ids``."""
        for vm_id in self._loads.keys() - vm_ids:
            del self._loads[vm_id]

    def in_flight(self, upstream: Upstream, now_s: float) -> float:
        """Return the estimated number of attempts in flight at ``upstream``.

        The weight of the last load report decays exponentially with its age.
        Attempts that this entry has sent since the report are added;
        otherwise all requests between two reports would go to the upstream
        that reported the lowest load.
        """
        load = self._loads.get(upstream.vm_id)
        age_s = max(0.0, now_s - upstream.heard_at_s)
        report_weight = math.exp(-age_s / LOAD_REPORT_DECAY_S)
        reported = upstream.load.in_flight
        if load is None:
            return reported * report_weight
        if upstream.heard_at_s > load.report_at_s:
            load.report_at_s = upstream.heard_at_s
            load.sent_since_report = 0
        expected = reported * report_weight + load.in_flight * (1 - report_weight)
        return max(load.in_flight, expected + load.sent_since_report)

    def first_token_s(self, vm_id: str) -> float:
        """Return the average first-token time, or the default if unknown."""
        load = self._loads.get(vm_id)
        if load is None or not load.first_token_s:
            return DEFAULT_FIRST_TOKEN_S
        return load.first_token_s
