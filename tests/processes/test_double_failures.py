"""Two failures at once, of real processes."""

import signal
import threading

import aiohttp
import pytest

from tests.fixtures.caller_responses import (
    async_book,
    async_book_with_fault,
    async_stream,
    check_booking,
    check_stream,
)
from tests.fixtures.local_system import ZONES, LocalSystem, fetch_json

_VERSIONS = ["drafter/v1", "drafter/v2"]
_ENGINES = ("engine-0", "engine-1")
_BOOKING = "booking-0"
_SILENCE_S = 1.0
_IN_FORCE_WITHIN_S = 5.0
_CALLERS = 4


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """Return two entries before two engines and a booking service."""
    with LocalSystem(tmp_path_factory.mktemp("pairs")) as system:
        system.start_platform()
        for vm_id, zone in zip(_ENGINES, ZONES, strict=False):
            system.add_upstream_vm(
                vm_id, zone, "engine", _VERSIONS, silence_s=_SILENCE_S
            )
        system.add_upstream_vm(
            _BOOKING, ZONES[0], "plain_service", services=["booking"]
        )
        for index in range(2):
            system.add_entry(f"entry-{index}", ZONES[index])
        system.activate_configuration()
        yield system


@pytest.fixture
def system(running):
    """Return the system with everything ready."""
    running.wait_until_ready()
    return running


def _effects(system):
    return system.counts(_BOOKING).get("effects", 0)


def _kill(system, name):
    process = system.process(name)
    process.send(signal.SIGKILL)
    process.wait()


def _revision(system, vm_id):
    return system.state(system.entries[vm_id])["revision"]


def _wait_until_in_force(system, revision):
    system.wait_until(
        lambda: all(_revision(system, vm_id) == revision for vm_id in system.entries),
        _IN_FORCE_WITHIN_S,
    )


async def test_store_down_and_entry_killed(system, http_session):
    """A caller whose entry dies while the store is down books at most once."""
    before = _effects(system)
    entry = system.entries["entry-0"]
    service_url = system.upstream_vms[_BOOKING].upstream_url
    system.set_faults(service_url, delay_s=0.5)

    def strike():
        system.set_faults(system.store_url, down=True)
        _kill(system, "entry-0")

    try:
        first = await async_book_with_fault(http_session, entry.url, "b", strike)
        system.start_entry("entry-0")
        system.wait_for(f"http://{entry.admin_address}/readyz")
        # A session of its own: connections to the killed process are gone.
        async with aiohttp.ClientSession() as session:
            stream = await async_stream(session, entry.url)
    finally:
        system.set_faults(system.store_url, down=None)
        system.set_faults(service_url, delay_s=None)
    check_booking(first, _effects(system) - before)
    assert stream.is_complete


async def test_operators_race_while_an_entry_is_paused(system, http_session):
    """Of two racing marks none is lost, and the paused entry catches up."""
    revision = _revision(system, "entry-1")
    system.process("entry-0").send(signal.SIGSTOP)
    refused = []

    def mark(word, name):
        try:
            system.run_operator_command(word, "out", name)
        except RuntimeError as error:
            refused.append(str(error))

    changes = [("version", "drafter/v1"), ("zone", ZONES[2])]
    operators = [threading.Thread(target=mark, args=change) for change in changes]
    for operator in operators:
        operator.start()
    for operator in operators:
        operator.join()
    system.process("entry-0").send(signal.SIGCONT)
    accepted = len(changes) - len(refused)
    assert accepted >= 1
    _wait_until_in_force(system, revision + accepted)
    for word, name in changes:
        system.run_operator_command(word, "in", name)


async def test_engine_crash_and_sidecar_restart(system, http_session):
    """Streams whose engine and sidecar die together end whole or with an error."""
    for vm_id in _ENGINES:
        system.set_faults(system.upstream_vms[vm_id].upstream_url, token_s=0.03)
    struck = []

    def strike():
        if not struck:
            struck.append("engine-0")
            _kill(system, "engine-0-upstream")
            _kill(system, "engine-0")

    url = system.entries["entry-1"].url
    for _ in range(_CALLERS):
        answer = await async_stream(
            http_session, url, tokens=20, timeout_s=5.0, on_first_token=strike
        )
        check_stream(answer)
    upstream_url = system.upstream_vms["engine-0"].upstream_url
    system.start_stand_in("engine-0-upstream", "engine", upstream_url, _VERSIONS)
    system.wait_for(f"{upstream_url}/counts")
    system.start_sidecar("engine-0")
    system.wait_until_ready()


async def test_vm_list_down_and_sidecar_restart(system, http_session):
    """A sidecar replaced while the VM list is down serves again, newly known."""
    system.set_faults(system.vm_list_url, down=True)
    try:
        _kill(system, "engine-0")
        system.start_sidecar("engine-0")
        system.wait_until_ready()
        answer = await async_stream(http_session, system.entries["entry-0"].url)
    finally:
        system.set_faults(system.vm_list_url, down=None)
    assert answer.is_complete


async def test_store_restart_and_sidecar_killed_under_a_booking(system, http_session):
    """A booking under which its sidecar dies in a store outage is truthful."""
    before = _effects(system)
    service_url = system.upstream_vms[_BOOKING].upstream_url
    system.set_faults(service_url, delay_s=0.5)

    def strike():
        system.set_faults(system.store_url, down=True)
        _kill(system, _BOOKING)

    url = system.entries["entry-1"].url
    answer = await async_book_with_fault(http_session, url, "b", strike)
    system.set_faults(system.store_url, down=None)
    system.set_faults(service_url, delay_s=None)
    system.start_sidecar(_BOOKING)
    system.wait_until_ready()
    check_booking(answer, _effects(system) - before)


async def test_answer_lost_and_store_slow(system, http_session):
    """A booking whose answer is lost beside a slow store has run once."""
    before = _effects(system)
    system.set_faults(system.store_url, delay_s=0.5)
    system.set_faults(system.upstream_vms[_BOOKING].upstream_url, crash_after_effect=1)
    try:
        answer = await async_book(http_session, system.entries["entry-0"].url, "b")
    finally:
        system.set_faults(system.store_url, delay_s=None)
    assert not answer.is_complete
    check_booking(answer, _effects(system) - before)


async def test_entry_paused_through_a_withdrawal(system, http_session):
    """An entry paused through a withdrawal sends nothing to the version."""
    revision = _revision(system, "entry-1")
    system.process("entry-0").send(signal.SIGSTOP)
    system.run_operator_command("version", "out", "drafter/v1")
    system.wait_until(
        lambda: _revision(system, "entry-1") == revision + 1, _IN_FORCE_WITHIN_S
    )
    system.wait_until(
        lambda: all(
            fetch_json(f"http://{system.upstream_vms[vm_id].admin_address}/state")[
                "revision"
            ]
            == revision + 1
            for vm_id in _ENGINES
        ),
        _IN_FORCE_WITHIN_S,
    )
    system.process("entry-0").send(signal.SIGCONT)
    for _ in range(_CALLERS):
        answer = await async_stream(http_session, system.entries["entry-0"].url)
        check_stream(answer)
        assert b'"model":"drafter/v1"' not in answer.body
    system.run_operator_command("version", "in", "drafter/v1")
    _wait_until_in_force(system, revision + 2)
