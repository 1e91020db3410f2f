"""Requests with odd framing: an upstream gets what one caller sent in one request."""

import asyncio
import re

import pytest

from tests.fixtures.relay_system import API_KEY, HOST

_KEY = f"Authorization: Token {API_KEY}"
# A whole request, sent as a body.
INNER = (
    f"GET /read/inner HTTP/1.1\r\nHost: {HOST}\r\n{_KEY}\r\n"
    "X-Attempt-Id: inner\r\nContent-Length: 0\r\n\r\n"
)
_SIZE = len(INNER)
_LENGTH = f"Content-Length: {_SIZE}"
_CHUNKED = "Transfer-Encoding: chunked"
_STATUS_LINE = rb"HTTP/1\.[01] (\d{3}) [A-Z]"
_CHUNKS = f"{_SIZE:x}\r\n{INNER}\r\n0\r\n\r\n"


def request(method, target, *headers, body=INNER, version="1.1"):
    """Return a request."""
    lines = [f"{method} {target} HTTP/{version}", f"Host: {HOST}", _KEY]
    lines += ["X-Attempt-Id: outer", *headers]
    return "\r\n".join(lines) + "\r\n\r\n" + body


def post(*headers, body=INNER, version="1.1"):
    """Return a request with a body."""
    return request("POST", "/read/x", *headers, body=body, version=version)


def upgrade(protocol, *headers, body=INNER):
    """Return a request that asks for another protocol."""
    fields = "Connection: Upgrade", f"Upgrade: {protocol}"
    return request("GET", "/read/x", *fields, *headers, body=body)


REFUSED = {
    "connect": request("CONNECT", f"{HOST}:80", _LENGTH),
    "connect to a path": request("CONNECT", "/read/x", _LENGTH),
    "connect without a length": request("CONNECT", f"{HOST}:80"),
    "connect with chunks": request("CONNECT", f"{HOST}:80", _CHUNKED, body=_CHUNKS),
    "unknown method": request("FOO", "/read/x", _LENGTH),
    "method in small letters": request("get", "/read/x", _LENGTH),
    "HTTP/2 preface": f"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n{INNER}",
    "HTTP/0.9": f"GET /read/x\r\n\r\n{INNER}",
    "HTTP/1.2": post(_LENGTH, version="1.2"),
    "chunks in HTTP/1.0": post(_CHUNKED, body=f"0\r\n\r\n{INNER}", version="1.0"),
    "length and chunks": post("Content-Length: 4", _CHUNKED, body="0\r\n\r\n" + INNER),
    "length and unknown coding": post(_LENGTH, "Transfer-Encoding: xchunked"),
    "length and identity": post(_LENGTH, "Transfer-Encoding: identity"),
    "identity after chunks": post("Transfer-Encoding: chunked, identity", body=_CHUNKS),
    "two codings": post(_CHUNKED, "Transfer-Encoding: identity", body=_CHUNKS),
    "compressed chunks": post("Transfer-Encoding: gzip, chunked", body=_CHUNKS),
    "two lengths": post(_LENGTH, "Content-Length: 0"),
    "list of lengths": post(f"Content-Length: {_SIZE}, {_SIZE}"),
    "length with a sign": post(f"Content-Length: +{_SIZE}"),
    "negative length": post("Content-Length: -1"),
    "length over 64 bits": post(f"Content-Length: {2**64 + _SIZE}"),
    "space after a name": post(f"Content-Length : {_SIZE}"),
    "folded line": post("X-A: b\r\n Content-Length: 5"),
    "lines without CR": post(_LENGTH).replace("\r\n", "\n"),
    "CR in a value": post(f"X-A: a\rContent-Length: {_SIZE}"),
    "NUL in a value": post("X-A: a\0b", _LENGTH),
    "two hosts": post("Host: other.example", _LENGTH),
    "negative chunk": post(_CHUNKED, body=f"-1\r\n{INNER}"),
    "chunk size with a prefix": post(_CHUNKED, body=f"0x0\r\n\r\n{INNER}"),
    "chunk over 64 bits": post(_CHUNKED, body=f"1{'0' * 16}\r\n{INNER}"),
    "chunk longer than its size": post(_CHUNKED, body=f"1\r\nab\r\n0\r\n\r\n{INNER}"),
    "length in a trailer": post(_CHUNKED, body="0\r\nContent-Length: 9\r\n\r\n"),
}

FORWARDED = {
    "body of a GET": request("GET", "/read/x", _LENGTH),
    "websocket": upgrade("websocket", _LENGTH),
    "HTTP/2 upgrade": upgrade("h2c", "HTTP2-Settings: AAMAAABk", _LENGTH),
    "upgrade with chunks": upgrade("foo", _CHUNKED, body=_CHUNKS),
    "chunk extension": post(_CHUNKED, body=f"{_SIZE:x};a=b\r\n{INNER}\r\n0\r\n\r\n"),
    "length named by Connection": post("Connection: content-length", _LENGTH),
    "chunks named by Connection": post(
        "Connection: transfer-encoding", _CHUNKED, body=_CHUNKS
    ),
    "unknown expectation": post("Expect: 200-foo", _LENGTH),
}


@pytest.fixture
async def upstream(relay):
    """Return an upstream of the routes."""
    return await relay.async_add_upstream("up", service="bookings")


async def async_send(relay, data, timeout_s):
    """Send all bytes; return what arrives until nothing has for a while."""
    host, _, port = relay.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data.encode("latin-1"))
    received = b""
    try:
        while not reader.at_eof():
            async with asyncio.timeout(timeout_s):
                received += await reader.read(65_536)
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    return received, reader.at_eof()


@pytest.mark.parametrize("data", REFUSED.values(), ids=REFUSED)
async def test_part_of_a_refused_request_is_run(relay, upstream, data):
    """The request is refused once, and nothing that follows it is run."""
    received, is_closed = await async_send(relay, data, timeout_s=2.0)
    assert re.findall(_STATUS_LINE, received) == [b"400"]
    assert is_closed
    assert not upstream.seen


@pytest.mark.parametrize("data", FORWARDED.values(), ids=FORWARDED)
async def test_body_is_run_as_a_request(relay, upstream, data):
    """The upstream gets one request, with the body that the caller sent."""
    received, _ = await async_send(relay, data, timeout_s=0.3)
    assert re.findall(_STATUS_LINE, received) == [b"200"]
    assert [seen.body for seen in upstream.seen] == [INNER.encode()]
    assert upstream.seen[0].headers["x-attempt-id"] == "outer"


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
async def test_body_of_a_tunnel_arrives_late(relay, upstream, pause_s):
    """What follows a CONNECT is dropped, however it is cut."""
    data = request("CONNECT", f"{HOST}:80", _LENGTH).encode()
    host, _, port = relay.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for start in range(0, len(data), 40):
        writer.write(data[start : start + 40])
        await asyncio.sleep(pause_s)
    async with asyncio.timeout(5):
        received = await reader.read()
    writer.close()
    assert re.findall(_STATUS_LINE, received) == [b"400"]
    assert b"X-Attempt-Id: outer" in received
    assert not upstream.seen
