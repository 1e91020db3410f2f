"""Propagation of configuration revisions, also without the store."""

import asyncio

import attrs
import pytest

from cardamomnotch_core.configuration.out_of_service import (
    OutOfServiceKind,
    set_out_of_service,
)
from cardamomnotch_core.configuration.sync_state import ConfigurationSyncState
from cardamomnotch_protocol import codec
from cardamomnotch_protocol.const import PATH_CONFIGURATION
from cardamomnotch_protocol.models import (
    ConfigurationChanges,
    ConfigurationMessage,
    ConfigurationReply,
)
from cardamomnotch_runtime import configuration
from cardamomnotch_runtime.tasks import async_wait_until

from tests.fixtures.in_process_system import InProcessSystem
from tests.fixtures.local_system import ZONES

# Longest time from accepting a change until it is active in every process.
_PROPAGATION_TIMEOUT_S = 3.0
# Every watch of the store's stand-in checks for the fault several times within
# this time.
_DROP_WATCHES_DURATION_S = 0.6


async def _async_start_fleet(engines):
    system = InProcessSystem()
    await system.async_start_platform()
    for index, zone in enumerate(ZONES[:engines]):
        await system.async_add_engine(f"engine-{index}", zone)
    for index, zone in enumerate(ZONES):
        await system.async_add_entry(f"entry-{index}", zone)
    await system.async_wait_until_ready()
    return system


@pytest.fixture
async def fleet():
    """Yield three entries and two engines with configuration revision 1."""
    system = await _async_start_fleet(engines=2)
    yield system
    await system.async_stop()


@pytest.fixture
async def entries_only():
    """Yield three entries without any sidecar to learn revisions from."""
    system = await _async_start_fleet(engines=0)
    yield system
    await system.async_stop()


def _node(system, vm_id):
    return system.entries[vm_id].entry.node


def _store_changed_configuration(system, revision):
    record = _node(system, "entry-0").configuration.record
    changed_configuration = set_out_of_service(
        record.configuration, OutOfServiceKind.VM, f"vm-{revision}", out=True
    )
    system.set_configuration(changed_configuration, revision=revision)


def _is_active_everywhere(system, revision):
    nodes = [running_entry.entry.node for running_entry in system.entries.values()]
    nodes += [upstream_vm.sidecar.node for upstream_vm in system.upstream_vms.values()]
    return all(node.configuration.revision == revision for node in nodes)


async def test_change_becomes_active_everywhere(fleet):
    """An accepted change becomes active in every entry and sidecar."""
    _store_changed_configuration(fleet, 2)
    assert await async_wait_until(
        lambda: _is_active_everywhere(fleet, 2), _PROPAGATION_TIMEOUT_S
    )


async def test_new_entry_adopts_the_highest_revision_of_its_peers(fleet):
    """With the store down, a new entry uses the configuration of its peers."""
    fleet.store.faults.active["down"] = True
    new_node = (await fleet.async_add_entry("entry-3", ZONES[0])).entry.node
    assert await async_wait_until(
        lambda: new_node.follower.state is ConfigurationSyncState.FOLLOWING_PEERS, 5.0
    )
    assert await async_wait_until(lambda: new_node.is_ready, 5.0)
    assert new_node.configuration.revision == 1


async def test_entry_without_store_and_peers_is_not_ready(serve_app):
    """Without store and peers, an entry is not ready."""
    system = InProcessSystem()
    await system.async_start_platform()
    system.store.faults.active["down"] = True
    node = (await system.async_add_entry("entry-0", ZONES[0])).entry.node
    assert not await async_wait_until(lambda: node.is_ready, 1.5)
    assert node.follower.state is ConfigurationSyncState.EMPTY
    await system.async_stop()


async def test_entry_with_a_hanging_watch_learns_changes_from_peers(
    entries_only, monkeypatch
):
    """An entry whose watch hangs learns a change from its peers."""

    async def watch_without_events(*_):
        await async_wait_until(lambda: False, 60.0)
        yield

    store = entries_only.entries["entry-2"].entry.store
    monkeypatch.setattr(store, "async_watch", watch_without_events)
    entries_only.store.faults.active["drop_watches"] = True
    await asyncio.sleep(_DROP_WATCHES_DURATION_S)
    entries_only.store.faults.active["drop_watches"] = False
    _store_changed_configuration(entries_only, 2)
    assert await async_wait_until(
        lambda: _is_active_everywhere(entries_only, 2), _PROPAGATION_TIMEOUT_S
    )


async def test_older_revision_in_the_store_is_ignored(fleet):
    """A store restored from an older copy is reported and changes nothing."""
    _store_changed_configuration(fleet, 4)
    assert await async_wait_until(
        lambda: _is_active_everywhere(fleet, 4), _PROPAGATION_TIMEOUT_S
    )
    _store_changed_configuration(fleet, 3)
    fleet.store.faults.active["drop_watches"] = 3
    nodes = [running_entry.entry.node for running_entry in fleet.entries.values()]
    assert await async_wait_until(
        lambda: all(
            node.follower.state is ConfigurationSyncState.STORE_BEHIND for node in nodes
        ),
        5.0,
    )
    assert _is_active_everywhere(fleet, 4)
    assert nodes[0].diagnostics()["configuration"]["store_revision"] == 3


async def test_entry_learns_of_a_newer_revision_from_a_sidecar(fleet):
    """An entry learns of a revision that only a sidecar has."""
    fleet.store.faults.active["down"] = True
    _store_changed_configuration(fleet, 2)
    message = fleet.store.entries[b"cardamomnotch/configuration"]["value"]
    upstream_vm = fleet.upstream_vms["engine-0"]
    await fleet.async_call_inner(upstream_vm, PATH_CONFIGURATION, message)
    assert await async_wait_until(
        lambda: _is_active_everywhere(fleet, 2), _PROPAGATION_TIMEOUT_S
    )


@pytest.mark.parametrize(
    ("known_revision", "expected_message"),
    [
        pytest.param(1, ConfigurationChanges, id="revision in the change log"),
        pytest.param(2, ConfigurationReply, id="current revision"),
        pytest.param(0, ConfigurationMessage, id="no revision"),
        pytest.param("x", ConfigurationMessage, id="revision is no number"),
    ],
)
@pytest.mark.parametrize("vm_id", ["entry-0", "engine-0"])
async def test_reply_contains_only_missing_changes(
    fleet, vm_id, known_revision, expected_message
):
    """Processes send only changes if the known revision allows it."""
    _store_changed_configuration(fleet, 2)
    assert await async_wait_until(
        lambda: _is_active_everywhere(fleet, 2), _PROPAGATION_TIMEOUT_S
    )
    process = fleet.entries.get(vm_id) or fleet.upstream_vms[vm_id]
    path = f"{PATH_CONFIGURATION}?revision={known_revision}"
    frame = codec.decode(await fleet.async_call_inner(process, path))
    assert isinstance(frame.message, expected_message)


async def test_invalid_changes_lead_to_the_whole_configuration(fleet, monkeypatch):
    """Changes with a wrong digest make processes fetch the configuration."""

    def with_wrong_digest(message, _):
        return attrs.evolve(message, digest="0" * 64)

    monkeypatch.setattr(configuration, "message_from_changes", with_wrong_digest)
    _store_changed_configuration(fleet, 2)
    assert await async_wait_until(
        lambda: _is_active_everywhere(fleet, 2), _PROPAGATION_TIMEOUT_S
    )
