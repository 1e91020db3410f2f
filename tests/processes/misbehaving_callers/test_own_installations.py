"""Entry and sidecar of own installations stay within their bounds, as the relay."""

import asyncio
import resource

import pytest

from tests.fixtures.local_system import INNER_KEYS, ZONES, LocalSystem
from tests.fixtures.misbehaving_callers import (
    KINDS,
    Crowd,
    Target,
    Usage,
    async_is_answered,
    check_bounds,
)

_KEY = "Bearer member-key"
_CALLER_HEADERS = f"Host: entry\r\nAuthorization: {_KEY}\r\n".encode()
_INNER_HEADERS = (
    f"Host: sidecar\r\nX-Cardamomnotch-Inner-Key: {INNER_KEYS[0]}\r\n"
).encode()
# A body inside the limit of 4 MiB, which no setting lowers.
_BODY_BYTES = 3_900_000
# Ready to be listed by entry and sidecar, in seconds.
_START_S = 1.0


def _start_system(directory, *, is_configured):
    system = LocalSystem(directory)
    try:
        system.start_platform()
        system.add_upstream_vm(
            "booking-0", ZONES[0], "plain_service", services=["booking"]
        )
        system.add_entry("entry-0", ZONES[0])
        if is_configured:
            system.activate_configuration()
    except BaseException:
        system.stop()
        raise
    return system


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Yield an entry, a sidecar and a booking service with a configuration."""
    running = _start_system(tmp_path_factory.mktemp("system"), is_configured=True)
    yield running
    running.stop()


@pytest.fixture(scope="module")
def unconfigured_system(tmp_path_factory):
    """Yield the same without a configuration."""
    running = _start_system(tmp_path_factory.mktemp("bare"), is_configured=False)
    yield running
    running.stop()


def _restart(system, name, descriptors):
    """Start a process again with few descriptors; return what it takes at rest."""
    process = system.process(name)
    process.handle.kill()
    process.wait()
    start = system.start_entry if name in system.entries else system.start_sidecar
    process = start(name)
    limits = (descriptors, descriptors)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
    item = {**system.entries, **system.upstream_vms}[name]
    system.wait_for(f"http://{item.admin_address}/healthz")
    return process, item


async def _async_check(system, process, target, kind, is_served):
    usage = Usage(process.pid)
    async with Crowd(target, kind):
        usage.count_descriptors()
        is_serving = await is_served()
        usage.count_descriptors()
        assert process.handle.poll() is None
        check_bounds(usage, kind)
        assert is_serving


async def _async_is_booking_served(system):
    entry, sidecar = system.entries["entry-0"], system.upstream_vms["booking-0"]
    for address in (entry.admin_address, sidecar.admin_address):
        if not await async_is_answered(f"http://{address}/readyz"):
            return False
    url = f"{entry.url}/services/booking/stock"
    return await async_is_answered(url, headers={"Authorization": _KEY})


PLACES = {
    "entry, route": ("entry-0", "caller_address", "/services/booking/reservations"),
    "entry, no route": ("entry-0", "caller_address", "/nowhere"),
    "entry, readiness": ("entry-0", "admin_address", "/readyz"),
    "sidecar, route": ("booking-0", "inner_address", "/inner/v1/attempts"),
    "sidecar, no route": ("booking-0", "inner_address", "/nowhere"),
    "sidecar, readiness": ("booking-0", "admin_address", "/readyz"),
}


@pytest.mark.parametrize("kind", KINDS.values(), ids=KINDS)
@pytest.mark.parametrize("place", PLACES.values(), ids=PLACES)
async def test_crowd(system, place, kind):
    """A crowd at any address of an entry or sidecar ends no process."""
    name, address, path = place
    process, item = _restart(system, name, kind.descriptors)
    system.wait_until_ready()
    await asyncio.sleep(_START_S)
    headers = _CALLER_HEADERS if name in system.entries else _INNER_HEADERS
    target = Target(getattr(item, address), path, headers, _BODY_BYTES)
    await _async_check(
        system, process, target, kind, lambda: _async_is_booking_served(system)
    )


@pytest.mark.parametrize("kind", KINDS.values(), ids=KINDS)
async def test_crowd_before_the_first_configuration(unconfigured_system, kind):
    """A crowd at an entry that has no configuration yet ends no process."""
    system = unconfigured_system
    process, entry = _restart(system, "entry-0", kind.descriptors)

    async def is_served():
        """Return whether an ordinary request is told that the entry is not ready."""
        headers = {"Authorization": _KEY}
        url = f"{entry.url}/v1/models"
        return await async_is_answered(url, expected_status=503, headers=headers)

    await asyncio.sleep(_START_S)
    path = "/services/booking/reservations"
    target = Target(entry.caller_address, path, _CALLER_HEADERS, _BODY_BYTES)
    await _async_check(system, process, target, kind, is_served)
