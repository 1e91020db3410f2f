"""Responses without a length that end while their request is still being sent."""

import asyncio
import socket

import aiohttp
import pytest
import uvloop

from cardamomnotch_runtime.upstream_session import create_upstream_session

from tests.fixtures.early_upstream import (
    BROKEN_ENDS,
    PART,
    EarlyUpstream,
    half_close_and_read,
)

# The sender's kernel takes the whole request at once, and the receiver's a part of it.
BODY_BYTES = 150_000
SEND_BUFFER_BYTES = 212_992
RECEIVE_BUFFER_BYTES = 16_384
LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}


def create_socket(address):
    """Return a socket for a connection, with a large send buffer."""
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    return created


async def async_receive(upstream: EarlyUpstream) -> bytes:
    """Return the body of the response to a long request."""
    connector = aiohttp.TCPConnector(force_close=True, socket_factory=create_socket)
    async with create_upstream_session(connector) as session, asyncio.timeout(5):
        url = f"http://{upstream.address}/"
        async with session.post(url, data=bytes(BODY_BYTES)) as response:
            return await response.read()


@pytest.fixture(params=LOOPS.values(), ids=LOOPS)
def loop(request):
    """Yield an event loop of each supported kind."""
    loop = request.param()
    yield loop
    loop.close()


@pytest.mark.parametrize("end", BROKEN_ENDS, ids=lambda end: end.__name__)
def test_response_that_is_reset_during_the_upload_is_complete(loop, end):
    """A part of a response is no complete one, also if its end came first."""
    upstream = EarlyUpstream(end, RECEIVE_BUFFER_BYTES)
    with pytest.raises(aiohttp.ClientError):
        loop.run_until_complete(async_receive(upstream))
    upstream.stop()


def test_response_that_ends_before_its_request_is_lost(loop):
    """An upstream that has ended its response may read the request to its end."""
    upstream = EarlyUpstream(half_close_and_read, RECEIVE_BUFFER_BYTES)
    assert loop.run_until_complete(async_receive(upstream)) == PART
    upstream.stop()
