"""Tests of two simultaneous failures in one event loop.

The stand-ins' own counters show what has run.
"""

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
_ACTIVATION_TIMEOUT_S = 5.0


@pytest.fixture
async def system():
    """Yield a system of two entries, three engines and a booking service."""
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
    return [
        upstream_vm.stand_in
        for vm_id, upstream_vm in system.upstream_vms.items()
        if "engine" in vm_id
    ]


def _set_engine_faults(system, **faults):
    for engine in _engines(system):
        engine.faults.active.update(faults)


def _count(system, vm_id, name):
    return system.upstream_vms[vm_id].stand_in.faults.counts.get(name, 0)


def _effects(system):
    return _count(system, "booking-0", "effects")


async def _async_put_out_of_service(system, kind, name, revision=2):
    """Store an out-of-service mark; wait until every entry has it."""
    entries = [running.entry.node for running in system.entries.values()]
    configuration = set_out_of_service(
        entries[0].configuration.record.configuration, kind, name, out=True
    )
    system.set_configuration(configuration, revision=revision)
    is_active = await async_wait_until(
        lambda: all(node.configuration.revision == revision for node in entries),
        _ACTIVATION_TIMEOUT_S,
    )
    assert is_active, f"revision {revision} is not active in every entry"


async def _async_streams(http_session, system, count=_CALLERS, **changes):
    urls = [running.url for running in system.entries.values()]
    return await asyncio.gather(
        *(
            async_stream(http_session, urls[index % len(urls)], **changes)
            for index in range(count)
        )
    )


async def test_zone_out_while_engines_are_cold(system, http_session):
    """A zone out of service gets no request, and no cold engine collapses."""
    _set_engine_faults(system, cold_limit=_COLD_CONCURRENCY)
    for engine in _engines(system):
        engine.restart()
    await _async_put_out_of_service(system, OutOfServiceKind.ZONE, ZONES[0])
    before = _count(system, "engine-0", "started")
    responses = await _async_streams(http_session, system)
    for response in responses:
        check_stream(response)
    assert _count(system, "engine-0", "started") == before
    assert (
        sum(engine.faults.counts.get("collapses", 0) for engine in _engines(system))
        == 0
    )


async def test_version_withdrawn_while_the_store_is_slow(system, http_session):
    """A withdrawal is active everywhere within seconds despite a slow store."""
    system.store.faults.active["delay_s"] = 1.0
    await _async_put_out_of_service(system, OutOfServiceKind.VERSION, "drafter/v1")
    for response in await _async_streams(http_session, system):
        check_stream(response)
        assert b'"model":"drafter/v1"' not in response.body


async def test_stalled_connection_during_a_booking(system, http_session):
    """A booking whose connection stalls runs once with a correct response."""
    proxy = await async_start_tcp_proxy(
        system.upstream_vms["booking-0"].settings.node.inner_address
    )
    system.publish_vm_list(**{"booking-0": {"address": proxy.address}})
    nodes = [running.entry.node for running in system.entries.values()]
    moved = await async_wait_until(
        lambda: all(n.upstream("booking-0").address == proxy.address for n in nodes),
        _ACTIVATION_TIMEOUT_S,
    )
    assert moved
    await system.async_wait_until_ready()
    system.upstream_vms["booking-0"].stand_in.faults.active["delay_s"] = 0.5
    url = system.entries["entry-0"].url
    response = await async_book_with_fault(http_session, url, "b", proxy.stall)
    check_booking(response, _effects(system))
    assert _effects(system) == 1
    await proxy.async_stop()


@pytest.mark.parametrize("reused_by", ["booking-0", "engine-1"])
async def test_stale_vm_list_names_a_reused_address(system, http_session, reused_by):
    """A VM listed at an address that another VM uses gets no requests."""
    address = system.upstream_vms[reused_by].settings.node.inner_address
    system.publish_vm_list(**{"engine-0": {"address": address}})
    system.vm_list.faults.active["lag_s"] = 0.5
    nodes = [running.entry.node for running in system.entries.values()]
    await async_wait_until(
        lambda: all(n.upstream("engine-0").address == address for n in nodes),
        _ACTIVATION_TIMEOUT_S,
    )
    before = _count(system, "engine-0", "started")
    for running in system.entries.values():
        for _ in range(3):
            assert (await async_stream(http_session, running.url)).is_complete
    assert _count(system, "engine-0", "started") == before
    assert _effects(system) == 0


async def test_short_streams_while_a_zone_leaves(system, http_session):
    """Truncated streams are not relayed as complete while a zone leaves."""
    system.upstream_vms["engine-1"].stand_in.faults.active["short_after"] = 3
    await _async_put_out_of_service(system, OutOfServiceKind.ZONE, ZONES[0])
    before = _count(system, "engine-0", "started")
    for response in await _async_streams(http_session, system):
        check_stream(response)
    assert _count(system, "engine-0", "started") == before


async def test_lost_store_response_with_two_operators(system, http_session):
    """One of two operators wins, even if the winner's response is lost."""
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
        """Write as an operator does: retry once when the response is lost."""
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
        raise AssertionError(
            f"the store gave no response to either write of {change_id}"
        )

    system.store.faults.active["lose_answer"] = 1
    accepted = dict(
        zip("ab", await asyncio.gather(write("a"), write("b")), strict=True)
    )
    winner = (await async_read_configuration(store)).message.change_id
    assert accepted == {"a": winner == "a", "b": winner == "b"}


async def test_drain_with_an_unresponsive_engine(system, http_session):
    """A draining sidecar ends the stream of an unresponsive engine and exits."""
    _set_engine_faults(system, silent_after=2)
    url = system.entries["entry-0"].url
    stream = asyncio.create_task(async_stream(http_session, url, timeout_s=6.0))
    assert await async_wait_until(
        lambda: any(
            upstream_vm.sidecar.node.attempts_in_flight
            for upstream_vm in system.upstream_vms.values()
        ),
        _ACTIVATION_TIMEOUT_S,
    )
    engine_vms = [
        upstream_vm
        for vm_id, upstream_vm in system.upstream_vms.items()
        if "engine" in vm_id
    ]
    async with asyncio.timeout(10.0):
        await asyncio.gather(
            *(engine_vm.sidecar.async_unload() for engine_vm in engine_vms)
        )
    response = await stream
    check_stream(response)
    assert not response.is_complete


async def test_bookings_while_store_and_vm_list_are_down(system, http_session):
    """Bookings run at most once and streams complete without both."""
    system.store.faults.active["down"] = True
    system.vm_list.faults.active["down"] = True
    url = system.entries["entry-0"].url
    before = _effects(system)
    response = await async_book(http_session, url, "b", timeout_s=4.0)
    check_booking(response, _effects(system) - before)
    assert (await async_stream(http_session, url)).is_complete


async def test_withdrawal_while_an_entry_misses_watches(system, http_session):
    """A change reaches every entry while watches drop and the VM list lags."""
    system.store.faults.active["drop_watches"] = True
    system.vm_list.faults.active["lag_s"] = 2.0
    await _async_put_out_of_service(system, OutOfServiceKind.VERSION, "drafter/v1")
    for response in await _async_streams(http_session, system):
        check_stream(response)
        assert b'"model":"drafter/v1"' not in response.body
