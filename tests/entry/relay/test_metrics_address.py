"""The optional address that serves only metrics."""

import socket

import pytest

from cardamomnotch_core.relay.limits import RelayLimits

from tests.fixtures.local_system import free_port
from tests.fixtures.relay_system import RelaySystem


@pytest.fixture
async def start():
    """Return a function that starts an entry with a metrics address."""
    systems = []

    async def async_start(address):
        system = RelaySystem(RelayLimits(grace_s=1.05), metrics_address=address)
        systems.append(system)
        await system.async_start()
        return system

    yield async_start
    for system in systems:
        await system.async_stop()


async def test_metrics_address_serves_only_metrics(start):
    """The metrics address does not serve the state dump."""
    address = f"127.0.0.1:{free_port()}"
    system = await start(address)
    async with system.session.get(f"http://{address}/metrics") as response:
        assert response.status == 200
        assert "relay_" in await response.text()
    async with system.session.get(f"http://{address}/state") as response:
        assert response.status == 404


async def test_entry_starts_when_the_metrics_address_is_in_use(start, caplog):
    """An entry whose metrics address is in use still becomes ready."""
    with socket.create_server(("127.0.0.1", 0)) as other:
        address = f"127.0.0.1:{other.getsockname()[1]}"
        system = await start(address)
        assert system.entry.is_ready
    assert "metrics address unavailable" in caplog.text
