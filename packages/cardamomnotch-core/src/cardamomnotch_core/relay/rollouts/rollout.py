"""Rollout of a new version of a service, reverted if the version is bad."""

import bisect
from collections.abc import Hashable, Iterable, Sequence
from enum import StrEnum

import attrs

from cardamomnotch_protocol.store_position import StorePosition

from ..limits import RelayLimits
from ..models import RolloutOrder
from .answer_times import AnswerTimes, chance_of_slowness
from .const import ROLLOUT_FIRST_STAGE_FACTOR, ROLLOUT_SECOND_STAGE_FACTOR

# Fractions of the rollout's duration at which the new version's share grows.
_SECOND_STAGE_START = 0.55
_LAST_STAGE_START = 0.75
_STAGE_STARTS = (0.0, _SECOND_STAGE_START, _LAST_STAGE_START)
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
# A version is bad, or suspect, if chance makes a version look as slow at most
# this often.
_MAX_CHANCE_OF_BAD = 1e-4
_MAX_CHANCE_OF_SUSPECT = 1e-2
# Added to the expected time to the first byte, in seconds, before a time is
# divided by it.
_EXPECTED_TIME_MARGIN_S = 0.05


class RolloutState(StrEnum):
    """State of a rollout."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    REVERTED = "reverted"


# State reported at the completion deadline, by whether the new version is
# suspect.
_STATE_AT_DEADLINE = {False: RolloutState.COMPLETED, True: RolloutState.REVERTED}


@attrs.define
class AnswerStats:
    """Statistics of the answers of one version during a rollout.

    Field names are part of the stored entry record.
    """

    answers: int = 0
    bad: int = 0
    in_flight: int = 0
    times: AnswerTimes = attrs.field(factory=AnswerTimes)

    def add(self, other: "AnswerStats") -> None:
        """Add the statistics of another entry or process."""
        self.answers += other.answers
        self.bad += other.bad
        self.in_flight += other.in_flight
        self.times.add(other.times)

    def copy(self) -> "AnswerStats":
        """Return a copy that does not change with this object."""
        copied = AnswerStats()
        copied.add(self)
        return copied

    def copy_ended(self) -> "AnswerStats":
        """Return a copy without the attempts in flight, which have ended."""
        return attrs.evolve(self.copy(), in_flight=0)

    @property
    def bad_share(self) -> float:
        """Return the share of bad answers, with one good answer added."""
        return self.bad / (self.answers + 1)


@attrs.frozen(kw_only=True)
class RolloutReport:
    """Statistics of one entry, or of a zone's entries, about one rollout.

    Field names are part of the stored entry record.
    """

    order_id: StorePosition
    # Share of its requests that the entry sends to the new version; the
    # smallest one of the zone's entries.
    share: float
    # Time since the rollout started, in seconds.
    passed_s: float = 0.0
    new: AnswerStats
    old: AnswerStats
    # Availability zone whose entries the statistics are of; empty if they are
    # of the reporting entry alone.
    zone: str = ""
    # Number of processes whose statistics are included.
    entries: int = 1

    @property
    def answers(self) -> int:
        """Return the number of answers of both versions."""
        return self.new.answers + self.old.answers

    @property
    def decision_inputs(self) -> tuple[object, ...]:
        """Return what may alter the decisions of other entries."""
        return (
            self.order_id,
            self.share,
            self.new.bad,
            self.new.times.slow_answers(),
            self.share >= 1.0 and self.old.in_flight == 0,
        )

    def copy_ended(self) -> "RolloutReport":
        """Return a copy for an entry that is gone, whose attempts have ended."""
        return attrs.evolve(
            self, new=self.new.copy_ended(), old=self.old.copy_ended(), share=1.0
        )


@attrs.define
class _WaitingAttempt:
    """An attempt that waits for the first byte of its answer."""

    version: str
    sent_at_s: float
    expected_s: float

    def time_ratio(self, now_s: float) -> float:
        """Return the time since the attempt was sent by the expected time."""
        return (now_s - self.sent_at_s) / (self.expected_s + _EXPECTED_TIME_MARGIN_S)


@attrs.define
class Rollout:
    """One rollout, with the answer statistics of all entries."""

    order: RolloutOrder
    # Position in the store of the order; larger for later orders of the service.
    order_id: StorePosition
    started_at_s: float
    state: RolloutState = RolloutState.IN_PROGRESS
    # Largest share of the service's requests during the rollout that the new
    # version may receive if it is bad.
    exposure_share: float = RelayLimits().exposure_share
    # True once the statistics show that the new version is bad, whether or not
    # the rollout has been reported as reverted.
    is_bad: bool = False
    # True while the answer times make it likely that the new version is bad:
    # it gets the share of the previous stage and is not completed.
    is_suspect: bool = False
    # Statistics of this entry for the new and the old version.
    new: AnswerStats = attrs.field(factory=AnswerStats)
    old: AnswerStats = attrs.field(factory=AnswerStats)
    # This entry's attempts in flight: the version by key, and those without a
    # first byte.
    _versions_in_flight: dict[Hashable, str] = attrs.field(factory=dict)
    _waiting: dict[Hashable, _WaitingAttempt] = attrs.field(factory=dict)
    # Latest stored reports of the other entries, by entry name.
    reports: dict[str, RolloutReport] = attrs.field(factory=dict)
    # Availability zone of this entry.
    zone: str = ""
    # Reports that entries of the zone have sent to this one, by their names and
    # incarnations.
    _collected: dict[tuple[str, str], RolloutReport] = attrs.field(factory=dict)

    @property
    def _stage_shares(self) -> tuple[float, float, float]:
        """Return the new version's share of the requests in each stage."""
        return (
            ROLLOUT_FIRST_STAGE_FACTOR * self.exposure_share,
            min(1.0, ROLLOUT_SECOND_STAGE_FACTOR * self.exposure_share),
            1.0,
        )

    def stats_for(self, version: str) -> AnswerStats:
        """Return this entry's statistics for ``version``."""
        return self.new if version == self.order.target else self.old

    def share(self, now_s: float) -> float:
        """Return the share of requests that go to the new version."""
        if self.state is RolloutState.COMPLETED:
            return 1.0
        if self.state is RolloutState.REVERTED or self.is_bad:
            return 0.0
        stage = bisect.bisect_right(_STAGE_STARTS, self._elapsed_fraction(now_s)) - 1
        if self.is_suspect:
            stage -= 1
        return self._stage_shares[max(0, stage)]

    def pins_sessions(self, now_s: float) -> bool:
        """Return whether active sessions must keep their version."""
        return self._elapsed_fraction(now_s) < _SECOND_STAGE_START

    def has_withdrawn(self, version: str) -> bool:
        """Return whether ``version`` must receive no new requests."""
        if version == self.order.target:
            return self.is_bad or self.state is RolloutState.REVERTED
        return self.state is RolloutState.COMPLETED

    def record_sent(
        self, key: Hashable, version: str, expected_s: float, now_s: float
    ) -> None:
        """Record an attempt; its first byte is expected after ``expected_s``."""
        self.stats_for(version).in_flight += 1
        self._versions_in_flight[key] = version
        self._waiting[key] = _WaitingAttempt(version, now_s, expected_s)

    def record_first_byte(self, key: Hashable, now_s: float) -> None:
        """Count the time to an attempt's first byte."""
        attempt = self._waiting.pop(key, None)
        if attempt is not None:
            times = self.stats_for(attempt.version).times
            times.record(attempt.time_ratio(now_s))

    def record_ended(self, key: Hashable, now_s: float) -> None:
        """Record the end of an attempt.

        If it got no first byte within the expected time, its time until now
        is counted.
        """
        version = self._versions_in_flight.pop(key, None)
        if version is None:
            return
        stats = self.stats_for(version)
        stats.in_flight -= 1
        attempt = self._waiting.pop(key, None)
        if attempt is not None and attempt.time_ratio(now_s) > 1.0:
            stats.times.record(attempt.time_ratio(now_s))

    def record_answer(self, version: str, bad: bool) -> None:
        """Count an answer."""
        stats = self.stats_for(version)
        stats.answers += 1
        stats.bad += bad

    def evaluate(self, now_s: float) -> bool:
        """Return whether the statistics of all entries show a bad version."""
        if self.is_bad or self.state is not RolloutState.IN_PROGRESS:
            return self.is_bad
        new, old = self.combined_stats(now_s)
        fails_more = (
            new.bad >= _MIN_BAD_ANSWERS
            and new.bad_share > old.bad_share + _MAX_BAD_SHARE_EXCESS
        )
        chance = chance_of_slowness(new.times, old.times)
        self.is_bad = fails_more or chance <= _MAX_CHANCE_OF_BAD
        self.is_suspect = chance <= _MAX_CHANCE_OF_SUSPECT
        return self.is_bad

    def combined_stats(self, now_s: float) -> tuple[AnswerStats, AnswerStats]:
        """Return the statistics of all entries for the new and old version."""
        return _sum_stats(self._zone_reports(now_s))

    def next_state(self, now_s: float) -> RolloutState:
        """Return the state that should be reported now."""
        if self.state is not RolloutState.IN_PROGRESS:
            return self.state
        if self.evaluate(now_s):
            return RolloutState.REVERTED
        if self._elapsed_fraction(now_s) < _COMPLETION_START:
            return RolloutState.IN_PROGRESS
        if self._elapsed_fraction(now_s) >= _COMPLETION_DEADLINE:
            return _STATE_AT_DEADLINE[self.is_suspect]
        if self.is_suspect:
            return RolloutState.IN_PROGRESS
        reports = self._zone_reports(now_s)
        all_moved = all(report.share >= 1.0 for report in reports)
        _, old = _sum_stats(reports)
        if all_moved and not old.in_flight and self.new.answers:
            return RolloutState.COMPLETED
        return RolloutState.IN_PROGRESS

    def adopt_elapsed(self, passed_s: float, now_s: float) -> None:
        """Move the start back if an entry reports a longer running time.

        ``passed_s`` is the time since the rollout started at that entry.
        """
        self.started_at_s = min(self.started_at_s, now_s - passed_s)

    def collect(
        self,
        entry: str,
        incarnation: str,
        report: RolloutReport,
        now_s: float,
        resumed: str = "",
    ) -> None:
        """Replace what a process of the own zone has reported.

        It includes the statistics of the entry's incarnation ``resumed``.
        """
        if report.order_id != self.order_id:
            return
        if (entry, incarnation) not in self._collected:
            # The statistics of its earlier processes stay valid.
            self.forget_entry(entry)
            self._collected.pop((entry, resumed), None)
        self._collected[entry, incarnation] = report
        self.adopt_elapsed(report.passed_s, now_s)

    def forget_entry(self, entry: str) -> None:
        """Clear the requests in flight of an entry that is gone.

        Its answer statistics stay valid.
        """
        if entry in self.reports:
            self.reports[entry] = self.reports[entry].copy_ended()
        for key in self._collected:
            if key[0] == entry:
                self._collected[key] = self._collected[key].copy_ended()

    def zone_report(self, now_s: float) -> RolloutReport:
        """Return the report of this entry and of those that report to it."""
        own = self.report(now_s)
        reports = (own, *self._collected.values())
        new, old = _sum_stats(reports)
        return attrs.evolve(
            own,
            share=min(report.share for report in reports),
            new=new,
            old=old,
            zone=self.zone,
            entries=len(reports),
        )

    def report(self, now_s: float) -> RolloutReport:
        """Return this entry's own report for the other entries."""
        new, old = self._current_stats(now_s)
        return RolloutReport(
            order_id=self.order_id,
            share=self.share(now_s),
            passed_s=round(now_s - self.started_at_s, 1),
            new=new,
            old=old,
        )

    def _current_stats(self, now_s: float) -> tuple[AnswerStats, AnswerStats]:
        """Return copies of this entry's statistics, for the new and old version.

        Attempts that have waited longer than expected for their first byte
        are included with their time until now.
        """
        new, old = self.new.copy(), self.old.copy()
        for attempt in self._waiting.values():
            ratio = attempt.time_ratio(now_s)
            if ratio > 1.0:
                stats = new if attempt.version == self.order.target else old
                stats.times.record(ratio)
        return new, old

    def _zone_reports(self, now_s: float) -> Sequence[RolloutReport]:
        """Return one report for each zone, and for each entry without a zone.

        Several entries of a zone may have a report of it for a while, when one
        takes the place of another: the one with the most answers counts.
        """
        chosen = {(self.zone, ""): self.zone_report(now_s)}
        for entry, report in self.reports.items():
            key = (report.zone, "" if report.zone else entry)
            if key not in chosen or report.answers > chosen[key].answers:
                chosen[key] = report
        return tuple(chosen.values())

    def _elapsed_fraction(self, now_s: float) -> float:
        return (now_s - self.started_at_s) / self.order.duration_s


def _sum_stats(reports: Iterable[RolloutReport]) -> tuple[AnswerStats, AnswerStats]:
    """Return the sums of the statistics of the new and the old version."""
    new, old = AnswerStats(), AnswerStats()
    for report in reports:
        new.add(report.new)
        old.add(report.old)
    return new, old
