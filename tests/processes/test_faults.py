"""Faults of real processes: what the caller is told agrees with what ran."""

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
    """Return one entry before two engines and a booking service."""
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
    """Return the entry's URL, with everything ready and paced for faults."""
    system.wait_until_ready()
    for vm_id in _ENGINES:
        system.set_faults(system.upstream_vms[vm_id].upstream_url, token_s=_TOKEN_S)
    service_url = system.upstream_vms[_BOOKING].upstream_url
    system.set_faults(service_url, delay_s=_BOOKING_DELAY_S)
    return system.entries["entry-0"].url


def _effects(system):
    return system.counts(_BOOKING).get("effects", 0)


def _serving_engine(system, before):
    """Return the engine that has started a call since ``before``."""
    return next(
        vm_id
        for vm_id in _ENGINES
        if system.counts(vm_id).get("started", 0) > before[vm_id]
    )


def _started(system):
    return {vm_id: system.counts(vm_id).get("started", 0) for vm_id in _ENGINES}


def _strike(system, name, number):
    """Kill a process, or pause it for longer than a silence is borne."""
    process = system.process(name)
    process.send(number)
    if number is signal.SIGSTOP:
        loop = asyncio.get_running_loop()
        loop.call_later(_PAUSE_S, process.send, signal.SIGCONT)


def _restore(system, name, number):
    """Wake a paused process, or start a killed one again."""
    if number is signal.SIGSTOP:
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


@pytest.mark.parametrize("number", _SIGNALS)
@pytest.mark.parametrize("role", _ROLES)
async def test_model_call_struck_midway(system, url, http_session, role, number):
    """A stream whose path is struck ends whole or with an error, never short."""
    before = _started(system)
    struck = []

    def strike():
        name = _process_name(role, _serving_engine(system, before))
        _strike(system, name, number)
        struck.append(name)

    # A text of its own: one text in flight at two crashes ends in quarantine.
    answer = await async_stream(
        http_session,
        url,
        tokens=_TOKENS,
        timeout_s=5.0,
        on_first_token=strike,
        prompt=f"How many crates when {role} gets {number}?",
    )
    _restore(system, struck[0], number)
    check_stream(answer)


@pytest.mark.parametrize("number", _SIGNALS)
@pytest.mark.parametrize("role", _ROLES)
async def test_booking_struck_midway(system, url, http_session, role, number):
    """A booking whose path is struck runs at most once, and is told truthfully."""
    name = _process_name(role, _BOOKING)
    before = _effects(system)
    seen_by_killed = 0

    def strike():
        nonlocal seen_by_killed
        if name == f"{_BOOKING}-upstream" and number is signal.SIGKILL:
            seen_by_killed = _effects(system) - before
        _strike(system, name, number)

    answer = await async_book_with_fault(http_session, url, "b", strike)
    _restore(system, name, number)
    system.wait_until_ready()
    lost_counts = name == f"{_BOOKING}-upstream" and number is signal.SIGKILL
    effects = _effects(system) - (0 if lost_counts else before) + seen_by_killed
    check_booking(answer, effects)


_PLATFORM_FAULTS = [
    pytest.param("store_url", {"down": True}, id="store down"),
    pytest.param("store_url", {"delay_s": 1.5}, id="store slow"),
    pytest.param("store_url", {"lose_answer": 5}, id="store answers lost"),
    pytest.param("store_url", {"drop_watches": 5}, id="watches dropped"),
    pytest.param("vm_list_url", {"down": True}, id="VM list down"),
]


@pytest.mark.parametrize(("service", "faults"), _PLATFORM_FAULTS)
async def test_platform_fault(system, url, http_session, service, faults):
    """Model calls outlast the platform; bookings are truthful meanwhile."""
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
    """Engines that all fail the same way never make a short answer look whole."""
    for vm_id in _ENGINES:
        system.set_faults(system.upstream_vms[vm_id].upstream_url, **faults)
    try:
        answer = await async_stream(http_session, url, timeout_s=5.0)
    finally:
        for vm_id in _ENGINES:
            cleared = {name: None for name in faults}
            system.set_faults(system.upstream_vms[vm_id].upstream_url, **cleared)
    assert not answer.is_complete
    check_stream(answer)


@pytest.mark.parametrize(
    "fault", ["crash_after_effect", "silent_after_effect", "crossed"]
)
async def test_service_fault_after_the_effect(system, url, http_session, fault):
    """A booking with its answer lost has run once, and is not told "not run"."""
    before = _effects(system)
    system.set_faults(system.upstream_vms[_BOOKING].upstream_url, **{fault: 1})
    answer = await async_book(http_session, url, "b", timeout_s=4.0)
    assert not answer.is_complete
    assert not answer.says_not_run
    check_booking(answer, _effects(system) - before)
