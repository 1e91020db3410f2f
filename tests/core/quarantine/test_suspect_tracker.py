"""An entry reruns a suspect, then clears or quarantines it."""

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

_POISON, _HARMLESS = "crates:poison", "crates:harmless"
_CO_SUSPECTS = (_HARMLESS, _POISON)
_WALL_OFFSET_S = 1_000_000.0


@pytest.fixture
def in_flight_ids():
    """Return the ids of the requests in flight at the entry."""
    return {"first", "second"}


@pytest.fixture
def tracker(in_flight_ids):
    """Return a tracker with one recorded crash, on engine-0."""
    registry = QuarantineRegistry(ConfigurationHolder(), _WALL_OFFSET_S)
    tracker = SuspectTracker(registry, in_flight_ids.__contains__)
    assert (
        tracker.attribute_crash(_POISON, "first", "engine-0", _CO_SUSPECTS, 0.0) is None
    )
    crash_change = tracker.attribute_crash(
        _HARMLESS, "second", "engine-0", _CO_SUSPECTS, 0.0
    )
    assert crash_change.crash.fingerprints == _CO_SUSPECTS
    return tracker


def _refusal(tracker, fingerprint, now_s=1.0):
    with pytest.raises(CardamomnotchError) as caught:
        tracker.check(fingerprint, now_s)
    return caught.value


def test_every_request_in_flight_is_a_suspect(tracker):
    """Each suspect avoids the crashed VM, and is sent with its history."""
    for fingerprint in _CO_SUSPECTS:
        assert tracker.crashed_vms(fingerprint, "first", 1.0) == {"engine-0"}
        history = tracker.start_rerun(fingerprint, "first", 1.0)
        assert (history.crashes, history.co_suspects) == (1, _CO_SUSPECTS)


def test_second_crash_on_another_vm_quarantines(tracker):
    """A rerun that crashes another upstream is quarantined at once."""
    tracker.start_rerun(_POISON, "first", 1.0)
    quarantine_change = tracker.attribute_crash(
        _POISON, "first", "engine-1", (_POISON,), 2.0
    )
    assert quarantine_change.fingerprint == _POISON
    assert quarantine_change.until_s == 2.0 + _WALL_OFFSET_S + QUARANTINE_S
    refusal = _refusal(tracker, _POISON, 12.0)
    assert refusal.code is ResultCode.REQUEST_QUARANTINED
    assert refusal.retry_after_s == pytest.approx(QUARANTINE_S - 10.0)


def test_attribution_does_not_depend_on_order_of_ends(tracker):
    """A co-suspect's attempt may end before the rerun in the same crash."""
    tracker.start_rerun(_POISON, "first", 1.0)
    co_suspects = ("crates:fresh", _POISON)
    tracker.attribute_crash("crates:fresh", "third", "engine-1", co_suspects, 2.0)
    quarantine_change = tracker.attribute_crash(
        _POISON, "first", "engine-1", co_suspects, 2.0
    )
    assert isinstance(quarantine_change, QuarantineChange)


def test_quarantine_clears_co_suspects(tracker):
    """Requests in flight with the quarantined one are no longer suspects."""
    tracker.start_rerun(_POISON, "first", 1.0)
    tracker.attribute_crash(_POISON, "first", "engine-1", (_POISON,), 2.0)
    tracker.check(_HARMLESS, 2.0)
    assert tracker.start_rerun(_HARMLESS, "second", 2.0).crashes == 0


@pytest.mark.parametrize(
    ("request_id", "vm_id"),
    [
        pytest.param("first", "engine-0", id="same upstream"),
        pytest.param("second", "engine-1", id="not the rerun"),
    ],
)
def test_other_crashes_do_not_quarantine(tracker, request_id, vm_id):
    """Only the rerun's crash on another upstream leads to quarantine."""
    tracker.start_rerun(_HARMLESS, "first", 1.0)
    change = tracker.attribute_crash(_HARMLESS, request_id, vm_id, _CO_SUSPECTS, 2.0)
    assert isinstance(change, CrashChange)


def test_resend_waits_for_the_rerun(tracker, in_flight_ids):
    """A resend is refused while the rerun is in flight, and admitted after."""
    tracker.start_rerun(_POISON, "first", 1.0)
    refusal = _refusal(tracker, _POISON)
    assert refusal.code is ResultCode.SUSPECT_BUSY
    assert refusal.retry_after_s > 0
    with pytest.raises(CardamomnotchError):
        tracker.crashed_vms(_POISON, "second", 1.0)
    in_flight_ids.remove("first")
    tracker.check(_POISON, 1.0)


def test_completed_request_is_cleared(tracker):
    """A suspect that completes is no longer a suspect."""
    tracker.clear(_HARMLESS)
    assert tracker.crashed_vms(_HARMLESS, "first", 1.0) == frozenset()


def test_suspect_expires(tracker):
    """A suspect that is not sent again is forgotten."""
    tracker.expire(SUSPECT_RETENTION_S + 1.0)
    assert tracker.fingerprints == ()


def test_reported_suspect_waits_before_it_runs(tracker):
    """A suspect that a sidecar reported waits, then runs as a suspect."""
    tracker.add_reported("engine-2", ("crates:other",), 1.0)
    assert _refusal(tracker, "crates:other").code is ResultCode.SUSPECT_BUSY
    later_s = 1.0 + ATTRIBUTION_WAIT_S
    tracker.check("crates:other", later_s)
    assert tracker.start_rerun("crates:other", "second", later_s).crashes == 1


def test_configured_crash_counts_until_it_expires(tracker):
    """An entry that starts later applies only unexpired crashes."""
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


def test_own_co_suspects_do_not_wait(tracker):
    """Suspects that this entry sent may run again without waiting.

    This holds for both, whichever of the two had its crash attributed first.
    """
    for fingerprint in _CO_SUSPECTS:
        tracker.check(fingerprint, 0.1)


def test_co_suspect_of_another_entry_waits(tracker):
    """A co-suspect that another entry sent may not run here at once."""
    tracker.attribute_crash(
        "crates:third", "third", "engine-1", ("crates:other", "crates:third"), 1.0
    )
    refusal = _refusal(tracker, "crates:other", 1.0 + ATTRIBUTION_WAIT_S - 0.1)
    assert refusal.code is ResultCode.SUSPECT_BUSY
    tracker.check("crates:other", 1.0 + ATTRIBUTION_WAIT_S)


def test_crash_of_a_co_suspect_keeps_the_reported_wait(tracker):
    """A reported suspect still waits after another crash seen here."""
    tracker.add_reported("engine-2", ("crates:other",), 1.0)
    tracker.attribute_crash(
        "crates:third", "third", "engine-1", ("crates:other", "crates:third"), 1.5
    )
    refusal = _refusal(tracker, "crates:other", 1.0 + ATTRIBUTION_WAIT_S + 0.1)
    assert refusal.code is ResultCode.SUSPECT_BUSY
    assert tracker.crashed_vms("crates:other", "x", 1.6) == {"engine-1", "engine-2"}


@pytest.fixture
def quarantine(tracker):
    """Return a function that lets a rerun with these parts crash an upstream."""

    def crash(fingerprint, *parts):
        for vm_id in ("engine-0", "engine-1"):
            tracker.start_rerun(fingerprint, "first", 1.0)
            change = tracker.attribute_crash(
                fingerprint, "first", vm_id, (fingerprint,), 1.0, frozenset(parts)
            )
        return change

    return crash


def test_part_of_two_quarantined_requests_is_refused(tracker, quarantine):
    """A part that two requests crashed with is refused in any other request."""
    quarantine("crates:one", "system", "bad", "a")
    tracker.check("crates:three", 1.0, frozenset({"system", "bad", "c"}))
    quarantine("books:two", "other", "bad", "b")
    with pytest.raises(CardamomnotchError) as caught:
        tracker.check("crates:three", 1.0, frozenset({"system", "bad", "c"}))
    assert caught.value.code is ResultCode.REQUEST_QUARANTINED
    assert caught.value.retry_after_s == pytest.approx(QUARANTINE_S)
    tracker.check("crates:four", 1.0, frozenset({"system", "a"}))
    tracker.check("crates:three", 2.0 + QUARANTINE_S, frozenset({"bad"}))


def test_answered_part_is_not_refused(tracker, quarantine):
    """A part that is answered in other requests is no cause of crashes."""
    tracker.record_answered({"system"}, 0.0)
    first = quarantine("crates:one", "system", "bad")
    assert first.parts == ("bad",)
    quarantine("crates:two", "system", "bad")
    tracker.check("crates:three", 1.0, frozenset({"system"}))
    assert quarantine("crates:four", "system").parts == ()


def test_parts_that_always_come_together_are_refused_together(tracker, quarantine):
    """Which of two parts is the cause is not known, so each alone may run."""
    for fingerprint in ("crates:one", "crates:two"):
        quarantine(fingerprint, "subject", "bad")
    tracker.check("crates:three", 1.0, frozenset({"subject"}))
    tracker.check("crates:three", 1.0, frozenset({"bad"}))
    with pytest.raises(CardamomnotchError):
        tracker.check("crates:three", 1.0, frozenset({"subject", "bad"}))
