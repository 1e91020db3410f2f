"""Values of callers beyond what the code expects: counts, ids and deadlines."""

import asyncio

import orjson
import pytest

from cardamomnotch_protocol.result_codes import ResultCode

from tests.fixtures.relay_system import API_KEY, HOST
from tests.stand_ins.platform_upstream import Wait, plain, stream

COUNTS = {
    "over 64 bits": str(2**65),
    "64 bits": str(2**64 - 1),
    "hundreds of digits": "9" * 400,
    "thousands of digits": "9" * 5_000,
    "superscript": "\u00b2",
    "sign": "-5",
    "fraction": "1.5",
    "no text": "\xff\xfe",
}
HEADERS = {
    "token counts": "X-Token-Counts: {0},{0}",
    "prompt parts": "X-Prefix-Hash: aa:{0},bb:{0},cc:1",
    "length hint": "X-Length-Hint: {0}",
    "session": "Session: {0}",
    "part ids": "X-Prefix-Hash: {0}:100,{0}b:100,cc:1",
    "last event": "Last-Event-ID: {0}",
    "any header": "X-Any: {0}",
}


def slow_stream(request):
    """Answer after a while, so that notices are sent meanwhile."""
    return [Wait(0.05), *stream(1, 2)(request)]


async def async_send(relay, path, *headers):
    """Send a request with these header lines; return the response's first bytes."""
    lines = [f"GET {path} HTTP/1.1", f"Host: {HOST}", f"Authorization: Token {API_KEY}"]
    lines += ["X-Attempt-Id: one", "Connection: close", *headers]
    host, _, port = relay.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
    async with asyncio.timeout(5):
        received = await reader.read()
    writer.close()
    return received


@pytest.mark.parametrize("path", ["/read/x", "/draft/x"])
@pytest.mark.parametrize("header", HEADERS.values(), ids=HEADERS)
async def test_odd_value_fails_the_request(relay, path, header, caplog):
    """The request is served once, nothing counts it later, and notices are sent."""
    other = await relay.async_add_entry("entry-a-2")
    book = await relay.async_add_upstream("book", plain(), service="bookings")
    draft = await relay.async_add_upstream("draft", slow_stream)
    await other.async_wait_for(lambda: len(other.entry.node.fleet) == 2)
    for value in COUNTS.values():
        received = await async_send(relay, path, header.format(value))
        assert received.startswith(b"HTTP/1.1 200 "), value
    # A port may still be known to a process of another run of the tests.
    seen = [
        request
        for request in (*book.seen, *draft.seen)
        if request.headers.get("x-attempt-id") == "one"
    ]
    assert len(seen) == len(COUNTS)
    assert not any(state.in_flight for state in relay.entry.node.fleet)
    assert not relay.entry.node.attempts._local_attempts
    await other.async_wait_for(
        lambda: not any(state.remote_in_flight for state in other.entry.node.fleet)
    )
    assert not [record for record in caplog.records if record.exc_info]
    await other.async_leave()


async def test_passed_deadline_is_reported_as_a_crash(relay):
    """A request without time is refused for that, and not as a crashing one."""
    await relay.async_add_upstream("book", plain(), service="bookings")
    received = await async_send(relay, "/read/x", "X-Deadline-Ms: 0")
    body = received.partition(b"\r\n\r\n")[2]
    assert orjson.loads(body)["error"]["code"] == ResultCode.NO_UPSTREAM
