"""Which requests are blocked after crashes of several upstreams."""

import pytest

from cardamomnotch_core.relay.crashes.const import (
    CRASH_REPORT_SPREAD_S,
    CRASH_RETENTION_S,
    END_MOMENT_S,
    MAX_SUSPECTS,
    QUARANTINE_GROWTH,
    QUARANTINE_S,
)
from cardamomnotch_core.relay.crashes.detection import Crash, Suspicion
from cardamomnotch_core.relay.crashes.evidence import Refutation
from cardamomnotch_core.relay.crashes.isolation import Isolation
from cardamomnotch_core.relay.crashes.process_ends import ProcessEnds
from cardamomnotch_core.relay.crashes.quarantine import Decision, Quarantine

# A time by which all reports have arrived.
LATER_S = 10.0


@pytest.fixture
def ends():
    """Return the ends of processes that the quarantine knows of."""
    return ProcessEnds()


@pytest.fixture
def quarantine(ends):
    """Return a quarantine without evidence."""
    return Quarantine(ends)


@pytest.fixture
def crash(quarantine):
    """Return a function that records a crash with the suspects of a request.

    Without a time, upstreams with different numbers end at different moments.
    """

    def record(process, *suspects, suspicion=Suspicion.BEGINNING, now_s=None):
        if now_s is None:
            now_s = 2 * END_MOMENT_S * int(process[1:])
        for suspect in suspects:
            quarantine.record_crash(
                Crash(suspect=suspect, process=process, suspicion=suspicion), now_s
            )

    return record


@pytest.fixture
def is_blocked(quarantine):
    """Return a function that tells whether a request is blocked."""

    def check(*suspects, now_s=LATER_S):
        return quarantine.decide(frozenset(suspects), now_s).is_blocked

    return check


def test_one_crash_blocks_nothing(crash, is_blocked):
    """A request that has crashed one upstream may run again."""
    crash("u1", "r1", "a", "bad")
    assert not is_blocked("r1", "a", "bad")


def test_second_crash_of_one_request_blocks_that_request(crash, is_blocked):
    """While one request explains all crashes, others with its parts may run."""
    crash("u1", "r1", "a", "bad")
    crash("u2", "r1", "a", "bad")
    assert is_blocked("r1", "a", "bad")
    assert not is_blocked("r2", "a", "bad")


def test_part_common_to_all_crashes_is_blocked(crash, is_blocked):
    """A part that crashed upstreams in two requests is blocked in any other."""
    crash("u1", "r1", "a", "bad")
    crash("u2", "r2", "b", "bad")
    assert is_blocked("r3", "c", "bad")
    assert not is_blocked("r4", "a")
    assert not is_blocked("r4", "b")


def test_parts_that_always_come_together_are_blocked_together(crash, is_blocked):
    """Requests with only one of two parts that explain all crashes may run."""
    for number in range(3):
        crash(f"u{number}", f"r{number}", "subject", "bad")
    assert is_blocked("r9", "subject", "bad")
    assert not is_blocked("r9", "subject")
    assert not is_blocked("r9", "bad")


def test_sound_request_at_the_same_upstreams_is_not_blocked(crash, is_blocked):
    """A request that shared each crash with the cause is not blocked for them."""
    crash("u1", "r1", "bad")
    crash("u1", "sound", "a", suspicion=Suspicion.BEGINNING)
    crash("u2", "r1", "bad")
    crash("u2", "sound", "a", suspicion=Suspicion.BEGINNING)
    assert not is_blocked("sound", "a")
    crash("u3", "r2", "bad")
    assert is_blocked("r3", "bad")
    assert not is_blocked("sound", "a")


def test_less_suspected_request_does_not_protect_the_cause(crash, is_blocked):
    """A request that only waited at each crash explains none as well."""
    crash("u1", "r1", "bad")
    crash("u1", "sound", suspicion=Suspicion.WAITING)
    crash("u2", "r1", "bad")
    crash("u2", "sound", suspicion=Suspicion.ANSWERING)
    assert is_blocked("r1", "bad")
    assert not is_blocked("sound")


def test_stronger_suspicion_replaces_a_weaker_one(crash, is_blocked):
    """Of two reports of one crash the stronger one counts, in either order."""
    orders = [Suspicion.ANSWERING, Suspicion.BEGINNING], [Suspicion.WAITING]
    for order in (*orders, orders[0][::-1]):
        for suspicion in order:
            crash("u1", "r1", suspicion=suspicion)
            crash("u2", "r1", suspicion=suspicion)
    crash("u1", "sound", suspicion=Suspicion.WAITING)
    crash("u2", "sound", suspicion=Suspicion.WAITING)
    assert is_blocked("r1")
    assert not is_blocked("sound")


def test_part_that_is_answered_does_not_protect_the_cause(
    quarantine, crash, is_blocked
):
    """A common part of other requests at each crash explains none as well."""
    for number in range(2):
        quarantine.record_completed({"common"}, float(number))
        crash(f"u{number}", "r1", "bad", now_s=number + 0.5)
        crash(f"u{number}", f"sound{number}", "common", now_s=number + 0.5)
        assert not is_blocked("r2", "common")
    assert is_blocked("r1", "bad")
    assert not is_blocked("r2", "common")


def test_part_that_was_answered_before_can_be_the_cause(quarantine, crash, is_blocked):
    """An earlier answer protects a part from the blame for two crashes only."""
    quarantine.record_completed({"bad", "common"}, 0.0)
    for number in range(3):
        assert not is_blocked("r9", "bad")
        crash(f"u{number}", f"r{number}", "bad")
        crash(f"u{number}", f"sound{number}", "common" if number else "other")
    assert is_blocked("r9", "bad")
    assert not is_blocked("r9", "common")


def test_request_waits_until_other_entries_have_reported(quarantine, crash, is_blocked):
    """A request that another entry's report may clear is not refused yet."""
    crash("u1", "sound", now_s=1.0)
    crash("u2", "sound", now_s=2.0)
    decision = quarantine.decide({"sound"}, 2.0)
    assert decision == Decision(wait_s=CRASH_REPORT_SPREAD_S)
    reports = [
        Crash(suspect="r1", process=process, suspicion=Suspicion.BEGINNING)
        for process in ("u1", "u2")
    ]
    quarantine.add_reported(reports, (), 2.5)
    assert not is_blocked("sound", now_s=2.0 + CRASH_REPORT_SPREAD_S)


def test_fresh_crash_does_not_block_a_request_that_was_cleared(
    quarantine, crash, is_blocked
):
    """A new crash counts against a request after other entries' reports of it."""
    for number in range(2):
        crash(f"u{number}", "sound")
        crash(f"u{number}", f"r{number}", "bad")
    crash("u9", "r9", "bad", now_s=2.0)
    crash("u2", "sound", now_s=5.0)
    assert not is_blocked("sound", now_s=5.0)
    assert quarantine.decide({"sound"}, 5.0) == Decision(wait_s=CRASH_REPORT_SPREAD_S)
    assert is_blocked("r3", "bad", now_s=5.0)
    report = Crash(suspect="bad", process="u2", suspicion=Suspicion.BEGINNING)
    quarantine.add_reported([report], (), 5.5)
    assert quarantine.decide({"sound"}, 6.0) == Decision()


def test_suspect_of_two_crashes_waits_although_another_explains_them(quarantine, crash):
    """A request is not sent again before refutations may leave it as the cause."""
    for number in range(2):
        crash(f"u{number}", "r1")
        crash(f"u{number}", "sound")
    last_s = 2 * END_MOMENT_S
    assert quarantine.decide({"r1"}, last_s) == Decision(wait_s=CRASH_REPORT_SPREAD_S)
    quarantine.add_reported((), [Refutation("sound", "u0")], last_s + 0.5)
    assert quarantine.decide({"r1"}, last_s + CRASH_REPORT_SPREAD_S).is_blocked


@pytest.mark.parametrize("record", ["record_completed", "record_outlasted_onset"])
def test_part_of_an_answered_request_is_not_blocked(
    quarantine, crash, is_blocked, record
):
    """Crashes count for a part until a request with it is answered."""
    crash("u1", "r1", "a")
    crash("u2", "r2", "a", suspicion=Suspicion.WAITING)
    assert is_blocked("r3", "a")
    getattr(quarantine, record)({"r4", "a"}, 1.0)
    assert not is_blocked("r3", "a")
    crash("u1", "r1", "a")
    assert not is_blocked("r3", "a")


def test_only_a_complete_answer_refutes_a_late_crash(quarantine, crash, is_blocked):
    """A request that crashes upstreams late in its answer is blocked."""
    for number in range(2):
        quarantine.record_outlasted_onset({"r1"}, float(number))
        crash(f"u{number}", "r1", suspicion=Suspicion.ANSWERING)
    assert is_blocked("r1")
    quarantine.record_completed({"r1"}, 3.0)
    assert not is_blocked("r1")


def test_refutations_that_another_entry_needs_are_reported(quarantine):
    """A refutation is reported once others may count enough crashes without it."""
    first = Crash(suspect="a", process="u1")
    second = Crash(suspect="a", process="u2")
    quarantine.add_reported([first], (), 0.0)
    quarantine.record_completed({"a"}, 1.0)
    assert quarantine.unreported_refutations == ()
    quarantine.add_reported([second], (), 2.0)
    assert quarantine.unreported_refutations == (Refutation("a", "u1"),)
    quarantine.mark_reported((), quarantine.unreported_refutations)
    assert quarantine.unreported_refutations == ()


def test_refutation_of_another_entry_counts(quarantine, crash, is_blocked):
    """What an entry has refuted does not count at the others, in any order."""
    crash("u1", "a")
    quarantine.add_reported((), [Refutation("a", "u1"), Refutation("a", "u2")], 1.0)
    crash("u2", "a", now_s=2.0)
    crash("u3", "a", now_s=2.0)
    assert not is_blocked("a")
    assert quarantine.unreported_refutations == ()


def test_blocked_suspect_is_tried_alone_after_a_while(quarantine, crash, is_blocked):
    """A failed trial makes the block longer, an answer ends it at all entries."""
    request = frozenset({"r9", "part:bad"})
    for number in range(2):
        crash(f"u{number}", f"r{number}", "part:bad", now_s=float(number))
    last_s, block_s = 1.0, QUARANTINE_S
    for number in range(2, 4):
        end_s = last_s + block_s
        decision = quarantine.decide(request, end_s - 0.1)
        assert decision.is_blocked
        assert decision.retry_after_s == pytest.approx(0.1)
        assert not quarantine.exclusive_suspects(request, end_s - 0.1)
        assert not quarantine.decide(request, end_s).is_blocked
        assert quarantine.isolation(request, end_s) is Isolation.REQUIRED
        assert quarantine.exclusive_suspects(request, end_s) == {"part:bad"}
        last_s = end_s + 1.0
        block_s *= QUARANTINE_GROWTH
        crash(f"u{number}", f"r{number}", "part:bad", now_s=last_s)
    quarantine.record_completed(request, last_s + 2.0)
    assert not is_blocked("r9", "part:bad", now_s=last_s + 3.0)
    assert len(quarantine.unreported_refutations) == 4


def test_evidence_expires(quarantine, crash, is_blocked):
    """Crashes and refutations are forgotten after their retention time."""
    crash("u1", "r1")
    quarantine.record_completed({"r1"}, 0.0)
    crash("u1", "r1", now_s=CRASH_RETENTION_S + 1.0)
    crash("u2", "r1", now_s=CRASH_RETENTION_S + 2.0)
    assert is_blocked("r1", now_s=CRASH_RETENTION_S + LATER_S)
    assert not quarantine.crashes("r1", 2 * CRASH_RETENTION_S + 2.0)
    assert quarantine.totals == {}


def test_number_of_suspects_is_bounded(quarantine, crash):
    """The suspects with the oldest crashes are evicted."""
    for number in range(MAX_SUSPECTS + 5):
        crash(f"u{number}", f"r{number}", now_s=float(number) / MAX_SUSPECTS)
    assert len(quarantine.totals) == MAX_SUSPECTS
    assert "r4" not in quarantine.totals


def test_common_part_of_a_broken_stream_is_not_blocked(crash, is_blocked):
    """A part of most requests is not blamed when two upstreams end at once."""
    for process in ("u1", "u2", "u3"):
        crash(process, "r1", "first", "style", suspicion=Suspicion.ANSWERED)
    crash("u1", "r2", "first", suspicion=Suspicion.ANSWERING)
    assert not is_blocked("r3", "first", "subject")
    assert is_blocked("r4", "first", "style", "r1")


def test_refutation_that_entries_send_to_each_other_is_stored(quarantine):
    """An entry that hears of its own refutation from another still stores it."""
    refutations = [Refutation("a", "u1"), Refutation("a", "u2")]
    crashes = [Crash(suspect="a", process=process) for process in ("u1", "u2")]
    quarantine.add_reported(crashes, (), 0.0)
    quarantine.record_completed({"a"}, 1.0)
    quarantine.add_reported((), refutations, 1.1, is_stored=False)
    assert quarantine.unreported_refutations == tuple(refutations)
    quarantine.add_reported((), refutations, 1.2)
    assert quarantine.unreported_refutations == ()


def test_upstreams_that_end_together_count_as_one_crash(crash, is_blocked):
    """Whatever ends several upstreams at once may be no request."""
    for number in range(9):
        crash(f"u{number}", f"r{number}", "common", now_s=1.0)
    assert not is_blocked("r9", "common")
    crash("u9", "r9", "common", now_s=2.0)
    assert is_blocked("r9", "common")


def test_crashes_of_one_moment_count_if_they_followed_each_other(
    quarantine, is_blocked
):
    """A request that is sent again at once crashes two upstreams at one moment."""
    for number in range(2):
        crash = Crash(suspect="r1", process=f"u{number}", is_subsequent=number > 0)
        quarantine.record_crash(crash, 1.0)
    assert is_blocked("r1")
    quarantine.record_crash(Crash(suspect="r1", process="u1"), 1.0)
    assert not is_blocked("r1")


def test_crash_counts_less_beside_ends_that_no_suspect_explains(
    quarantine, ends, crash, is_blocked
):
    """One more crash is required where upstreams end without suspects."""
    crash("u1", "r1", now_s=1.0)
    crash("u2", "r1", now_s=2.0)
    ends.record("u3", 3.0)
    assert not is_blocked("r1")
    assert quarantine.isolation({"r1"}, LATER_S) is Isolation.PREFERRED
    crash("u4", "r1", now_s=4.0)
    assert is_blocked("r1")


def test_moment_with_more_ends_that_no_suspect_explains_does_not_count(
    ends, crash, is_blocked
):
    """A suspect is not blamed for a moment at which most ends are not its own."""
    for number in range(4):
        crash(f"u{number}", "r1", now_s=float(number))
        for other in range(2):
            ends.record(f"o{number}{other}", number + 0.1)
    assert not is_blocked("r1")


def test_common_part_needs_more_crashes_the_more_often_it_is_answered(
    quarantine, crash, is_blocked
):
    """Each doubling of a part's answers requires one more crash."""
    for number in range(10):
        quarantine.record_completed({"common"}, number / 10)
    for number in range(1, 6):
        assert not is_blocked("r9", "common")
        crash(f"u{number}", f"r{number}", "common", now_s=float(number))
    assert is_blocked("r9", "common")


def test_crashes_of_one_stored_report_count_as_one(quarantine, is_blocked):
    """An entry that starts reads reports of crashes that were long ago."""
    reports = {"r1": ("u1", "u2", "u3"), "r2": ("u1",), "common": ("u2", "u4")}
    for suspect, processes in reports.items():
        crashes = [Crash(suspect=suspect, process=process) for process in processes]
        quarantine.add_reported(crashes, (), 0.0, is_recent=False)
    assert not is_blocked("r1")
    assert not is_blocked("common")
    again = [Crash(suspect="r2", process="u5")]
    quarantine.add_reported(again, (), 0.0, is_recent=False)
    assert is_blocked("r2", now_s=QUARANTINE_S / 2)


def test_last_upstream_is_protected_after_crashes_of_suspects_alone(
    quarantine, ends, crash
):
    """Ends that no suspect explains keep suspects from no upstream."""
    crash("u1", "r1", now_s=1.0)
    assert not quarantine.protects_last_upstream(2.0)
    crash("u2", "r2", now_s=2.0)
    assert quarantine.protects_last_upstream(3.0)
    ends.record("u3", 3.0)
    assert not quarantine.protects_last_upstream(4.0)
