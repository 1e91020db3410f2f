"""Upstreams that come, go, restart and turn cold."""

import pytest

from cardamomnotch_core.relay.fleet import Fleet


@pytest.fixture
def fleet(make_upstream):
    """Return a fleet with two upstreams."""
    found = Fleet()
    found.put(make_upstream("up-1"), 0.0)
    found.put(make_upstream("up-2", zone="zone-b"), 0.0)
    return found


def ids(fleet, now_s=1.0):
    """Return the ids of the upstreams that may get work."""
    return {state.upstream_id for state in fleet.candidates("drafts", now_s)}


def test_unlisted_upstream_gets_nothing(fleet):
    """Work ends when an upstream is no longer listed."""
    fleet.remove("up-1", 1.0)
    assert ids(fleet) == {"up-2"}


def test_list_is_kept_for_a_moment_after_an_outage(fleet):
    """What the store lost while it was away registers again, or is gone."""
    fleet.record_store_returned(10.0)
    fleet.remove("up-1", 10.1)
    fleet.remove("up-2", 10.1)
    assert ids(fleet, 11.0) == {"up-1", "up-2"}
    state = fleet.get("up-2")
    fleet.put(state.upstream, 12.0)
    assert ids(fleet, 12.6) == {"up-2"}


def test_end_of_a_process_is_told_once(make_upstream):
    """Gone, gone after an outage, or begun anew under its id: it has ended."""
    ended = []
    fleet = Fleet(ended.append)
    fleet.put(make_upstream("up-1"), 0.0)
    fleet.put(make_upstream("up-1", is_draining=True), 0.5)
    assert ended == []
    fleet.put(make_upstream("up-1", started_ms=2), 1.0)
    assert ended == ["up-1"]
    fleet.record_store_returned(10.0)
    fleet.remove("up-1", 10.1)
    assert ended == ["up-1"]
    ids(fleet, 12.6)
    assert ended == ["up-1", "up-1"]
    fleet.put(make_upstream("up-2"), 20.0)
    fleet.remove("up-2", 21.0)
    assert ended[2:] == ["up-2"]


def test_draining_upstream_is_not_kept_after_an_outage(fleet, make_upstream):
    """A leaving upstream does not come back."""
    fleet.put(make_upstream("up-1", is_draining=True), 9.0)
    fleet.record_store_returned(10.0)
    fleet.remove("up-1", 10.1)
    assert fleet.get("up-1") is None


def test_zone_out(fleet):
    """An availability zone that is out gets nothing, until it is back."""
    fleet.set_zone_disabled("zone-b", True)
    assert ids(fleet) == {"up-1"}
    fleet.set_zone_disabled("zone-b", False)
    assert ids(fleet) == {"up-1", "up-2"}


def test_restart_under_the_same_id_is_a_new_upstream(fleet, make_upstream):
    """What was known of the earlier start does not count any more."""
    fleet.get("up-1").record_failure(1.0)
    fleet.put(make_upstream("up-1", started_ms=2, cold_left_s=3.0), 1.0)
    state = fleet.get("up-1")
    assert not state.is_penalized(1.0)
    assert state.is_cold(3.9)
    assert not state.is_cold(4.1)


def test_upstream_turns_cold_again(fleet, make_upstream):
    """A running upstream may say that it is cold once more."""
    fleet.put(make_upstream("up-1", cold_left_s=2.0), 50.0)
    assert fleet.get("up-1").is_cold(51.0)


def test_penalty_doubles_and_ends(fleet):
    """Each further failure in a row is held against an upstream for longer."""
    state = fleet.get("up-1")
    state.record_failure(0.0)
    assert state.is_penalized(0.9)
    assert not state.is_penalized(1.1)
    state.record_failure(2.0)
    assert state.is_penalized(3.9)
    state.record_success()
    assert not state.is_penalized(3.9)
