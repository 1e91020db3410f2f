"""Requests inside the limits are served unchanged; the others cost little."""

import asyncio

import pytest

from cardamomnotch_runtime.caller_limits.const import FREE_BYTES

from tests.fixtures.relay_system import API_KEY, HOST
from tests.stand_ins.platform_upstream import plain

_HEAD = f"Host: {HOST}\r\nX-Attempt-Id: one\r\n"
_KEY = f"Authorization: Token {API_KEY}\r\n"
BODY = bytes(range(256)) * 390


async def _async_open(relay, head, data=b""):
    host, _, port = relay.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(head.encode() + data)
    return reader, writer


@pytest.mark.parametrize(
    ("path", "key", "length", "status"),
    [
        ("/nowhere", _KEY, 90_000, 404),
        ("/book/x", "", 90_000, 401),
        ("/book/x", "Authorization: Token no\r\n", 90_000, 401),
        ("/book/x", _KEY, 100_001, 413),
    ],
    ids=["no route", "no key", "unknown key", "too long"],
)
async def test_request_is_refused_by_its_head(relay, path, key, length, status):
    """What can be refused without its body is not held until the body is there."""
    upstream = await relay.async_add_upstream("up", service="bookings")
    length_line = f"Content-Length: {length}\r\n\r\n"
    head = f"POST {path} HTTP/1.1\r\n{_HEAD}{key}{length_line}"
    reader, writer = await _async_open(relay, head)
    async with asyncio.timeout(5):
        received = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    assert received.startswith(f"HTTP/1.1 {status} ".encode())
    assert b"X-Attempt-Id: one" in received
    assert not upstream.seen


@pytest.mark.parametrize("piece", [1_000, 30_000, len(BODY)])
@pytest.mark.parametrize("is_chunked", [True, False], ids=["chunks", "length"])
async def test_body_inside_the_limits_is_forwarded_unchanged(relay, piece, is_chunked):
    """Pauses in reading lose and change no byte, and the connection stays usable."""
    upstream = await relay.async_add_upstream("up", plain(), service="bookings")
    framing = "Transfer-Encoding: chunked" if is_chunked else "Content-Length: 99840"
    head = f"POST /book/x HTTP/1.1\r\n{_HEAD}{_KEY}{framing}\r\n\r\n"
    reader, writer = await _async_open(relay, "")
    for _ in range(3):
        writer.write(head.encode())
        for start in range(0, len(BODY), piece):
            data = BODY[start : start + piece]
            size = f"{len(data):x}\r\n".encode()
            writer.write(size + data + b"\r\n" if is_chunked else data)
            await writer.drain()
        if is_chunked:
            writer.write(b"0\r\n\r\n")
        async with asyncio.timeout(5):
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
            await reader.readexactly(len(b"whole"))
    writer.close()
    assert [seen.body for seen in upstream.seen] == [BODY] * 3
    await relay.async_wait_for(lambda: not relay.entry._guard.budget.connections)
    assert relay.entry._guard.budget.held_bytes == 0


async def test_requests_sent_ahead_are_all_answered(relay):
    """A caller that sends its next requests early, and reads, gets every answer."""
    await relay.async_add_upstream("up", plain(), service="bookings")
    count = 40
    request = f"POST /book/x HTTP/1.1\r\n{_HEAD}{_KEY}Content-Length: 2\r\n\r\nab"
    reader, writer = await _async_open(relay, request * count)
    async with asyncio.timeout(10):
        for _ in range(count):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 ")
            assert await reader.readexactly(5) == b"whole"
    writer.close()


async def test_state_dump_shows_what_is_held(relay):
    """An unfinished body is visible until its connection ends."""
    await relay.async_add_upstream("up", service="bookings")
    length_line = "Content-Length: 99840\r\n\r\n"
    head = f"POST /book/x HTTP/1.1\r\n{_HEAD}{_KEY}{length_line}"
    _, writer = await _async_open(relay, head, BODY[:-1])
    guard = relay.entry._guard
    await relay.async_wait_for(lambda: guard.budget.held_bytes > FREE_BYTES)
    assert guard.diagnostics()["admitted_bytes"] >= len(BODY)
    writer.close()
    await relay.async_wait_for(lambda: not guard.diagnostics()["held_bytes"])
    assert not guard.diagnostics()["admitted_bytes"]


async def test_large_answer_is_sent_unchanged(relay):
    """An answer that is written in slices has its length and every byte."""
    answer_body = BODY * 30
    await relay.async_add_upstream("up", plain(answer_body), service="bookings")
    answer = await relay.async_call("/read/x")
    assert (answer.status, answer.broken) == (200, False)
    assert answer.headers["Content-Length"] == str(len(answer_body))
    assert answer.body == answer_body
