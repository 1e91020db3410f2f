"""An entry lets a suspect run once more, then clears or quarantines it."""

import pytest

from cardamomnotch_core.configuration.holder import ConfigurationHolder
from cardamomnotch_core.configuration.models import Configuration, UpstreamCrash
from cardamomnotch_core.quarantine.changes import CrashChange, QuarantineChange
from cardamomnotch_core.quarantine.const import (
    ATTRIBUTION_WAIT_S,
    QUARANTINE_S,
    SUSPECT_RETENTION_S,
)
from cardamomnotch_core.quarantine.registry import QuarantineRegistry
from cardamomnotch_core.quarantine.suspect_tracker import SuspectTracker
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

_POISON, _INNOCENT = "crates:poison", "crates:innocent"
_TOGETHER = (_INNOCENT, _POISON)
_WALL_OFFSET_S = 1_000_000.0


@pytest.fixture
def served():
    """Return the ids of requests that the entry serves."""
    return {"first", "second"}


@pytest.fixture
def tracker(served):
    """Return a tracker that has seen one crash, on engine-0."""
    registry = QuarantineRegistry(ConfigurationHolder(), _WALL_OFFSET_S)
    tracker = SuspectTracker(registry, served.__contains__)
    assert tracker.attribute_crash(_POISON, "first", "engine-0", _TOGETHER, 0.0) is None
    told = tracker.attribute_crash(_INNOCENT, "second", "engine-0", _TOGETHER, 0.0)
    assert told.crash.fingerprints == _TOGETHER
    return tracker


def _refusal(tracker, fingerprint, now_s=1.0):
    with pytest.raises(CardamomnotchError) as caught:
        tracker.check(fingerprint, now_s)
    return caught.value


def test_every_request_in_flight_is_a_suspect(tracker):
    """Both are kept away from the crashed VM, and told of to the next gate."""
    for fingerprint in _TOGETHER:
        assert tracker.crashed_vms(fingerprint, "first", 1.0) == {"engine-0"}
        suspicion = tracker.start_rerun(fingerprint, "first", 1.0)
        assert (suspicion.crashes, suspicion.co_suspects) == (1, _TOGETHER)


def test_second_crash_elsewhere_is_the_verdict(tracker):
    """The rerun's crash on another upstream puts it into quarantine at once."""
    tracker.start_rerun(_POISON, "first", 1.0)
    verdict = tracker.attribute_crash(_POISON, "first", "engine-1", (_POISON,), 2.0)
    assert verdict.fingerprint == _POISON
    assert verdict.until_s == 2.0 + _WALL_OFFSET_S + QUARANTINE_S
    refusal = _refusal(tracker, _POISON, 12.0)
    assert refusal.code is ResultCode.REQUEST_QUARANTINED
    assert refusal.retry_after_s == pytest.approx(QUARANTINE_S - 10.0)


def test_verdict_does_not_depend_on_who_ends_first(tracker):
    """A neighbour's end of the same crash comes before the suspect's own."""
    tracker.start_rerun(_POISON, "first", 1.0)
    together = ("crates:fresh", _POISON)
    tracker.attribute_crash("crates:fresh", "third", "engine-1", together, 2.0)
    verdict = tracker.attribute_crash(_POISON, "first", "engine-1", together, 2.0)
    assert isinstance(verdict, QuarantineChange)


def test_verdict_acquits_the_neighbours(tracker):
    """What crashed together with the guilty request is free again."""
    tracker.start_rerun(_POISON, "first", 1.0)
    tracker.attribute_crash(_POISON, "first", "engine-1", (_POISON,), 2.0)
    tracker.check(_INNOCENT, 2.0)
    assert tracker.start_rerun(_INNOCENT, "second", 2.0).crashes == 0


@pytest.mark.parametrize(
    ("request_id", "vm_id"),
    [
        pytest.param("first", "engine-0", id="same upstream"),
        pytest.param("second", "engine-1", id="not the isolated run"),
    ],
)
def test_other_crashes_settle_nothing(tracker, request_id, vm_id):
    """Only the isolated run on another upstream convicts."""
    tracker.start_rerun(_INNOCENT, "first", 1.0)
    change = tracker.attribute_crash(_INNOCENT, request_id, vm_id, _TOGETHER, 2.0)
    assert isinstance(change, CrashChange)


def test_resend_waits_for_the_verdict(tracker, served):
    """A resend is refused while the rerun is served, and becomes it after."""
    tracker.start_rerun(_POISON, "first", 1.0)
    refusal = _refusal(tracker, _POISON)
    assert refusal.code is ResultCode.SUSPECT_BUSY
    assert refusal.retry_after_s > 0
    with pytest.raises(CardamomnotchError):
        tracker.crashed_vms(_POISON, "second", 1.0)
    served.remove("first")
    tracker.check(_POISON, 1.0)


def test_whole_answer_clears(tracker):
    """A suspect that completes is free."""
    tracker.clear(_INNOCENT)
    assert tracker.crashed_vms(_INNOCENT, "first", 1.0) == frozenset()


def test_suspicion_ends_by_itself(tracker):
    """What nobody sends again is forgotten."""
    tracker.expire(SUSPECT_RETENTION_S + 1.0)
    assert tracker.fingerprints == ()


def test_other_entries_leave_the_verdict_to_the_first(tracker):
    """A suspect told of by a sidecar waits, then runs as a suspect."""
    tracker.add_reported("engine-2", ("crates:other",), 1.0)
    assert _refusal(tracker, "crates:other").code is ResultCode.SUSPECT_BUSY
    later_s = 1.0 + ATTRIBUTION_WAIT_S
    tracker.check("crates:other", later_s)
    assert tracker.start_rerun("crates:other", "second", later_s).crashes == 1


def test_listed_crash_counts_until_its_time(tracker):
    """An entry that starts late takes over only crashes still open."""
    crashes = tuple(
        UpstreamCrash(
            vm_id="engine-3", fingerprints=(name,), until_s=_WALL_OFFSET_S + until_s
        )
        for name, until_s in (("crates:old", 1.0), ("crates:new", 3.0))
    )
    tracker.apply_configuration(Configuration(crashes=crashes), 2.0)
    tracker.check("crates:old", 2.0)
    assert _refusal(tracker, "crates:new", 2.9).code is ResultCode.SUSPECT_BUSY
    tracker.check("crates:new", 3.1)


def test_own_neighbours_wait_for_no_other_entry(tracker):
    """Whichever of two own requests is judged first, both may come again."""
    for fingerprint in _TOGETHER:
        tracker.check(fingerprint, 0.1)


def test_neighbour_in_a_crash_is_left_to_its_own_entry(tracker):
    """An entry whose request was next to a suspect does not run the suspect."""
    tracker.attribute_crash(
        "crates:third", "third", "engine-1", ("crates:other", "crates:third"), 1.0
    )
    refusal = _refusal(tracker, "crates:other", 1.0 + ATTRIBUTION_WAIT_S - 0.1)
    assert refusal.code is ResultCode.SUSPECT_BUSY
    tracker.check("crates:other", 1.0 + ATTRIBUTION_WAIT_S)


def test_crash_of_a_neighbour_keeps_the_listed_wait(tracker):
    """A listed suspect that crashes another upstream here is still left alone."""
    tracker.add_reported("engine-2", ("crates:other",), 1.0)
    tracker.attribute_crash(
        "crates:third", "third", "engine-1", ("crates:other", "crates:third"), 1.5
    )
    refusal = _refusal(tracker, "crates:other", 1.0 + ATTRIBUTION_WAIT_S + 0.1)
    assert refusal.code is ResultCode.SUSPECT_BUSY
    assert tracker.crashed_vms("crates:other", "x", 1.6) == {"engine-1", "engine-2"}
