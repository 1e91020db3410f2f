"""Tests of the sync state of the active configuration."""

import pytest

from cardamomnotch_core.configuration.const import (
    CATCH_UP_TIMEOUT_S,
    MAX_ISOLATION_S,
    STORE_TIMEOUT_S,
)
from cardamomnotch_core.configuration.holder import ConfigurationHolder
from cardamomnotch_core.configuration.models import Configuration, ConfigurationRecord
from cardamomnotch_core.configuration.sync_state import (
    ConfigurationSyncState,
    ConfigurationSyncTracker,
)

_ACTIVE_REVISION = 5


def _new_tracker(revision: int = _ACTIVE_REVISION) -> ConfigurationSyncTracker:
    holder = ConfigurationHolder()
    if revision:
        record = ConfigurationRecord(
            revision=revision, change_id="c", configuration=Configuration()
        )
        holder.offer(record)
    return ConfigurationSyncTracker(holder)


@pytest.mark.parametrize(
    ("store_revision", "peer_responds", "peer_count", "state"),
    [
        pytest.param(
            5, True, 2, ConfigurationSyncState.CONFIRMED, id="store and peers"
        ),
        pytest.param(
            6,
            False,
            2,
            ConfigurationSyncState.CONFIRMED,
            id="store has a newer revision",
        ),
        pytest.param(
            4,
            True,
            2,
            ConfigurationSyncState.STORE_BEHIND,
            id="store restored from an older copy",
        ),
        pytest.param(
            0, False, 0, ConfigurationSyncState.STORE_BEHIND, id="store restored empty"
        ),
        pytest.param(
            None,
            True,
            2,
            ConfigurationSyncState.FOLLOWING_PEERS,
            id="store unresponsive",
        ),
        pytest.param(
            None,
            False,
            0,
            ConfigurationSyncState.ALONE,
            id="store unresponsive and no other entry",
        ),
        pytest.param(
            None,
            False,
            2,
            ConfigurationSyncState.ISOLATED,
            id="store and peers unresponsive",
        ),
    ],
)
def test_state_follows_from_store_and_peers(
    store_revision, peer_responds, peer_count, state
):
    """Each combination of store and peer responses leads to one state."""
    tracker = _new_tracker()
    tracker.record_peer_count(peer_count)
    if store_revision is not None:
        tracker.record_store_response(store_revision, _ACTIVE_REVISION, 0.0, 0.0)
    if peer_responds:
        tracker.record_peer_response(0.0, 0.0)
    assert tracker.update(1.0)
    assert tracker.state is state
    assert tracker.may_serve(1.0)


def test_store_is_not_behind_if_a_peer_delivers_a_change_during_the_read():
    """A read sent before the newer revision arrived shows no older copy."""
    tracker = _new_tracker()
    tracker.record_store_response(4, 4, 0.0, 0.0)
    tracker.update(0.0)
    assert tracker.state is ConfigurationSyncState.CONFIRMED


def test_process_without_a_revision_is_not_ready():
    """No requests are served before the first revision has been received."""
    tracker = _new_tracker(revision=0)
    tracker.record_store_response(0, 0, 0.0, 0.0)
    tracker.update(0.0)
    assert tracker.state is ConfigurationSyncState.EMPTY
    assert not tracker.may_serve(0.0)


def test_isolated_process_serves_for_a_limited_time():
    """Without any response, callers' requests are refused after the limit."""
    tracker = _new_tracker()
    tracker.record_peer_count(2)
    tracker.record_store_response(_ACTIVE_REVISION, _ACTIVE_REVISION, 0.0, 0.0)
    tracker.update(0.0)
    isolated_at_s = STORE_TIMEOUT_S + 1.0
    tracker.update(isolated_at_s)
    assert tracker.state is ConfigurationSyncState.ISOLATED
    assert tracker.may_serve(isolated_at_s + MAX_ISOLATION_S)
    assert not tracker.may_serve(isolated_at_s + MAX_ISOLATION_S + 0.1)


@pytest.mark.parametrize(
    ("asked_at_s", "now_s", "state"),
    [
        pytest.param(
            99.0,
            100.1,
            ConfigurationSyncState.CATCHING_UP,
            id="sent before the pause ended",
        ),
        pytest.param(
            100.0,
            100.1,
            ConfigurationSyncState.FOLLOWING_PEERS,
            id="sent after the pause",
        ),
        pytest.param(
            0.0,
            100.1 + CATCH_UP_TIMEOUT_S,
            ConfigurationSyncState.FOLLOWING_PEERS,
            id="time-out",
        ),
    ],
)
def test_catching_up_ends_with_a_response_to_a_later_request(asked_at_s, now_s, state):
    """Only responses to requests sent after the pause count."""
    tracker = _new_tracker()
    tracker.record_peer_count(2)
    tracker.record_resume(100.0)
    tracker.record_peer_response(asked_at_s, now_s)
    tracker.update(now_s)
    assert tracker.state is state
