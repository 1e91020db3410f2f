"""Tests of two simultaneous failures of processes."""

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
_ACTIVATION_TIMEOUT_S = 5.0
_CALLERS = 4


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    """Yield a system of two entries, two engines and a booking service."""
    with LocalSystem(tmp_path_factory.mktemp("double-failures")) as system:
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
    """Return the system once all its processes are ready."""
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


def _wait_until_active(system, revision):
    system.wait_until(
        lambda: all(_revision(system, vm_id) == revision for vm_id in system.entries),
        _ACTIVATION_TIMEOUT_S,
    )


async def test_store_down_and_entry_killed(system, http_session):
    """A booking runs at most once if its entry dies while the store is down."""
    before = _effects(system)
    entry = system.entries["entry-0"]
    service_url = system.upstream_vms[_BOOKING].upstream_url
    system.set_faults(service_url, delay_s=0.5)

    def inject_fault():
        system.set_faults(system.store_url, down=True)
        _kill(system, "entry-0")

    try:
        first = await async_book_with_fault(http_session, entry.url, "b", inject_fault)
        system.start_entry("entry-0")
        system.wait_for(f"http://{entry.admin_address}/readyz")
        # A new session: connections to the killed process are unusable.
        async with aiohttp.ClientSession() as session:
            stream = await async_stream(session, entry.url)
    finally:
        system.set_faults(system.store_url, down=None)
        system.set_faults(service_url, delay_s=None)
    check_booking(first, _effects(system) - before)
    assert stream.is_complete


async def test_operators_race_while_an_entry_is_paused(system, http_session):
    """No accepted change of two is lost, and the paused entry catches up."""
    revision = _revision(system, "entry-1")
    system.process("entry-0").send(signal.SIGSTOP)
    refused = []

    def put_out_of_service(kind, name):
        try:
            system.run_operator_command(kind, "out", name)
        except RuntimeError as error:
            refused.append(str(error))

    changes = [("version", "drafter/v1"), ("zone", ZONES[2])]
    operators = [
        threading.Thread(target=put_out_of_service, args=change) for change in changes
    ]
    for operator in operators:
        operator.start()
    for operator in operators:
        operator.join()
    system.process("entry-0").send(signal.SIGCONT)
    accepted = len(changes) - len(refused)
    assert accepted >= 1
    _wait_until_active(system, revision + accepted)
    for kind, name in changes:
        system.run_operator_command(kind, "in", name)


async def test_engine_crash_and_sidecar_restart(system, http_session):
    """Streams end complete or with an error when engine and sidecar die."""
    for vm_id in _ENGINES:
        system.set_faults(system.upstream_vms[vm_id].upstream_url, token_s=0.03)
    killed = []

    def inject_fault():
        if not killed:
            killed.append("engine-0")
            _kill(system, "engine-0-upstream")
            _kill(system, "engine-0")

    url = system.entries["entry-1"].url
    for _ in range(_CALLERS):
        response = await async_stream(
            http_session, url, tokens=20, timeout_s=5.0, on_first_token=inject_fault
        )
        check_stream(response)
    upstream_url = system.upstream_vms["engine-0"].upstream_url
    system.start_stand_in("engine-0-upstream", "engine", upstream_url, _VERSIONS)
    system.wait_for(f"{upstream_url}/counts")
    system.start_sidecar("engine-0")
    system.wait_until_ready()


async def test_vm_list_down_and_sidecar_restart(system, http_session):
    """A sidecar restarted while the VM list is down serves again."""
    system.set_faults(system.vm_list_url, down=True)
    try:
        _kill(system, "engine-0")
        system.start_sidecar("engine-0")
        system.wait_until_ready()
        response = await async_stream(http_session, system.entries["entry-0"].url)
    finally:
        system.set_faults(system.vm_list_url, down=None)
    assert response.is_complete


async def test_store_restart_and_sidecar_killed_under_a_booking(system, http_session):
    """The response is correct when the sidecar dies during a store outage."""
    before = _effects(system)
    service_url = system.upstream_vms[_BOOKING].upstream_url
    system.set_faults(service_url, delay_s=0.5)

    def inject_fault():
        system.set_faults(system.store_url, down=True)
        _kill(system, _BOOKING)

    url = system.entries["entry-1"].url
    response = await async_book_with_fault(http_session, url, "b", inject_fault)
    system.set_faults(system.store_url, down=None)
    system.set_faults(service_url, delay_s=None)
    system.start_sidecar(_BOOKING)
    system.wait_until_ready()
    check_booking(response, _effects(system) - before)


async def test_response_lost_and_store_slow(system, http_session):
    """A booking whose response is lost while the store is slow is correct."""
    before = _effects(system)
    system.set_faults(system.store_url, delay_s=0.5)
    system.set_faults(system.upstream_vms[_BOOKING].upstream_url, crash_after_effect=1)
    try:
        response = await async_book(http_session, system.entries["entry-0"].url, "b")
    finally:
        system.set_faults(system.store_url, delay_s=None)
    assert not response.is_complete
    check_booking(response, _effects(system) - before)


async def test_entry_paused_through_a_withdrawal(system, http_session):
    """An entry paused during a withdrawal does not use the version."""
    revision = _revision(system, "entry-1")
    system.process("entry-0").send(signal.SIGSTOP)
    system.run_operator_command("version", "out", "drafter/v1")
    system.wait_until(
        lambda: _revision(system, "entry-1") == revision + 1, _ACTIVATION_TIMEOUT_S
    )
    system.wait_until(
        lambda: all(
            fetch_json(f"http://{system.upstream_vms[vm_id].admin_address}/state")[
                "revision"
            ]
            == revision + 1
            for vm_id in _ENGINES
        ),
        _ACTIVATION_TIMEOUT_S,
    )
    system.process("entry-0").send(signal.SIGCONT)
    for _ in range(_CALLERS):
        response = await async_stream(http_session, system.entries["entry-0"].url)
        check_stream(response)
        assert b'"model":"drafter/v1"' not in response.body
    system.run_operator_command("version", "in", "drafter/v1")
    _wait_until_active(system, revision + 2)
