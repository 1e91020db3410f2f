"""Tests that responses agree with what ran when a process has a fault."""

import asyncio
import signal

import pytest

from tests.fixtures.caller_responses import (
    async_book,
    async_book_with_fault,
    async_stream,
    check_booking,
    check_stream,
)
from tests.fixtures.local_system import ZONES, LocalSystem

_VERSIONS = ["drafter/v1", "drafter/v2"]
_ENGINES = ("engine-0", "engine-1")
_BOOKING = "booking-0"
_SILENCE_S = 1.0
_PAUSE_S = 3.5
_BOOKING_DELAY_S = 0.5
_TOKEN_S = 0.03
_TOKENS = 30


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Yield a system of one entry, two engines and a booking service."""
    with LocalSystem(tmp_path_factory.mktemp("faults")) as running:
        running.start_platform()
        for vm_id, zone in zip(_ENGINES, ZONES, strict=False):
            running.add_upstream_vm(
                vm_id, zone, "engine", _VERSIONS, silence_s=_SILENCE_S
            )
        running.add_upstream_vm(
            _BOOKING,
            ZONES[0],
            "plain_service",
            services=["booking"],
            silence_s=_SILENCE_S,
        )
        running.add_entry("entry-0", ZONES[0])
        running.activate_configuration()
        yield running


@pytest.fixture
def url(system):
    """Return the entry's URL once the system is ready.

    Engines and service are slowed down so that faults hit open requests.
    """
    system.wait_until_ready()
    for vm_id in _ENGINES:
        system.set_faults(system.upstream_vms[vm_id].upstream_url, token_s=_TOKEN_S)
    service_url = system.upstream_vms[_BOOKING].upstream_url
    system.set_faults(service_url, delay_s=_BOOKING_DELAY_S)
    return system.entries["entry-0"].url


def _effects(system):
    return system.counts(_BOOKING).get("effects", 0)


def _serving_engine(system, before):
    """Return the engine that started a call since the counts ``before``."""
    return next(
        vm_id
        for vm_id in _ENGINES
        if system.counts(vm_id).get("started", 0) > before[vm_id]
    )


def _started(system):
    return {vm_id: system.counts(vm_id).get("started", 0) for vm_id in _ENGINES}


def _inject_fault(system, name, signal_number):
    """Kill a process, or pause it for longer than ``silence_s``."""
    process = system.process(name)
    process.send(signal_number)
    if signal_number is signal.SIGSTOP:
        loop = asyncio.get_running_loop()
        loop.call_later(_PAUSE_S, process.send, signal.SIGCONT)


def _restore(system, name, signal_number):
    """Resume a paused process, or restart a killed one."""
    if signal_number is signal.SIGSTOP:
        system.process(name).send(signal.SIGCONT)
        return
    system.process(name).wait()
    if name in system.upstream_vms:
        system.start_sidecar(name)
    elif name in system.entries:
        system.start_entry(name)
    else:
        _restart_upstream(system, name.removesuffix("-upstream"))


def _restart_upstream(system, vm_id):
    is_engine = vm_id in _ENGINES
    kind, arguments = ("engine", [_VERSIONS]) if is_engine else ("plain_service", [])
    upstream_url = system.upstream_vms[vm_id].upstream_url
    system.start_stand_in(f"{vm_id}-upstream", kind, upstream_url, *arguments)
    system.wait_for(f"{upstream_url}/counts")


_SIGNALS = [
    pytest.param(signal.SIGKILL, id="killed"),
    pytest.param(signal.SIGSTOP, id="paused"),
]
_ROLES = ["sidecar", "upstream", "entry"]


def _process_name(role, vm_id):
    names = {"sidecar": vm_id, "upstream": f"{vm_id}-upstream", "entry": "entry-0"}
    return names[role]


@pytest.mark.parametrize("signal_number", _SIGNALS)
@pytest.mark.parametrize("role", _ROLES)
async def test_process_fault_during_a_stream(
    system, url, http_session, role, signal_number
):
    """A stream ends complete or with an error, never truncated."""
    before = _started(system)
    faulty = []

    def inject_fault():
        name = _process_name(role, _serving_engine(system, before))
        _inject_fault(system, name, signal_number)
        faulty.append(name)

    # Each case has its own prompt: a prompt that is in flight at two crashes
    # would be quarantined.
    response = await async_stream(
        http_session,
        url,
        tokens=_TOKENS,
        timeout_s=5.0,
        on_first_token=inject_fault,
        prompt=f"How many crates when {role} gets {signal_number}?",
    )
    _restore(system, faulty[0], signal_number)
    check_stream(response)


@pytest.mark.parametrize("signal_number", _SIGNALS)
@pytest.mark.parametrize("role", _ROLES)
async def test_process_fault_during_a_booking(
    system, url, http_session, role, signal_number
):
    """A booking runs at most once, and its response is correct."""
    name = _process_name(role, _BOOKING)
    before = _effects(system)
    # Effects counted by the service process before it was killed: its
    # successor counts from zero.
    effects_before_kill = 0

    def inject_fault():
        nonlocal effects_before_kill
        if name == f"{_BOOKING}-upstream" and signal_number is signal.SIGKILL:
            effects_before_kill = _effects(system) - before
        _inject_fault(system, name, signal_number)

    response = await async_book_with_fault(http_session, url, "b", inject_fault)
    _restore(system, name, signal_number)
    system.wait_until_ready()
    lost_counts = name == f"{_BOOKING}-upstream" and signal_number is signal.SIGKILL
    effects = _effects(system) - (0 if lost_counts else before) + effects_before_kill
    check_booking(response, effects)


_PLATFORM_FAULTS = [
    pytest.param("store_url", {"down": True}, id="store down"),
    pytest.param("store_url", {"delay_s": 1.5}, id="store slow"),
    pytest.param("store_url", {"lose_answer": 5}, id="store responses lost"),
    pytest.param("store_url", {"drop_watches": 5}, id="watches dropped"),
    pytest.param("vm_list_url", {"down": True}, id="VM list down"),
]


@pytest.mark.parametrize(("service", "faults"), _PLATFORM_FAULTS)
async def test_platform_fault(system, url, http_session, service, faults):
    """Model calls succeed without the platform; bookings stay correct."""
    service_url = getattr(system, service)
    before = _effects(system)
    system.set_faults(service_url, **faults)
    try:
        stream = await async_stream(http_session, url)
        booking = await async_book(http_session, url, "b", timeout_s=4.0)
    finally:
        system.set_faults(service_url, **{name: None for name in faults})
    assert stream.is_complete
    check_booking(booking, _effects(system) - before)


@pytest.mark.parametrize(
    "faults",
    [
        pytest.param({"silent_after": 2}, id="silent midway"),
        pytest.param({"silent_after": 0}, id="silent from the start"),
        pytest.param({"short_after": 2}, id="short"),
        pytest.param({"short_after": 0}, id="empty"),
        pytest.param({"crossed": True}, id="crossed"),
        pytest.param({"refuse": True}, id="refused"),
    ],
)
async def test_engine_fault(system, url, http_session, faults):
    """When all engines have a fault, no stream is relayed as complete."""
    for vm_id in _ENGINES:
        system.set_faults(system.upstream_vms[vm_id].upstream_url, **faults)
    try:
        response = await async_stream(http_session, url, timeout_s=5.0)
    finally:
        for vm_id in _ENGINES:
            cleared = {name: None for name in faults}
            system.set_faults(system.upstream_vms[vm_id].upstream_url, **cleared)
    assert not response.is_complete
    check_stream(response)


@pytest.mark.parametrize(
    "fault", ["crash_after_effect", "silent_after_effect", "crossed"]
)
async def test_service_fault_after_the_effect(system, url, http_session, fault):
    """A booking whose response is lost is not reported as not run."""
    before = _effects(system)
    system.set_faults(system.upstream_vms[_BOOKING].upstream_url, **{fault: 1})
    response = await async_book(http_session, url, "b", timeout_s=4.0)
    assert not response.is_complete
    assert not response.says_not_run
    check_booking(response, _effects(system) - before)
