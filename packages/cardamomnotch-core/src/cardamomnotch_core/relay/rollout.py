"""Rollout of a new version of a service, reverted if the version is bad."""

import math
from enum import StrEnum

import attrs

from .const import ROLLOUT_FIRST_STAGE_FACTOR, ROLLOUT_SECOND_STAGE_FACTOR
from .limits import RelayLimits
from .models import RolloutOrder

# Fractions of the rollout's duration at which the new version's share grows.
_SECOND_STAGE_START = 0.55
_LAST_STAGE_START = 0.75
# Fraction of the rollout's duration before which it is not completed, so that
# the new version is observed under full load for a while.
_COMPLETION_START = 0.85
# Fraction of the rollout's duration from which it is reported as completed
# even if the old version still has requests in flight.
_COMPLETION_DEADLINE = 0.94
# Minimum number of bad answers for a version to be considered bad.
_MIN_BAD_ANSWERS = 4
# A version is bad if its share of bad answers exceeds the old version's by
# more than this.
_MAX_BAD_SHARE_EXCESS = 0.08
# A version is bad if its mean time to the first byte exceeds the old version's
# by more than this factor; both need a minimum number of timed answers.
_MAX_SLOWDOWN_RATIO = 3.0
_MIN_TIMED_ANSWERS = 8


class RolloutState(StrEnum):
    """State of a rollout."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    REVERTED = "reverted"


@attrs.define
class AnswerStats:
    """Statistics of the answers of one version during a rollout.

    Field names are part of the stored entry record.
    """

    answers: int = 0
    bad: int = 0
    # Sum of the logarithms of the times to the first byte in seconds, and the
    # number of these times.
    log_time_sum: float = 0.0
    timed: int = 0
    in_flight: int = 0

    def add(self, other: "AnswerStats") -> None:
        """Add the statistics of another entry or process."""
        self.answers += other.answers
        self.bad += other.bad
        self.log_time_sum += other.log_time_sum
        self.timed += other.timed
        self.in_flight += other.in_flight

    @property
    def bad_share(self) -> float:
        """Return the share of bad answers, with one good answer added."""
        return self.bad / (self.answers + 1)

    @property
    def mean_log_time(self) -> float:
        """Return the mean logarithm of the times to the first byte."""
        return self.log_time_sum / self.timed if self.timed else 0.0


@attrs.frozen(kw_only=True)
class RolloutReport:
    """Statistics of one entry about one rollout.

    Field names are part of the stored entry record.
    """

    order_id: int
    # Share of its requests that the entry sends to the new version.
    share: float
    # Time since the rollout started, in seconds.
    passed_s: float = 0.0
    new: AnswerStats
    old: AnswerStats


@attrs.define
class Rollout:
    """One rollout, with the answer statistics of all entries."""

    order: RolloutOrder
    # Store revision of the order; larger for later orders of the service.
    order_id: int
    started_at_s: float
    state: RolloutState = RolloutState.IN_PROGRESS
    # Largest share of the service's requests during the rollout that the new
    # version may receive if it is bad.
    exposure_share: float = RelayLimits().exposure_share
    # True once the statistics show that the new version is bad, whether or not
    # the rollout has been reported as reverted.
    is_bad: bool = False
    # Statistics of this entry for the new and the old version.
    new: AnswerStats = attrs.field(factory=AnswerStats)
    old: AnswerStats = attrs.field(factory=AnswerStats)
    # Latest reports of the other entries, by entry name.
    reports: dict[str, RolloutReport] = attrs.field(factory=dict)

    def stats_for(self, version: str) -> AnswerStats:
        """Return this entry's statistics for ``version``."""
        return self.new if version == self.order.target else self.old

    def share(self, now_s: float) -> float:
        """Return the share of requests that go to the new version."""
        if self.state is RolloutState.COMPLETED:
            return 1.0
        if self.state is RolloutState.REVERTED or self.is_bad:
            return 0.0
        elapsed_fraction = self._elapsed_fraction(now_s)
        if elapsed_fraction >= _LAST_STAGE_START:
            return 1.0
        if elapsed_fraction >= _SECOND_STAGE_START:
            return min(1.0, ROLLOUT_SECOND_STAGE_FACTOR * self.exposure_share)
        return ROLLOUT_FIRST_STAGE_FACTOR * self.exposure_share

    def pins_sessions(self, now_s: float) -> bool:
        """Return whether active sessions must keep their version."""
        return self._elapsed_fraction(now_s) < _SECOND_STAGE_START

    def has_withdrawn(self, version: str) -> bool:
        """Return whether ``version`` must receive no new requests."""
        if version == self.order.target:
            return self.is_bad or self.state is RolloutState.REVERTED
        return self.state is RolloutState.COMPLETED

    def record_answer(
        self, version: str, bad: bool, first_byte_s: float | None
    ) -> None:
        """Count an answer; ``first_byte_s`` is None if not measured."""
        stats = self.stats_for(version)
        stats.answers += 1
        stats.bad += bad
        if first_byte_s is not None and not bad:
            stats.log_time_sum += math.log(max(first_byte_s, 1e-3))
            stats.timed += 1

    def evaluate(self) -> bool:
        """Return whether the statistics of all entries show a bad version."""
        if self.is_bad or self.state is not RolloutState.IN_PROGRESS:
            return self.is_bad
        new, old = self.combined_stats()
        fails_more = (
            new.bad >= _MIN_BAD_ANSWERS
            and new.bad_share > old.bad_share + _MAX_BAD_SHARE_EXCESS
        )
        is_slower = min(
            new.timed, old.timed
        ) >= _MIN_TIMED_ANSWERS and new.mean_log_time - old.mean_log_time > math.log(
            _MAX_SLOWDOWN_RATIO
        )
        self.is_bad = fails_more or is_slower
        return self.is_bad

    def combined_stats(self) -> tuple[AnswerStats, AnswerStats]:
        """Return the statistics of all entries for the new and old version."""
        new, old = attrs.evolve(self.new), attrs.evolve(self.old)
        for report in self.reports.values():
            new.add(report.new)
            old.add(report.old)
        return new, old

    def next_state(self, now_s: float) -> RolloutState:
        """Return the state that should be reported now."""
        if self.state is not RolloutState.IN_PROGRESS:
            return self.state
        if self.evaluate():
            return RolloutState.REVERTED
        if self._elapsed_fraction(now_s) < _COMPLETION_START:
            return RolloutState.IN_PROGRESS
        if self._elapsed_fraction(now_s) >= _COMPLETION_DEADLINE:
            return RolloutState.COMPLETED
        all_moved = all(report.share >= 1.0 for report in self.reports.values())
        _, old = self.combined_stats()
        if all_moved and not old.in_flight and self.new.answers:
            return RolloutState.COMPLETED
        return RolloutState.IN_PROGRESS

    def adopt_elapsed(self, passed_s: float, now_s: float) -> None:
        """Move the start back if an entry reports a longer running time.

        ``passed_s`` is the time since the rollout started at that entry.
        """
        self.started_at_s = min(self.started_at_s, now_s - passed_s)

    def report(self, now_s: float) -> RolloutReport:
        """Return this entry's report for the other entries."""
        return RolloutReport(
            order_id=self.order_id,
            share=self.share(now_s),
            passed_s=round(now_s - self.started_at_s, 1),
            new=attrs.evolve(self.new),
            old=attrs.evolve(self.old),
        )

    def _elapsed_fraction(self, now_s: float) -> float:
        return (now_s - self.started_at_s) / self.order.duration_s
