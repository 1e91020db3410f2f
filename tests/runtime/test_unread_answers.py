"""Callers that send requests ahead and read the answers late, or never."""

import asyncio
import socket

import pytest
from aiohttp import web

from cardamomnotch_runtime.caller_limits import connection
from cardamomnotch_runtime.caller_limits.budget import BudgetLimits
from cardamomnotch_runtime.server import HttpServer, bind

REQUESTS = 3_000
RECEIVE_BUFFER_BYTES = 4_096
# An answer has 150 bytes at least; both kernels hold some 20,000 bytes of answers.
MAX_UNREAD_ANSWERS = 400
LIMITS = BudgetLimits(
    body_bytes=1_000_000, answer_bytes=20_000_000, held_bytes=30_000_000, slots=100
)


@pytest.fixture
def served():
    """Return the paths of the requests that were handled, in order."""
    return []


@pytest.fixture
async def address(served):
    """Yield the address of a server with short answers."""

    async def handle(request):
        served.append(request.path)
        return web.Response(text=request.path)

    app = web.Application()
    app.router.add_get("/{path:.*}", handle)
    bound = bind("127.0.0.1:0", "address")
    server = HttpServer(app, bound, limits=LIMITS)
    await server.async_start()
    yield bound.getsockname()
    await server.async_stop()


@pytest.fixture
async def client(address):
    """Yield a connection whose receiver has little room."""
    client = socket.socket()
    client.setblocking(False)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    await asyncio.get_running_loop().sock_connect(client, address)
    yield client
    client.close()


def send_ahead(client):
    """Return a task that sends all requests."""
    requests = b"".join(
        f"GET /{number} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
        for number in range(REQUESTS)
    )
    loop = asyncio.get_running_loop()
    return asyncio.create_task(loop.sock_sendall(client, requests))


async def test_requests_are_served_though_no_answer_is_read(client, served):
    """The requests of a caller that reads nothing wait, and use no processor time."""
    sending = send_ahead(client)
    await asyncio.sleep(2.0)
    assert 0 < len(served) < MAX_UNREAD_ANSWERS
    before = len(served)
    await asyncio.sleep(0.5)
    assert len(served) == before
    sending.cancel()


async def test_requests_sent_ahead_are_lost_by_a_slow_reader(client, served):
    """A caller that reads on gets the answers to all of its requests, in order."""
    sending = send_ahead(client)
    await asyncio.sleep(0.5)
    loop = asyncio.get_running_loop()
    received = b""
    async with asyncio.timeout(20):
        while received.count(b"HTTP/1.1 200") < REQUESTS:
            received += await loop.sock_recv(client, 65_536)
    await sending
    assert served == [f"/{number}" for number in range(REQUESTS)]


async def test_connection_that_is_not_read_stays_open(client, served, monkeypatch):
    """A caller that reads nothing is disconnected, and its requests are not served."""
    monkeypatch.setattr(connection, "UNREAD_TIMEOUT_S", 0.5)
    sending = send_ahead(client)
    loop = asyncio.get_running_loop()
    await asyncio.sleep(2.0)
    with pytest.raises(ConnectionError):
        async with asyncio.timeout(3):
            while await loop.sock_recv(client, 65_536):
                pass
    sending.cancel()
    assert len(served) < MAX_UNREAD_ANSWERS


async def test_body_of_a_tunnel_is_run_as_a_request(address, served):
    """What follows a CONNECT is dropped, and the connection closed."""
    reader, writer = await asyncio.open_connection(*address)
    inner = b"GET /inner HTTP/1.1\r\nHost: x\r\n\r\n"
    head = f"CONNECT x:80 HTTP/1.1\r\nHost: x\r\nContent-Length: {len(inner)}\r\n\r\n"
    writer.write(head.encode() + inner)
    async with asyncio.timeout(5):
        received = await reader.read()
    writer.close()
    assert received.startswith(b"HTTP/1.1 4")
    assert received.count(b"HTTP/1.1 ") == 1
    assert not served
