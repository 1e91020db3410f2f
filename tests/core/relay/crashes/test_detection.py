"""Which attempts are suspected when an upstream's process ends."""

import pytest

from cardamomnotch_core.relay.const import MAX_ATTEMPT_S
from cardamomnotch_core.relay.crashes.const import CRASH_NOTICE_S, CRASH_ONSET_S
from cardamomnotch_core.relay.crashes.detection import (
    AttemptEnd,
    CrashDetector,
    Suspicion,
)

SUSPECTS = frozenset({"print", "part:a"})


@pytest.fixture
def detector():
    """Return a detector without attempts."""
    return CrashDetector()


@pytest.fixture
def run_attempt(detector):
    """Return a function that records one attempt at the process "up@1"."""

    def run(key, end, *, began_s=None, ended_s, sent_s=0.0):
        detector.record_sent(key, "up@1", SUSPECTS, sent_s)
        if began_s is not None:
            detector.record_first_byte(key, began_s)
        return detector.record_ended(key, end, ended_s)

    return run


def suspicions(crashes):
    """Return the suspicion of each crash's suspects; each must be named once."""
    by_suspect = {crash.suspect: crash.suspicion for crash in crashes}
    assert len(by_suspect) == len(crashes)
    assert {crash.process for crash in crashes} <= {"up@1"}
    return by_suspect


@pytest.mark.parametrize(
    ("end", "began_s", "expected"),
    [
        (AttemptEnd.LOST, None, Suspicion.WAITING),
        (AttemptEnd.LOST, 9.9, Suspicion.BEGINNING),
        (AttemptEnd.LOST, 10.1 - CRASH_ONSET_S, Suspicion.BEGINNING),
        (AttemptEnd.LOST, 9.9 - CRASH_ONSET_S, Suspicion.ANSWERING),
        (AttemptEnd.ABANDONED, None, Suspicion.WAITING),
        (AttemptEnd.ABANDONED, 9.9, Suspicion.BEGINNING),
        (AttemptEnd.ABANDONED, 9.9 - CRASH_ONSET_S, None),
        (AttemptEnd.COMPLETED, 9.9, None),
        (AttemptEnd.NEUTRAL, None, None),
    ],
)
def test_suspicion_depends_on_the_answer(detector, run_attempt, end, began_s, expected):
    """An answer that has just begun is suspected most, a completed one never."""
    run_attempt("other", AttemptEnd.LOST, ended_s=10.0)
    detector._unanswered[0].suspects = frozenset({"other"})
    assert run_attempt("key", end, began_s=began_s, ended_s=10.0) == ()
    found = suspicions(detector.record_process_ended("up@1", 10.2))
    assert found.pop("other") is Suspicion.WAITING
    assert found == ({} if expected is None else dict.fromkeys(SUSPECTS, expected))


@pytest.mark.parametrize(
    ("began_s", "expected"),
    [
        (None, Suspicion.WAITING),
        (5.0, Suspicion.WAITING),
        (10.1 - CRASH_ONSET_S, Suspicion.BEGINNING),
    ],
)
def test_time_of_a_silent_crash_is_unknown(detector, run_attempt, began_s, expected):
    """Without a broken connection a crash may have been at any time before."""
    ended_s = began_s or 5.0
    run_attempt("key", AttemptEnd.ABANDONED, began_s=began_s, ended_s=ended_s)
    found = suspicions(detector.record_process_ended("up@1", 10.0))
    assert found == dict.fromkeys(SUSPECTS, expected)


@pytest.mark.parametrize(
    ("ended_s", "is_suspected"),
    [(0.0, True), (-0.1, False)],
    ids=["within the notice time", "before it"],
)
def test_attempt_is_suspected_for_a_while(detector, run_attempt, ended_s, is_suspected):
    """The end of a process is attributed to its last attempts only."""
    run_attempt("key", AttemptEnd.LOST, ended_s=ended_s)
    crashes = detector.record_process_ended("up@1", CRASH_NOTICE_S)
    assert bool(crashes) is is_suspected


def test_each_attempt_is_suspected_once(detector, run_attempt):
    """An end that is noticed twice is attributed once."""
    run_attempt("key", AttemptEnd.LOST, ended_s=1.0)
    assert detector.record_process_ended("up@1", 1.0)
    assert detector.record_process_ended("up@1", 1.1) == ()


def test_later_end_of_an_attempt_counts_at_once(detector, run_attempt):
    """An attempt that ends after its process is suspected by its state then."""
    run_attempt("first", AttemptEnd.LOST, ended_s=1.0)
    detector.record_process_ended("up@1", 1.2)
    crashes = run_attempt("second", AttemptEnd.LOST, began_s=0.9, ended_s=2.5)
    assert suspicions(crashes) == dict.fromkeys(SUSPECTS, Suspicion.BEGINNING)
    later_s = 1.2 + MAX_ATTEMPT_S
    detector.record_process_ended("other@1", later_s)
    assert run_attempt("third", AttemptEnd.LOST, ended_s=later_s) == ()


def test_other_processes_are_not_concerned(detector, run_attempt):
    """The end of a process says nothing about attempts at others."""
    run_attempt("key", AttemptEnd.LOST, ended_s=1.0)
    assert detector.record_process_ended("up@2", 1.0) == ()


@pytest.mark.parametrize("sent_s", [0.9, 1.1])
def test_crash_of_a_request_sent_after_another_end_is_subsequent(
    detector, run_attempt, sent_s
):
    """A crash that the end of another process cannot have come with is marked."""
    detector.record_process_ended("up@0", 1.0)
    run_attempt("key", AttemptEnd.LOST, ended_s=1.2, sent_s=sent_s)
    crashes = detector.record_process_ended("up@1", 1.2)
    assert {crash.is_subsequent for crash in crashes} == {sent_s > 1.0}
