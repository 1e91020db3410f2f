"""Crashes of upstreams with requests that have thousands of prompt parts."""

import time

import pytest

from cardamomnotch_core.relay.crashes.const import (
    CRASH_REPORT_SPREAD_S,
    CRASH_RETENTION_S,
    MAX_CRASHES,
    MAX_EXPIRED_AT_ONCE,
    MAX_LOGGED_SUSPECTS,
    MAX_SUSPECTS,
)
from cardamomnotch_core.relay.crashes.detection import Crash, Suspicion
from cardamomnotch_core.relay.crashes.quarantine import Quarantine

MANY_PARTS = 2_290
REQUESTS = 6
# Processor time for which the event loop may stand still, in seconds: ordinary requests
# are late if they have no answer 0.5 s after their timeout.
MAX_PROCESSOR_S = 0.5


def suspects_of(number, *shared, count=MANY_PARTS):
    """Return the suspects of a request with parts that no other request has."""
    parts = (f"part:{number}-{part}" for part in range(count))
    return frozenset((f"r{number}", *shared, *parts))


def crashes_of(process, *requests, suspicion=Suspicion.WAITING):
    """Return the crashes that the end of a process gives for requests."""
    return [
        Crash(suspect=suspect, process=process, suspicion=suspicion)
        for suspects in requests
        for suspect in sorted(suspects)
    ]


@pytest.fixture
def listed():
    """Return what the quarantine's listener was called with."""
    return []


@pytest.fixture
def quarantine(listed):
    """Return a quarantine with a listener."""
    quarantine = Quarantine()
    quarantine.subscribe(lambda *event: listed.append(event))
    return quarantine


@pytest.fixture
def processor_s():
    """Return a function that returns the processor time since its last call."""
    last_s = time.process_time()

    def elapsed():
        nonlocal last_s
        previous_s, last_s = last_s, time.process_time()
        return last_s - previous_s

    return elapsed


def test_crash_with_many_suspects_stops_the_loop(quarantine, listed, processor_s):
    """All suspects of a crash are counted in little time, and some of them listed."""
    crashes = crashes_of("u1", *(suspects_of(number) for number in range(REQUESTS)))
    processor_s()
    quarantine.record_crashes(crashes, 0.0)
    assert processor_s() < MAX_PROCESSOR_S
    assert quarantine.suspect_count == len(crashes)
    assert len(listed) == MAX_LOGGED_SUSPECTS
    assert {explanations for _, _, explanations in listed} == {len(crashes)}


def test_decision_on_many_suspects_stops_the_loop(quarantine, processor_s):
    """A request whose parts have all been in crashes is decided on in little time."""
    shared = suspects_of(0)
    for number in range(MAX_CRASHES + 1):
        others = [suspects_of(10 * number + other) for other in range(1, REQUESTS)]
        quarantine.record_crashes(
            crashes_of(f"u{number}", shared, *others), float(number)
        )
    now_s = MAX_CRASHES + 1.0 + CRASH_REPORT_SPREAD_S
    processor_s()
    assert quarantine.decide(shared, now_s).is_blocked
    for number in range(1, REQUESTS):
        assert not quarantine.decide(suspects_of(number), now_s).is_blocked
        quarantine.isolation(suspects_of(number), now_s)
        quarantine.exclusive_suspects(suspects_of(number), now_s)
    assert processor_s() < MAX_PROCESSOR_S


def test_crashing_part_hides_among_thousands(quarantine):
    """A part is blocked as soon as one that is alone, whatever runs beside it."""
    bad = "part:bad"
    for number in range(MAX_CRASHES):
        requests = [
            suspects_of(100 * number, bad),
            *(suspects_of(100 * number + other) for other in range(1, 12)),
        ]
        quarantine.record_crashes(crashes_of(f"u{number}", *requests), float(number))
    now_s = MAX_CRASHES + CRASH_REPORT_SPREAD_S
    assert quarantine.decide(suspects_of(7_000, bad), now_s).is_blocked
    assert not quarantine.decide(suspects_of(7_001), now_s).is_blocked


def test_suspects_of_one_crash_evict_those_of_several(quarantine):
    """Of too many suspects those with one crash go first."""
    for process in ("u1", "u2"):
        quarantine.record_crashes(crashes_of(process, {"part:bad"}), 0.0)
    flood = suspects_of(1, count=MAX_SUSPECTS)
    quarantine.record_crashes(crashes_of("u3", flood), 1.0)
    assert quarantine.suspect_count == MAX_SUSPECTS
    assert quarantine.totals["part:bad"] == MAX_CRASHES


def test_suspects_that_expire_together_stop_the_loop(quarantine, processor_s):
    """They are forgotten in steps, all of them in the end."""
    count = 10 * MAX_EXPIRED_AT_ONCE
    quarantine.record_crashes(crashes_of("u1", suspects_of(1, count=count)), 0.0)
    later_s = CRASH_RETENTION_S + 1.0
    processor_s()
    quarantine.decide(frozenset({"r2"}), later_s)
    assert quarantine.suspect_count > count - 2 * MAX_EXPIRED_AT_ONCE
    for _ in range(12):
        quarantine.decide(frozenset({"r2"}), later_s)
    assert quarantine.suspect_count == 0


def test_answers_to_many_parts_evict_those_to_others(quarantine):
    """Parts of sound requests stay known as answered beside requests with many."""
    shared = frozenset({"r1", "part:style"})
    quarantine.record_completed(shared, 0.0)
    for number in range(12):
        quarantine.record_completed(suspects_of(number), 1.0)
    quarantine.record_crashes(crashes_of("u1", {"part:style", "part:new"}), 2.0)
    suspicions = {crash.suspect: crash.suspicion for crash in quarantine.unreported}
    assert suspicions["part:style"] is Suspicion.ANSWERED
    assert suspicions["part:new"] is Suspicion.WAITING


def test_reports_of_a_crash_with_many_suspects_are_stored_in_parts(quarantine):
    """Each report fits into one value; together they have all suspects."""
    crashes = crashes_of("u1", *(suspects_of(number) for number in range(REQUESTS)))
    quarantine.record_crashes(crashes, 0.0)
    stored = []
    while quarantine.unreported:
        report = quarantine.unreported
        stored += report
        quarantine.mark_reported(report, ())
    assert stored == crashes
