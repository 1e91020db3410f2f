"""Servers of entries and sidecars while their clients read slowly."""

import asyncio

import pytest
from aiohttp import web

from cardamomnotch_runtime.caller_limits.budget import BudgetLimits
from cardamomnotch_runtime.responses import SlicedResponse
from cardamomnotch_runtime.server import HttpServer, bind

from tests.fixtures.slow_reader import SlowReader

BODY = bytes(3_000_000)
LIMITS = BudgetLimits(
    body_bytes=1_000_000, answer_bytes=20_000_000, held_bytes=30_000_000, slots=100
)


async def whole(request):
    """Return a response that the library writes at once."""
    return web.Response(body=BODY)


async def sliced(request):
    """Return a response that is written in slices."""
    return SlicedResponse(body=BODY)


async def streamed(request):
    """Write a response piece by piece."""
    response = web.StreamResponse()
    response.content_length = len(BODY)
    await response.prepare(request)
    for start in range(0, len(BODY), 50_000):
        await response.write(BODY[start : start + 50_000])
    return response


@pytest.fixture
async def server():
    """Yield a server and its address."""
    app = web.Application()
    for handler in (whole, sliced, streamed):
        app.router.add_get(f"/{handler.__name__}", handler)
    bound = bind("127.0.0.1:0", "address")
    server = HttpServer(app, bound, limits=LIMITS)
    await server.async_start()
    yield server, f"127.0.0.1:{bound.getsockname()[1]}"
    await server.async_stop()


async def async_request(address, handler):
    """Return a slow reader whose response has been made."""
    reader = await SlowReader.async_open(address)
    request = f"GET /{handler.__name__} HTTP/1.1\r\nHost: x\r\n\r\n"
    await reader.async_send(request.encode())
    await asyncio.sleep(0.3)
    return reader


@pytest.mark.parametrize("handler", [whole, sliced, streamed])
async def test_response_counts_as_sent_before_it_is_written(server, handler):
    """A server is busy until the kernel has taken the whole response."""
    server, address = server
    reader = await async_request(address, handler)
    assert server.is_busy
    received = await reader.async_read(len(BODY), 3_000_000)
    while not received.endswith(BODY):
        received = await reader.async_read(len(received) + 1, 3_000_000)
    await asyncio.sleep(0.1)
    assert not server.is_busy
    reader.close()


@pytest.mark.parametrize("handler", [whole, sliced, streamed])
async def test_stop_of_a_server_cuts_off_a_response(server, handler):
    """A server that stops sends the responses that it has made."""
    server, address = server
    reader = await async_request(address, handler)
    stopping = asyncio.create_task(server.async_stop())
    received = await reader.async_read(10 * len(BODY), 1_500_000)
    assert received.endswith(BODY)
    await stopping
    reader.close()
