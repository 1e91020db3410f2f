"""Two failures at once, in one loop: the verdict is the stand-ins' own."""

import asyncio

import pytest

from cardamomnotch_core.configuration.out_of_service import (
    OutOfServiceKind,
    set_out_of_service,
)
from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_platform.store.configuration import (
    RevisionConflictError,
    async_read_configuration,
    async_write_configuration,
)
from cardamomnotch_protocol.models import ConfigurationMessage
from cardamomnotch_runtime.tasks import async_wait_until

from tests.fixtures.caller_responses import (
    async_book,
    async_book_with_fault,
    async_stream,
    check_booking,
    check_stream,
)
from tests.fixtures.in_process_system import InProcessSystem
from tests.fixtures.local_system import ZONES
from tests.fixtures.tcp_proxy import async_start_tcp_proxy

_COLD_CONCURRENCY = 2
_SILENCE_S = 1.0
_CALLERS = 12
_IN_FORCE_WITHIN_S = 5.0


@pytest.fixture
async def system():
    """Return two entries before three engines and a booking service."""
    running = InProcessSystem()
    await running.async_start_platform()
    for index, zone in enumerate(ZONES):
        await running.async_add_engine(
            f"engine-{index}",
            zone,
            silence_s=_SILENCE_S,
            cold_concurrency=_COLD_CONCURRENCY,
        )
    await running.async_add_service("booking-0", ZONES[0])
    await running.async_add_entry("entry-0", ZONES[1])
    await running.async_add_entry("entry-1", ZONES[2])
    await running.async_wait_until_ready()
    yield running
    await running.async_stop()


def _engines(system):
    return [gate.stand_in for vm, gate in system.upstream_vms.items() if "engine" in vm]


def _set_engine_faults(system, **faults):
    for engine in _engines(system):
        engine.faults.active.update(faults)


def _count(system, vm_id, name):
    return system.upstream_vms[vm_id].stand_in.faults.counts.get(name, 0)


def _effects(system):
    return _count(system, "booking-0", "effects")


async def _async_mark_out(system, kind, name, revision=2):
    """Put a mark into the store, and wait until every entry has it."""
    entries = [running.entry.node for running in system.entries.values()]
    lists = set_out_of_service(
        entries[0].configuration.record.configuration, kind, name, out=True
    )
    system.set_configuration(lists, revision=revision)
    in_force = await async_wait_until(
        lambda: all(node.configuration.revision == revision for node in entries),
        _IN_FORCE_WITHIN_S,
    )
    assert in_force, "the change is not in force everywhere"


async def _async_streams(http_session, system, count=_CALLERS, **changes):
    urls = [running.url for running in system.entries.values()]
    return await asyncio.gather(
        *(
            async_stream(http_session, urls[index % len(urls)], **changes)
            for index in range(count)
        )
    )


async def test_zone_out_while_engines_are_cold(system, http_session):
    """A zone leaves while all engines are cold: nothing new there, no collapse."""
    _set_engine_faults(system, cold_limit=_COLD_CONCURRENCY)
    for engine in _engines(system):
        engine.restart()
    await _async_mark_out(system, OutOfServiceKind.ZONE, ZONES[0])
    before = _count(system, "engine-0", "started")
    answers = await _async_streams(http_session, system)
    for answer in answers:
        check_stream(answer)
    assert _count(system, "engine-0", "started") == before
    assert (
        sum(engine.faults.counts.get("collapses", 0) for engine in _engines(system))
        == 0
    )


async def test_version_withdrawn_while_the_store_is_slow(system, http_session):
    """A withdrawal through a slow store is in force everywhere within seconds."""
    system.store.faults.active["delay_s"] = 1.0
    await _async_mark_out(system, OutOfServiceKind.VERSION, "drafter/v1")
    for answer in await _async_streams(http_session, system):
        check_stream(answer)
        assert b'"model":"drafter/v1"' not in answer.body


async def test_silent_connection_under_a_booking(system, http_session):
    """A booking whose connection falls silent runs once and is told truthfully."""
    relay = await async_start_tcp_proxy(
        system.upstream_vms["booking-0"].settings.node.inner_address
    )
    system.publish_vm_list(**{"booking-0": {"address": relay.address}})
    nodes = [running.entry.node for running in system.entries.values()]
    moved = await async_wait_until(
        lambda: all(n.upstream("booking-0").address == relay.address for n in nodes),
        _IN_FORCE_WITHIN_S,
    )
    assert moved
    await system.async_wait_until_ready()
    system.upstream_vms["booking-0"].stand_in.faults.active["delay_s"] = 0.5
    url = system.entries["entry-0"].url
    answer = await async_book_with_fault(http_session, url, "b", relay.stall)
    check_booking(answer, _effects(system))
    assert _effects(system) == 1
    await relay.async_stop()


@pytest.mark.parametrize("reused_by", ["booking-0", "engine-1"])
async def test_stale_vm_list_names_a_reused_address(system, http_session, reused_by):
    """A VM listed at an address that another VM has taken gets no work there."""
    address = system.upstream_vms[reused_by].settings.node.inner_address
    system.publish_vm_list(**{"engine-0": {"address": address}})
    system.vm_list.faults.active["lag_s"] = 0.5
    nodes = [running.entry.node for running in system.entries.values()]
    await async_wait_until(
        lambda: all(n.upstream("engine-0").address == address for n in nodes),
        _IN_FORCE_WITHIN_S,
    )
    before = _count(system, "engine-0", "started")
    for running in system.entries.values():
        for _ in range(3):
            assert (await async_stream(http_session, running.url)).is_complete
    assert _count(system, "engine-0", "started") == before
    assert _effects(system) == 0


async def test_short_streams_while_a_zone_leaves(system, http_session):
    """Streams cut short while a zone leaves are never passed on as whole."""
    system.upstream_vms["engine-1"].stand_in.faults.active["short_after"] = 3
    await _async_mark_out(system, OutOfServiceKind.ZONE, ZONES[0])
    before = _count(system, "engine-0", "started")
    for answer in await _async_streams(http_session, system):
        check_stream(answer)
    assert _count(system, "engine-0", "started") == before


async def test_lost_store_answer_under_two_operators(system, http_session):
    """Of two operators one wins, also if the winner's answer is lost."""
    store = StoreClient(
        http_session, system.entries["entry-0"].settings.platform.store_url
    )
    base = await async_read_configuration(store)

    def change(change_id):
        return ConfigurationMessage(
            revision=2,
            change_id=change_id,
            digest=base.message.digest,
            document=base.message.document,
        )

    async def write(change_id):
        """Write as an operator does: once more when the answer is lost."""
        for _ in range(2):
            try:
                await async_write_configuration(
                    store, change(change_id), base.mod_revision
                )
            except StoreError:
                continue
            except RevisionConflictError:
                return False
            return True
        raise AssertionError("the store never answered")

    system.store.faults.active["lose_answer"] = 1
    told = dict(zip("ab", await asyncio.gather(write("a"), write("b")), strict=True))
    winner = (await async_read_configuration(store)).message.change_id
    assert told == {"a": winner == "a", "b": winner == "b"}


async def test_drain_behind_a_silent_engine(system, http_session):
    """A sidecar that stops behind a silent engine ends its stream, then exits."""
    _set_engine_faults(system, silent_after=2)
    url = system.entries["entry-0"].url
    stream = asyncio.create_task(async_stream(http_session, url, timeout_s=6.0))
    assert await async_wait_until(
        lambda: any(
            gate.sidecar.node.attempts_in_flight
            for gate in system.upstream_vms.values()
        ),
        _IN_FORCE_WITHIN_S,
    )
    upstream_vms = [gate for vm, gate in system.upstream_vms.items() if "engine" in vm]
    async with asyncio.timeout(10.0):
        await asyncio.gather(*(gate.sidecar.async_unload() for gate in upstream_vms))
    answer = await stream
    check_stream(answer)
    assert not answer.is_complete


async def test_bookings_while_store_and_vm_list_are_down(system, http_session):
    """With store and VM list down, bookings run at most once, and truthfully."""
    system.store.faults.active["down"] = True
    system.vm_list.faults.active["down"] = True
    url = system.entries["entry-0"].url
    before = _effects(system)
    answer = await async_book(http_session, url, "b", timeout_s=4.0)
    check_booking(answer, _effects(system) - before)
    assert (await async_stream(http_session, url)).is_complete


async def test_withdrawal_while_an_entry_misses_watches(system, http_session):
    """A change reaches all although watches drop and the VM list lags."""
    system.store.faults.active["drop_watches"] = True
    system.vm_list.faults.active["lag_s"] = 2.0
    await _async_mark_out(system, OutOfServiceKind.VERSION, "drafter/v1")
    for answer in await _async_streams(http_session, system):
        check_stream(answer)
        assert b'"model":"drafter/v1"' not in answer.body
