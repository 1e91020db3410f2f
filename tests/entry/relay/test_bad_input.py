"""Responses to malformed, oversized and slow requests."""

import asyncio
import gzip

import pytest

from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_entry.relay.caller_connection import CallerConnection

from tests.fixtures.relay_system import RelaySystem
from tests.stand_ins.platform_upstream import Wait, plain

_HEAD = (
    b"Host: calls.example\r\nAuthorization: Token key-one\r\n"
    b"X-Attempt-Id: one\r\nConnection: close\r\n"
)
BAD_REQUESTS = {
    "both lengths": (
        b"POST /book/x HTTP/1.1\r\n"
        + _HEAD
        + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "two lengths": (
        b"POST /book/x HTTP/1.1\r\n"
        + _HEAD
        + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
        400,
    ),
    "bad chunk size": (
        b"POST /book/x HTTP/1.1\r\n"
        + _HEAD
        + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        400,
    ),
    "space before the colon": (
        b"POST /book/x HTTP/1.1\r\n" + _HEAD + b"Content-Length : 0\r\n\r\n",
        400,
    ),
    "no colon": (b"POST /book/x HTTP/1.1\r\n" + _HEAD + b"nonsense\r\n\r\n", 400),
    "large header": (
        b"GET /read/x HTTP/1.1\r\n"
        + _HEAD
        + b"X-Large: "
        + b"a" * 40_000
        + b"\r\n\r\n",
        400,
    ),
    "large body": (
        b"POST /book/x HTTP/1.1\r\n"
        + _HEAD
        + b"Content-Length: 100001\r\n\r\n"
        + b"a" * 100_001,
        413,
    ),
    "unknown host": (
        b"GET /read/x HTTP/1.1\r\n"
        + _HEAD.replace(b"calls.example", b"other.example")
        + b"\r\n",
        404,
    ),
    "unknown key": (
        b"GET /read/x HTTP/1.1\r\n" + _HEAD.replace(b"key-one", b"key-no") + b"\r\n",
        401,
    ),
    "deadline is no number": (
        b"GET /read/x HTTP/1.1\r\n" + _HEAD + b"X-Deadline-Ms: soon\r\n\r\n",
        400,
    ),
    "not HTTP": (b"\x16\x03\x01\x00\xff\r\n\r\n", 400),
}


async def _async_send(relay, data: bytes) -> bytes:
    host, _, port = relay.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    received = b""
    try:
        async with asyncio.timeout(5):
            received = await reader.read()
    except ConnectionError:
        pass
    writer.close()
    return received


@pytest.mark.parametrize(("data", "status"), BAD_REQUESTS.values(), ids=BAD_REQUESTS)
async def test_bad_request_reaches_no_upstream(relay, data, status):
    """The caller gets the matching error status, and no upstream is called."""
    upstream = await relay.async_add_upstream("up", service="bookings")
    answer = await _async_send(relay, data)
    assert answer.startswith(f"HTTP/1.1 {status} ".encode()) or (
        status == 400 and answer.startswith(b"HTTP/1.0 400 ")
    )
    assert not upstream.seen


async def test_smuggled_request_stays_a_body(relay):
    """A request inside another one's body is forwarded as body bytes."""
    upstream = await relay.async_add_upstream("up", service="bookings")
    inner = b"POST /book/inner HTTP/1.1\r\nHost: calls.example\r\n\r\n"
    size = str(len(inner)).encode()
    data = (
        b"POST /book/outer HTTP/1.1\r\n"
        + _HEAD
        + b"Content-Length: "
        + size
        + b"\r\n\r\n"
        + inner
    )
    await _async_send(relay, data)
    (seen,) = upstream.seen
    assert (seen.target, seen.body) == ("/book/outer", inner)


@pytest.fixture
async def short_timeout_relay():
    """Yield an entry with short time limits for receiving requests."""
    system = RelaySystem(RelayLimits(grace_s=1.05))
    times = {"header_timeout_ms": 300, "idle_timeout_ms": 300}
    await system.async_start(limits={"max_body_bytes": 100_000, **times})
    yield system
    await system.async_stop()


_BODY_LENGTH = b"Content-Length: 5\r\n\r\n"
SLOW_REQUESTS = {
    "head that stops": b"GET /read/x HTTP/1.1\r\n" + _HEAD,
    "first byte only": b"G",
    "body that stops": b"POST /book/x HTTP/1.1\r\n" + _HEAD + _BODY_LENGTH + b"ab",
}


@pytest.mark.parametrize("data", SLOW_REQUESTS.values(), ids=SLOW_REQUESTS)
async def test_slow_request_is_refused(short_timeout_relay, data):
    """A request that is not sent completely in time gets a 408."""
    upstream = await short_timeout_relay.async_add_upstream("up", service="bookings")
    answer = await _async_send(short_timeout_relay, data)
    assert answer.startswith(b"HTTP/1.1 408 ")
    assert not upstream.seen


async def test_trickled_head_is_refused(short_timeout_relay):
    """Single bytes do not extend the time limit of a request head."""
    host, _, port = short_timeout_relay.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    async with asyncio.timeout(5):
        while not reader.at_eof():
            writer.write(b"a")
            try:
                async with asyncio.timeout(0.05):
                    if (await reader.read()).startswith(b"HTTP/1.1 408 "):
                        break
            except TimeoutError:
                continue
    writer.close()


async def test_connection_without_a_request_is_closed(short_timeout_relay):
    """A connection that sends nothing is closed without a response."""
    assert await _async_send(short_timeout_relay, b"") == b""


def _answer_late(request):
    return [Wait(0.8), *plain(b"late")(request)]


async def test_slow_response_is_not_cut_off(short_timeout_relay):
    """The limits apply to receiving a request, not to the response time."""
    await short_timeout_relay.async_add_upstream("up", _answer_late, service="bookings")
    answer = await short_timeout_relay.async_call("/read/x")
    assert (answer.status, answer.body) == (200, b"late")


async def test_rest_of_a_refused_body_gets_no_response(short_timeout_relay):
    """Late bytes of a refused body are not parsed as another request."""
    host, _, port = short_timeout_relay.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    head = _HEAD.replace(b"Connection: close\r\n", b"")
    length = b"Content-Length: 100100\r\n\r\n"
    writer.write(b"POST /book/x HTTP/1.1\r\n" + head + length + b"a" * 100_001)
    async with asyncio.timeout(5):
        received = await reader.readuntil(b"\r\n\r\n")
        assert received.startswith(b"HTTP/1.1 413 ")
        assert b"Connection: close" in received
        writer.write(b"a" * 99)
        rest = await reader.read()
    assert b"HTTP/1.1" not in rest
    writer.close()


async def test_body_of_small_chunks_does_not_start_the_parser_for_each(
    relay, monkeypatch
):
    """A body in chunks of one byte is parsed as it arrives, not chunk by chunk."""
    upstream = await relay.async_add_upstream("up", plain(), service="bookings")
    calls = []
    data_received = CallerConnection.data_received

    def counted(connection, data):
        calls.append(len(data))
        data_received(connection, data)

    monkeypatch.setattr(CallerConnection, "data_received", counted)
    size = 20_000
    request = (
        b"POST /book/x HTTP/1.1\r\n"
        + _HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"1\r\nx\r\n" * size
        + b"0\r\n\r\n"
    )
    answer = await _async_send(relay, request)
    assert answer.startswith(b"HTTP/1.1 200")
    assert upstream.seen[0].body == b"x" * size
    assert len(calls) < size / 100


@pytest.mark.parametrize("encoding", ["gzip", "deflate", "br", "unknown"])
async def test_encoded_body_is_not_decoded(relay, encoding):
    """A body with a content encoding reaches the upstream as it was sent."""
    upstream = await relay.async_add_upstream("up", plain(), service="bookings")
    body = gzip.compress(b"a batch " * 20)
    headers = f"Content-Encoding: {encoding}\r\nContent-Length: {len(body)}\r\n\r\n"
    answer = await _async_send(
        relay, b"POST /book/x HTTP/1.1\r\n" + _HEAD + headers.encode() + body
    )
    assert answer.startswith(b"HTTP/1.1 200")
    (seen,) = upstream.seen
    assert (seen.body, seen.headers["content-encoding"]) == (body, encoding)
