"""Draining: a planned stop cuts no request short."""

import asyncio

import aiohttp
import pytest

from cardamomnotch_core.relay.limits import RelayLimits

from tests.fixtures.relay_system import RelaySystem
from tests.stand_ins.platform_upstream import Send, Wait, plain, stream


@pytest.fixture
async def relay():
    """Yield a relaying entry with a grace time that allows slow responses."""
    system = RelaySystem(RelayLimits(grace_s=1.4))
    await system.async_start()
    yield system
    await system.async_stop()


async def test_idle_connection_is_closed_at_once(relay):
    """An idle connection is closed at SIGTERM, so no request is sent on it."""
    await relay.async_add_upstream("up", service="bookings")
    host, _, port = relay.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"GET /read/x HTTP/1.1\r\nHost: calls.example\r\n"
        b"Authorization: Token key-one\r\nX-Attempt-Id: one\r\n\r\n"
    )
    await reader.readuntil(b"whole")
    stopping = asyncio.create_task(relay.async_stop_entry())
    async with asyncio.timeout(5):
        assert await reader.read() == b""
    assert not stopping.done()
    writer.close()
    await stopping


async def test_request_in_flight_is_finished(relay):
    """A slow response is delivered completely during the stop."""

    def answer_late(request):
        return [Wait(0.4), *plain(b"whole")(request)]

    upstream = await relay.async_add_upstream("up", answer_late, service="bookings")
    call = asyncio.create_task(relay.async_call("/book/x"))
    await relay.async_wait_for(lambda: upstream.seen)
    await relay.async_stop_entry()
    answer = await call
    assert (answer.status, answer.body) == (200, b"whole")
    assert answer.headers["Connection"] == "close"


async def test_new_connection_is_served_until_the_balancer_stops_sending(relay):
    """A connection that the balancer still sends is served."""
    await relay.async_add_upstream("up", service="bookings")
    stopping = asyncio.create_task(relay.async_stop_entry())
    await relay.async_wait_for(lambda: not relay.entry.is_ready)
    answer = await relay.async_call("/book/x")
    assert (answer.status, answer.headers["Connection"]) == (200, "close")
    await stopping
    with pytest.raises(aiohttp.ClientConnectorError):
        await relay.async_call("/book/x")


async def test_readiness_check_fails_at_once(relay):
    """The readiness check fails as soon as the stop begins."""
    ready = f"http://{relay.admin_address}/readyz"
    async with relay.session.get(ready) as response:
        assert response.status == 200
    stopping = asyncio.create_task(relay.async_stop_entry())
    await relay.async_wait_for(lambda: not relay.entry.is_ready)
    async with relay.session.get(ready) as response:
        assert response.status == 503
    await stopping


async def test_stream_longer_than_the_grace_time_is_truncated(relay):
    """A stream cut off by the stop does not look complete."""
    pause = (Wait(3.0), Send(b"0\r\n\r\n"))
    upstream = await relay.async_add_upstream("up", stream(1, 1, then=pause))
    call = asyncio.create_task(relay.async_call("/answer/x"))
    await relay.async_wait_for(lambda: upstream.seen)
    await relay.async_stop_entry()
    assert (await call).broken
