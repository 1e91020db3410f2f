"""Tests of the registration, removal, restart and cold state of upstreams."""

import pytest

from cardamomnotch_core.relay.fleet import Fleet


@pytest.fixture
def fleet(make_upstream):
    """Return a fleet with two upstreams."""
    fleet = Fleet()
    fleet.put(make_upstream("up-1"), 0.0)
    fleet.put(make_upstream("up-2", zone="zone-b"), 0.0)
    return fleet


def candidate_ids(fleet, now_s=1.0):
    """Return the ids of the upstreams that may receive new requests."""
    return {state.upstream_id for state in fleet.candidates("drafts", now_s)}


def test_unregistered_upstream_is_no_candidate(fleet):
    """An upstream gets no new requests once it is no longer registered."""
    fleet.remove("up-1", 1.0)
    assert candidate_ids(fleet) == {"up-2"}


def test_upstreams_are_kept_for_a_grace_period_after_an_outage(fleet):
    """Upstreams lost in a store outage register again or are removed later."""
    fleet.record_store_returned(10.0)
    fleet.remove("up-1", 10.1)
    fleet.remove("up-2", 10.1)
    assert candidate_ids(fleet, 11.0) == {"up-1", "up-2"}
    state = fleet.get("up-2")
    fleet.put(state.upstream, 12.0)
    assert candidate_ids(fleet, 12.6) == {"up-2"}


def test_end_of_a_process_is_reported_once(make_upstream):
    """The end is reported once after a restart, an outage or a removal."""
    ended = []
    fleet = Fleet(lambda upstream, now_s: ended.append((upstream.process, now_s)))
    fleet.put(make_upstream("up-1"), 0.0)
    fleet.put(make_upstream("up-1", is_draining=True), 0.5)
    assert ended == []
    fleet.put(make_upstream("up-1", started_ms=2), 1.0)
    assert ended == [("up-1@1", 1.0)]
    fleet.record_store_returned(10.0)
    fleet.remove("up-1", 10.1)
    assert ended == [("up-1@1", 1.0)]
    candidate_ids(fleet, 12.6)
    assert ended[1:] == [("up-1@2", 12.6)]
    fleet.put(make_upstream("up-2"), 20.0)
    fleet.remove("up-2", 21.0)
    assert ended[2:] == [("up-2@1", 21.0)]


def test_draining_upstream_is_not_kept_after_an_outage(fleet, make_upstream):
    """A draining upstream gets no grace period: it will not register again."""
    fleet.put(make_upstream("up-1", is_draining=True), 9.0)
    fleet.record_store_returned(10.0)
    fleet.remove("up-1", 10.1)
    assert fleet.get("up-1") is None


def test_upstreams_of_a_disabled_zone_are_no_candidates(fleet):
    """Upstreams of a disabled availability zone get no new requests."""
    fleet.set_zone_disabled("zone-b", True)
    assert candidate_ids(fleet) == {"up-1"}
    fleet.set_zone_disabled("zone-b", False)
    assert candidate_ids(fleet) == {"up-1", "up-2"}


def test_restart_under_the_same_id_is_a_new_upstream(fleet, make_upstream):
    """The state of the previous process is discarded."""
    fleet.get("up-1").record_failure(1.0)
    fleet.put(make_upstream("up-1", started_ms=2, cold_left_s=3.0), 1.0)
    state = fleet.get("up-1")
    assert not state.is_penalized(1.0)
    assert state.is_cold(3.9)
    assert not state.is_cold(4.1)


def test_upstream_turns_cold_again(fleet, make_upstream):
    """A running upstream may register itself as cold again."""
    fleet.put(make_upstream("up-1", cold_left_s=2.0), 50.0)
    assert fleet.get("up-1").is_cold(51.0)


def test_penalty_doubles_and_ends(fleet):
    """Each further failure in a row doubles the penalty; a success ends it."""
    state = fleet.get("up-1")
    state.record_failure(0.0)
    assert state.is_penalized(0.9)
    assert not state.is_penalized(1.1)
    state.record_failure(2.0)
    assert state.is_penalized(3.9)
    state.record_success()
    assert not state.is_penalized(3.9)


def test_leaving_upstream_is_kept_after_an_outage(fleet):
    """An upstream that has said that it leaves does not register again."""
    fleet.record_leaving("up-1@1")
    assert candidate_ids(fleet) == {"up-2"}
    fleet.record_store_returned(10.0)
    fleet.remove("up-1", 10.1)
    assert fleet.get("up-1") is None


def test_end_of_a_leaving_upstream_is_taken_for_a_crash(make_upstream):
    """Whoever hears of the end learns that it was draining."""
    ended = []
    fleet = Fleet(lambda upstream, now_s: ended.append(upstream.is_draining))
    for number in range(2):
        fleet.put(make_upstream(f"up-{number}"), 0.0)
    fleet.record_leaving("up-0@1")
    fleet.remove("up-0", 1.0)
    fleet.remove("up-1", 1.0)
    assert ended == [True, False]
