"""Services whose requests are shorter than notices are late, or lost."""

import random

import pytest

from cardamomnotch_core.relay.admission.const import STALE_ATTEMPT_FACTOR
from cardamomnotch_core.relay.admission.coordinator import Admission
from cardamomnotch_core.relay.const import MAX_ATTEMPT_S
from cardamomnotch_core.relay.fleet import Fleet
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.live_entries import LiveEntries

SLOTS = 6
DURATION_S = 0.05


@pytest.fixture
def fleet(make_upstream):
    """Return a fleet with one upstream of six slots."""
    fleet = Fleet()
    fleet.put(make_upstream(slots=SLOTS), 0.0)
    return fleet


@pytest.fixture
def admission(fleet):
    """Return the admission of an entry that has seen complete attempts."""
    admission = Admission(
        fleet,
        LiveEntries("entry-a-1"),
        RelayLimits(),
        random.Random(1),
        lambda upstream, now_s: False,
    )
    for _ in range(50):
        admission.record_completed("drafts", DURATION_S)
    return admission


def test_lost_end_notices_do_not_fill_a_service_of_short_requests(fleet, admission):
    """Requests are not refused for attempts whose end notices were lost.

    Bookings of 90 ms were refused for 20 s after notices to an entry had been lost.
    """
    (state,) = fleet
    for number in range(5 * SLOTS):
        state.remote_in_flight["entry-b-1", number] = 0.0
    assert not admission.has_slot(state, 0.1 * DURATION_S)
    assert admission.has_slot(state, 2 * STALE_ATTEMPT_FACTOR * DURATION_S)
    assert state.running(MAX_ATTEMPT_S / 2) == 5 * SLOTS


@pytest.mark.parametrize(
    ("running", "expected"),
    [(SLOTS - 1, True), (2 * SLOTS - 1, True), (2 * SLOTS, False)],
    ids=["free slot", "short queue", "as many again"],
)
def test_short_queue_of_an_upstream_is_used(fleet, admission, running, expected):
    """A wait at the upstream that is soon over is no reason to wait at the entry."""
    (state,) = fleet
    state.in_flight = running
    assert admission.has_slot(state, 1.0) == expected


def test_full_slots_of_long_requests_count_as_full(fleet, admission):
    """Requests of seconds wait at the entry, where they are ordered."""
    for _ in range(200):
        admission.record_completed("drafts", 5.0)
    (state,) = fleet
    state.in_flight = SLOTS
    assert not admission.has_slot(state, 1.0)
