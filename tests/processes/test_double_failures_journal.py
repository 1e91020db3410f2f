"""Two failures at once around bookings that their caller sends again."""

import asyncio
import signal

import pytest

from tests.fixtures.caller_responses import async_book, async_stream, check_booking
from tests.fixtures.local_system import ZONES, LocalSystem

_BOOKING = "booking-0"
_ENTRIES = ("entry-0", "entry-1")
_DELAY_S = 0.4
_STRUCK_AFTER_S = 0.2
# Longer than a journal owner's lease, so that the other entry takes over.
_PAUSE_S = 7.0
_RESENDS = 12
_RESEND_AFTER_S = 1.0


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """Return two entries before an engine and a booking service."""
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
    """Return the system with everything ready, and a booking that takes time."""
    running.wait_until_ready()
    running.set_faults(running.upstream_vms[_BOOKING].upstream_url, delay_s=_DELAY_S)
    return running


def _effects(system):
    return system.counts(_BOOKING).get("effects", 0)


async def _async_resend(http_session, url, key):
    """Send a booking again and again until it is answered for good."""
    for _ in range(_RESENDS):
        answer = await async_book(http_session, url, "b", key=key, timeout_s=4.0)
        if answer.is_complete or (answer.code is not None and not answer.says_not_run):
            return answer
        await asyncio.sleep(_RESEND_AFTER_S)
    return answer


def _kill(system, name):
    process = system.process(name)
    process.send(signal.SIGKILL)
    process.wait()


async def test_entry_killed_and_booking_sent_again_elsewhere(system, http_session):
    """A booking whose entry dies, sent again to the other, runs at most once."""
    before = _effects(system)
    urls = [system.entries[vm_id].url for vm_id in _ENTRIES]
    first = asyncio.create_task(async_book(http_session, urls[0], "b", key="killed"))
    await asyncio.sleep(_STRUCK_AFTER_S)
    _kill(system, "entry-0")
    answer = await _async_resend(http_session, urls[1], "killed")
    await first
    system.start_entry("entry-0")
    check_booking(answer, _effects(system) - before)


async def test_owner_paused_and_booking_sent_again_elsewhere(system, http_session):
    """A claim owner that is paused past its lease does not book a second time."""
    before = _effects(system)
    urls = [system.entries[vm_id].url for vm_id in _ENTRIES]
    owner = system.process("entry-0")
    first = asyncio.create_task(async_book(http_session, urls[0], "b", key="paused"))
    await asyncio.sleep(_STRUCK_AFTER_S)
    owner.send(signal.SIGSTOP)
    wake = asyncio.get_running_loop().call_later(_PAUSE_S, owner.send, signal.SIGCONT)
    answer = await _async_resend(http_session, urls[1], "paused")
    wake.cancel()
    owner.send(signal.SIGCONT)
    check_booking(await first, _effects(system) - before)
    check_booking(answer, _effects(system) - before)


async def test_store_loses_answers_and_two_entries_book_the_same(system, http_session):
    """One key at two entries at once, with store answers lost, books once."""
    before = _effects(system)
    system.set_faults(system.store_url, lose_answer=3)
    urls = [system.entries[vm_id].url for vm_id in _ENTRIES]
    answers = await asyncio.gather(
        *(_async_resend(http_session, url, "lossy") for url in urls)
    )
    system.set_faults(system.store_url, lose_answer=0)
    for answer in answers:
        check_booking(answer, _effects(system) - before)
    assert _effects(system) - before <= 1


async def test_service_answer_lost_and_store_down(system, http_session):
    """A booking whose answer is lost as the store goes down runs at most once."""
    before = _effects(system)
    system.set_faults(system.upstream_vms[_BOOKING].upstream_url, crash_after_effect=1)
    urls = [system.entries[vm_id].url for vm_id in _ENTRIES]
    first = asyncio.create_task(async_book(http_session, urls[0], "b", key="both"))
    await asyncio.sleep(_STRUCK_AFTER_S)
    system.set_faults(system.store_url, down=True)
    check_booking(await first, _effects(system) - before)
    blind = await async_book(http_session, urls[1], "b", key="both", timeout_s=3.0)
    assert not blind.is_complete
    system.set_faults(system.store_url, down=False)
    answer = await _async_resend(http_session, urls[1], "both")
    assert not answer.is_complete
    assert _effects(system) - before == 1


async def test_poison_and_store_down(system, http_session):
    """A request that crashes engines ends with an error while the store is down."""
    upstream_url = system.upstream_vms["engine-0"].upstream_url
    system.set_faults(upstream_url, crash_on="poison")
    system.set_faults(system.store_url, down=True)
    url = system.entries["entry-1"].url
    try:
        for _ in range(3):
            answer = await async_stream(
                http_session, url, prompt="poison", timeout_s=3.0
            )
            assert not answer.is_complete
            assert answer.code is not None
    finally:
        system.set_faults(system.store_url, down=False)
        system.set_faults(upstream_url, crash_on=None)
