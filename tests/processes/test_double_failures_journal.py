"""Tests of two simultaneous failures with bookings that are sent again."""

import asyncio
import signal

import pytest

from tests.fixtures.caller_responses import async_book, async_stream, check_booking
from tests.fixtures.local_system import ZONES, LocalSystem

_BOOKING = "booking-0"
_ENTRIES = ("entry-0", "entry-1")
_DELAY_S = 0.4
_FAULT_AFTER_S = 0.2
# Longer than the lease of a journal owner, so that the other entry takes over.
_PAUSE_S = 7.0
_MAX_RESENDS = 12
_RESEND_INTERVAL_S = 1.0


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """Yield a system of two entries, an engine and a booking service."""
    with LocalSystem(tmp_path_factory.mktemp("journal")) as system:
        system.start_platform()
        system.add_upstream_vm(
            "engine-0", ZONES[0], "engine", ["drafter/v1", "drafter/v2"]
        )
        system.add_upstream_vm(
            _BOOKING, ZONES[0], "plain_service", services=["booking"]
        )
        for vm_id, zone in zip(_ENTRIES, ZONES, strict=False):
            system.add_entry(vm_id, zone)
        system.activate_configuration()
        yield system


@pytest.fixture
def system(running):
    """Return the ready system, with a booking service that is slow."""
    running.wait_until_ready()
    running.set_faults(running.upstream_vms[_BOOKING].upstream_url, delay_s=_DELAY_S)
    return running


def _effects(system):
    return system.counts(_BOOKING).get("effects", 0)


async def _async_resend(http_session, url, key):
    """Send a booking until it is confirmed or may have run."""
    for _ in range(_MAX_RESENDS):
        response = await async_book(http_session, url, "b", key=key, timeout_s=4.0)
        if response.is_complete or (
            response.code is not None and not response.says_not_run
        ):
            return response
        await asyncio.sleep(_RESEND_INTERVAL_S)
    return response


def _kill(system, name):
    process = system.process(name)
    process.send(signal.SIGKILL)
    process.wait()


async def test_entry_killed_and_booking_sent_again_elsewhere(system, http_session):
    """A booking runs at most once if its entry dies and it is sent again."""
    before = _effects(system)
    urls = [system.entries[vm_id].url for vm_id in _ENTRIES]
    first = asyncio.create_task(async_book(http_session, urls[0], "b", key="killed"))
    await asyncio.sleep(_FAULT_AFTER_S)
    _kill(system, "entry-0")
    response = await _async_resend(http_session, urls[1], "killed")
    await first
    system.start_entry("entry-0")
    check_booking(response, _effects(system) - before)


async def test_owner_paused_and_booking_sent_again_elsewhere(system, http_session):
    """An owner paused beyond its lease does not run a booking again."""
    before = _effects(system)
    urls = [system.entries[vm_id].url for vm_id in _ENTRIES]
    owner = system.process("entry-0")
    first = asyncio.create_task(async_book(http_session, urls[0], "b", key="paused"))
    await asyncio.sleep(_FAULT_AFTER_S)
    owner.send(signal.SIGSTOP)
    resume_timer = asyncio.get_running_loop().call_later(
        _PAUSE_S, owner.send, signal.SIGCONT
    )
    response = await _async_resend(http_session, urls[1], "paused")
    resume_timer.cancel()
    owner.send(signal.SIGCONT)
    check_booking(await first, _effects(system) - before)
    check_booking(response, _effects(system) - before)


async def test_store_loses_responses_and_two_entries_book_the_same(
    system, http_session
):
    """One key sent to two entries while store responses are lost runs once."""
    before = _effects(system)
    system.set_faults(system.store_url, lose_answer=3)
    urls = [system.entries[vm_id].url for vm_id in _ENTRIES]
    responses = await asyncio.gather(
        *(_async_resend(http_session, url, "lossy") for url in urls)
    )
    system.set_faults(system.store_url, lose_answer=0)
    for response in responses:
        check_booking(response, _effects(system) - before)
    assert _effects(system) - before <= 1


async def test_service_response_lost_and_store_down(system, http_session):
    """A booking runs once if its response is lost as the store goes down."""
    before = _effects(system)
    system.set_faults(system.upstream_vms[_BOOKING].upstream_url, crash_after_effect=1)
    urls = [system.entries[vm_id].url for vm_id in _ENTRIES]
    first = asyncio.create_task(async_book(http_session, urls[0], "b", key="both"))
    await asyncio.sleep(_FAULT_AFTER_S)
    system.set_faults(system.store_url, down=True)
    check_booking(await first, _effects(system) - before)
    during_outage = await async_book(
        http_session, urls[1], "b", key="both", timeout_s=3.0
    )
    assert not during_outage.is_complete
    system.set_faults(system.store_url, down=False)
    response = await _async_resend(http_session, urls[1], "both")
    assert not response.is_complete
    assert _effects(system) - before == 1


async def test_crashing_request_and_store_down(system, http_session):
    """A request that crashes engines gets an error while the store is down."""
    upstream_url = system.upstream_vms["engine-0"].upstream_url
    system.set_faults(upstream_url, crash_on="poison")
    system.set_faults(system.store_url, down=True)
    url = system.entries["entry-1"].url
    try:
        for _ in range(3):
            response = await async_stream(
                http_session, url, prompt="poison", timeout_s=3.0
            )
            assert not response.is_complete
            assert response.code is not None
    finally:
        system.set_faults(system.store_url, down=False)
        system.set_faults(upstream_url, crash_on=None)
