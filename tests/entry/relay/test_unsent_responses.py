"""Responses that are made, but not sent yet, since their callers read slowly."""

import asyncio
import time

import pytest

from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_entry.relay import composition

from tests.fixtures.relay_system import API_KEY, HOST, RelaySystem, document
from tests.fixtures.slow_reader import SlowReader
from tests.stand_ins.platform_upstream import LAST_CHUNK, Send, chunk, head, plain

GRACE_S = 6.0
HEADER_TIMEOUT_S = 0.4
BODY = bytes(3_000_000)
EVENTS = b"".join(
    chunk(f"id: {number}\ndata: {'x' * 60_000}\n\n".encode()) for number in range(50)
)
READ_BYTES_PER_S = 1_500_000
PATHS = {"whole": "/read/x", "stream": "/draft/x"}


def stream_events(request):
    """Respond with a stream of large events, as fast as it is read."""
    return [
        Send(head(request, Transfer_Encoding="chunked")),
        Send(EVENTS),
        Send(LAST_CHUNK),
    ]


def request_to(path):
    """Return a request."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {API_KEY}\r\n"
        f"X-Attempt-Id: one\r\n\r\n"
    ).encode()


@pytest.fixture
async def relay():
    """Yield a relaying entry with two upstreams that send large answers."""
    limits = document()["limits"]
    limits["header_timeout_ms"] = HEADER_TIMEOUT_S * 1_000
    system = RelaySystem(RelayLimits(grace_s=GRACE_S, retry_slack=1_000.0))
    await system.async_start(limits=limits)
    await system.async_add_upstream("desk", plain(BODY), service="bookings")
    await system.async_add_upstream("drafts", stream_events)
    yield system
    await system.async_stop()


@pytest.fixture
async def reader(relay):
    """Yield a connection of a caller that reads slowly."""
    reader = await SlowReader.async_open(relay.caller_address)
    yield reader
    reader.close()


async def async_request(relay, reader, path):
    """Send a request, and wait until its response has been made."""
    await reader.async_send(request_to(path))
    await relay.async_wait_for(
        lambda: any(upstream.seen for upstream in relay.upstreams.values())
    )
    await asyncio.sleep(0.3)


def is_whole(received, path):
    """Return whether a response has arrived as a whole, and nothing else."""
    body = received.partition(b"\r\n\r\n")[2]
    return body in (BODY, EVENTS + LAST_CHUNK) or (
        path == PATHS["stream"] and body.endswith(LAST_CHUNK) and len(body) > 3_000_000
    )


@pytest.mark.parametrize("path", PATHS.values(), ids=PATHS)
async def test_stop_cuts_off_a_response_that_is_read_slowly(relay, reader, path):
    """An entry that stops sends the responses that it has made."""
    await async_request(relay, reader, path)
    stopping = asyncio.create_task(relay.async_stop_entry())
    received = await reader.async_read(10 * len(BODY), READ_BYTES_PER_S)
    assert is_whole(received, path)
    await stopping


@pytest.mark.parametrize("path", PATHS.values(), ids=PATHS)
async def test_loss_of_readiness_cuts_off_a_response(relay, reader, path, monkeypatch):
    """A connection whose response has not been sent is no idle one."""
    await async_request(relay, reader, path)
    monkeypatch.setattr(composition, "BALANCER_DETECTION_S", 0.0)
    monkeypatch.setattr(type(relay.entry), "is_ready", False)
    for _ in range(2):
        await relay.entry._async_close_idle_if_unready()
    received = await reader.async_read(10 * len(BODY), READ_BYTES_PER_S)
    assert is_whole(received, path)


@pytest.mark.parametrize("path", PATHS.values(), ids=PATHS)
async def test_time_limit_of_the_next_head_cuts_off_a_response(relay, reader, path):
    """A caller that has sent a part of its next request gets its response first."""
    await async_request(relay, reader, path)
    await reader.async_send(request_to(path)[:20])
    received = await reader.async_read(10 * len(BODY), READ_BYTES_PER_S)
    answer, status_line, _ = received.partition(b"HTTP/1.1 408 ")
    assert is_whole(answer, path)
    assert status_line


async def test_caller_that_never_reads_delays_the_stop(relay, reader):
    """The entry stops within its grace time, whatever is left to send."""
    await async_request(relay, reader, PATHS["whole"])
    began_s = time.monotonic()
    await relay.async_stop_entry()
    assert time.monotonic() - began_s < GRACE_S


async def test_unsent_response_counts_as_idle_memory(relay, reader):
    """The room for an answer is released once it has been sent."""
    await async_request(relay, reader, PATHS["whole"])
    budget = relay.entry._guard.budget
    assert budget.answer_bytes >= len(BODY)
    await reader.async_read(len(BODY), 10 * READ_BYTES_PER_S)
    await relay.async_wait_for(lambda: not budget.answer_bytes)
    assert not relay.entry._guard.busy_connections


@pytest.mark.parametrize("path", PATHS.values(), ids=PATHS)
async def test_requests_sent_ahead_reset_the_connection_of_a_stop(relay, reader, path):
    """A connection that closes with requests unread sends its response first."""
    await async_request(relay, reader, path)
    await reader.async_send(request_to(path) * 300)
    stopping = asyncio.create_task(relay.async_stop_entry())
    received = await reader.async_read(10 * len(BODY), READ_BYTES_PER_S)
    answers = received.split(b"HTTP/1.1 200 OK")[1:]
    assert [is_whole(answer, path) for answer in answers] == [True] * len(answers)
    assert 1 <= len(answers) < 300
    await stopping
