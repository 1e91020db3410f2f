"""Malformed and oversized requests, and what each gets."""

import asyncio

import pytest

_HEAD = (
    b"Host: calls.example\r\nAuthorization: Token key-one\r\n"
    b"X-Attempt-Id: one\r\nConnection: close\r\n"
)
CASES = {
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
    host, _, port = relay.callers_address.rpartition(":")
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


@pytest.mark.parametrize(("data", "status"), CASES.values(), ids=CASES)
async def test_bad_request_reaches_no_upstream(relay, data, status):
    """The caller hears what was wrong, and nothing runs."""
    upstream = await relay.async_add("up", service="bookings")
    answer = await _async_send(relay, data)
    assert answer.startswith(f"HTTP/1.1 {status} ".encode()) or (
        status == 400 and answer.startswith(b"HTTP/1.0 400 ")
    )
    assert not upstream.seen


async def test_smuggled_request_stays_a_body(relay):
    """A request inside another one's body is that body's bytes."""
    upstream = await relay.async_add("up", service="bookings")
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
