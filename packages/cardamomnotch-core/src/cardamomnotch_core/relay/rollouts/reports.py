"""Rollout statistics that entries send to the sources of their zone.

Answers one load: many entries that each have news about a rollout several times a
second. The sum of their statistics is written to the store once for each
availability zone, so writes grow with the zones instead of the entries.
"""

from collections.abc import Sequence

import attrs

from ...change_feed.feed import ChangeFeed
from .const import (
    MIN_REPORT_INTERVAL_S,
    REPORT_INTERVAL_PER_MEMBER_S,
    REPORT_REFRESH_INTERVAL_S,
)
from .rollout import RolloutReport
from .versions import VersionSelector


@attrs.frozen(kw_only=True)
class RolloutsMessage:
    """The statistics of one process, for the sources of its zone."""

    entry: str
    # Identifies one run of the entry's process.
    incarnation: str
    # Earlier incarnation whose statistics are included; empty if none.
    resumed: str = ""
    # By service.
    reports: dict[str, RolloutReport] = attrs.field(factory=dict)


class RolloutReports:
    """Decides when this entry's statistics are sent, and collects the others'.

    They are sent soon if they may alter a decision, and again at intervals,
    since a datagram may be lost. All are totals since the start of the process,
    so a message that is lost, repeated or late does no harm.
    """

    def __init__(
        self, name: str, incarnation: str, feed: ChangeFeed, versions: VersionSelector
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._resumed = ""
        self._feed = feed
        self._versions = versions
        self._checked_at_s = float("-inf")
        self._sent_at_s = float("-inf")
        self._sent_inputs: dict[str, tuple[object, ...]] = {}

    @property
    def _min_interval_s(self) -> float:
        """Return the minimum time between two messages, in seconds.

        It bounds what the sources of a large zone receive.
        """
        per_member_s = REPORT_INTERVAL_PER_MEMBER_S * self._feed.member_count
        return max(MIN_REPORT_INTERVAL_S, per_member_s)

    def set_resumed(self, incarnation: str) -> None:
        """Set the earlier incarnation whose statistics were restored."""
        self._resumed = incarnation

    def take_due(self, now_s: float) -> tuple[Sequence[str], RolloutsMessage] | None:
        """Return the message that is due, with the addresses to send it to."""
        rollouts = self._versions.open_rollouts
        if not rollouts or now_s - self._checked_at_s < self._min_interval_s:
            return None
        self._checked_at_s = now_s
        reports = {rollout.order.service: rollout.report(now_s) for rollout in rollouts}
        inputs = {
            service: report.decision_inputs for service, report in reports.items()
        }
        is_refresh_due = now_s - self._sent_at_s >= REPORT_REFRESH_INTERVAL_S
        if inputs == self._sent_inputs and not is_refresh_due:
            return None
        self._sent_at_s = now_s
        self._sent_inputs = inputs
        addresses = [source.address for source in self._feed.other_sources(now_s)]
        message = RolloutsMessage(
            entry=self._name,
            incarnation=self._incarnation,
            resumed=self._resumed,
            reports=reports,
        )
        return addresses, message

    def apply(self, message: RolloutsMessage, now_s: float) -> None:
        """Record the statistics of another entry of the zone."""
        for service, report in message.reports.items():
            self._versions.collect_report(
                message.entry,
                message.incarnation,
                service,
                report,
                now_s,
                message.resumed,
            )
