"""How a revision reaches processes that the store does not."""

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

# The aim for one change, from accepted to in force at all.
_IN_FORCE_WITHIN_S = 3.0
# Every watch of the stand-in looks for the fault several times in this time.
_DROP_FOR_S = 0.6


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
    """Return three entries before two engines, the lists at revision 1."""
    system = await _async_start_fleet(engines=2)
    yield system
    await system.async_stop()


@pytest.fixture
async def entries_only():
    """Return three entries that no sidecar can tell anything."""
    system = await _async_start_fleet(engines=0)
    yield system
    await system.async_stop()


def _node(system, vm_id):
    return system.entries[vm_id].entry.node


def _put_changed(system, revision):
    record = _node(system, "entry-0").configuration.record
    lists = set_out_of_service(
        record.configuration, OutOfServiceKind.VM, f"vm-{revision}", out=True
    )
    system.set_configuration(lists, revision=revision)


def _everywhere(system, revision):
    nodes = [item.entry.node for item in system.entries.values()]
    nodes += [gate.sidecar.node for gate in system.upstream_vms.values()]
    return all(node.configuration.revision == revision for node in nodes)


async def test_change_is_in_force_everywhere(fleet):
    """An accepted change reaches every entry and sidecar."""
    _put_changed(fleet, 2)
    assert await async_wait_until(lambda: _everywhere(fleet, 2), _IN_FORCE_WITHIN_S)


async def test_new_entry_takes_its_peers_highest(fleet):
    """With the store down, a new entry acts on what its peers hold."""
    fleet.store.faults.active["down"] = True
    fresh = (await fleet.async_add_entry("entry-3", ZONES[0])).entry.node
    assert await async_wait_until(
        lambda: fresh.follower.state is ConfigurationSyncState.FOLLOWING_PEERS, 5.0
    )
    assert await async_wait_until(lambda: fresh.is_ready, 5.0)
    assert fresh.configuration.revision == 1


async def test_entry_without_store_and_peers_is_not_ready(serve_app):
    """With nobody to ask, an entry holds nothing and says so."""
    system = InProcessSystem()
    await system.async_start_platform()
    system.store.faults.active["down"] = True
    node = (await system.async_add_entry("entry-0", ZONES[0])).entry.node
    assert not await async_wait_until(lambda: node.is_ready, 1.5)
    assert node.follower.state is ConfigurationSyncState.EMPTY
    await system.async_stop()


async def test_entry_with_a_dead_watch_hears_from_peers(entries_only, monkeypatch):
    """One entry that reads the store is enough for all."""

    async def hang(*_):
        await async_wait_until(lambda: False, 60.0)
        yield

    store = entries_only.entries["entry-2"].entry.store
    monkeypatch.setattr(store, "async_watch", hang)
    entries_only.store.faults.active["drop_watches"] = True
    await asyncio.sleep(_DROP_FOR_S)
    entries_only.store.faults.active["drop_watches"] = False
    _put_changed(entries_only, 2)
    assert await async_wait_until(
        lambda: _everywhere(entries_only, 2), _IN_FORCE_WITHIN_S
    )


async def test_older_copy_in_the_store_is_not_believed(fleet):
    """A store restored from an older copy changes nothing, and is reported."""
    _put_changed(fleet, 4)
    assert await async_wait_until(lambda: _everywhere(fleet, 4), _IN_FORCE_WITHIN_S)
    _put_changed(fleet, 3)
    fleet.store.faults.active["drop_watches"] = 3
    nodes = [item.entry.node for item in fleet.entries.values()]
    assert await async_wait_until(
        lambda: all(
            node.follower.state is ConfigurationSyncState.STORE_BEHIND for node in nodes
        ),
        5.0,
    )
    assert _everywhere(fleet, 4)
    assert nodes[0].diagnostics()["configuration"]["store_revision"] == 3


async def test_entry_learns_of_a_newer_revision_from_a_sidecar(fleet):
    """An entry that no store and no peer tells still hears from a gate."""
    fleet.store.faults.active["down"] = True
    _put_changed(fleet, 2)
    message = fleet.store.entries[b"cardamomnotch/configuration"]["value"]
    gate = fleet.upstream_vms["engine-0"]
    await fleet.async_call_inner(gate, PATH_CONFIGURATION, message)
    assert await async_wait_until(lambda: _everywhere(fleet, 2), _IN_FORCE_WITHIN_S)


@pytest.mark.parametrize(
    ("known", "answer"),
    [
        pytest.param(1, ConfigurationChanges, id="logged revision"),
        pytest.param(2, ConfigurationReply, id="same revision"),
        pytest.param(0, ConfigurationMessage, id="nothing known"),
        pytest.param("x", ConfigurationMessage, id="unreadable"),
    ],
)
@pytest.mark.parametrize("part", ["entry-0", "engine-0"])
async def test_answer_holds_no_more_than_is_lacking(fleet, part, known, answer):
    """Entries and sidecars send changes, whole documents only when needed."""
    _put_changed(fleet, 2)
    assert await async_wait_until(lambda: _everywhere(fleet, 2), _IN_FORCE_WITHIN_S)
    found = fleet.entries.get(part) or fleet.upstream_vms[part]
    path = f"{PATH_CONFIGURATION}?revision={known}"
    frame = codec.decode(await fleet.async_call_inner(found, path))
    assert isinstance(frame.message, answer)


async def test_broken_changes_are_replaced_by_the_whole(fleet, monkeypatch):
    """Changes whose digest does not match lead to the whole document."""

    def broken(message, _):
        return attrs.evolve(message, digest="0" * 64)

    monkeypatch.setattr(configuration, "message_from_changes", broken)
    _put_changed(fleet, 2)
    assert await async_wait_until(lambda: _everywhere(fleet, 2), _IN_FORCE_WITHIN_S)
