"""Closing of idle caller connections, and requests that arrive meanwhile."""

import asyncio
import socket

import pytest

from cardamomnotch_entry.relay import composition

REQUEST = (
    b"GET /read/x HTTP/1.1\r\nHost: calls.example\r\n"
    b"Authorization: Token key-one\r\nX-Attempt-Id: one\r\n\r\n"
)


@pytest.fixture
async def idle_connection(relay):
    """Yield a connection that has been used for one request."""
    await relay.async_add_upstream("up", service="bookings")
    host, _, port = relay.caller_address.rpartition(":")
    caller = socket.create_connection((host, int(port)))
    caller.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(caller, REQUEST)
    await async_read(caller, until=b"whole")
    yield caller
    caller.close()


async def async_read(caller, until):
    """Return what arrives up to ``until``, or to the end of the connection."""
    received = b""
    async with asyncio.timeout(5):
        while until not in received:
            data = await asyncio.get_running_loop().sock_recv(caller, 65_536)
            if not data:
                break
            received += data
    return received


@pytest.mark.parametrize("sent", [REQUEST, REQUEST[:20]], ids=["whole", "in part"])
async def test_request_that_has_arrived_is_lost_with_an_idle_connection(
    relay, idle_connection, sent
):
    """A connection whose next request has arrived unread is not closed."""
    idle_connection.send(sent)
    relay.entry._close_idle_connections()
    idle_connection.send(REQUEST[len(sent) :])
    assert b"200 OK" in await async_read(idle_connection, until=b"whole")


async def test_idle_connection_is_closed(relay, idle_connection):
    """A connection without a request is closed."""
    relay.entry._close_idle_connections()
    assert await async_read(idle_connection, until=b"never") == b""


async def test_request_is_lost_when_an_entry_stays_unready(
    relay, idle_connection, monkeypatch
):
    """The check that closes idle connections leaves one with a request open."""
    monkeypatch.setattr(composition, "BALANCER_DETECTION_S", 0.0)
    monkeypatch.setattr(type(relay.entry), "is_ready", False)
    await relay.entry._async_close_idle_if_unready()
    idle_connection.send(REQUEST)
    await relay.entry._async_close_idle_if_unready()
    assert b"200 OK" in await async_read(idle_connection, until=b"whole")
