"""Requests of legal size with thousands of prompt parts, or with long names."""

import asyncio
import gc
import time
import tracemalloc
from collections.abc import AsyncIterator

import pytest

from cardamomnotch_core.relay.const import MAX_KEY_CHARS, MAX_PROMPT_PARTS
from cardamomnotch_core.relay.crashes.const import MAX_HELD_SUSPECTS
from cardamomnotch_entry.relay.const import MAX_NOTICES_PER_DATAGRAM
from cardamomnotch_entry.relay.peer_messages import encode_notices
from cardamomnotch_protocol.result_codes import ResultCode

from tests.fixtures.relay_system import API_KEY, HOST, RelaySystem
from tests.stand_ins.platform_upstream import (
    LAST_CHUNK,
    Crash,
    Send,
    Wait,
    chunk,
    event,
    head,
    plain,
)

# As many as fit into a head of 16,384 bytes.
MANY_PARTS = 2_290
# Largest payload of a datagram.
MAX_DATAGRAM_BYTES = 65_507
# What an entry's tables may take for callers, in bytes.
MAX_TABLE_BYTES = 30_000_000
# Processor time for which an ordinary request may wait, in seconds.
MAX_PROCESSOR_S = 0.5
# What the tables keep of 24 requests, which name 55,000 parts.
MAX_KEPT_BYTES = 6_000_000


def stream(request):
    """Answer with a stream of one event."""
    return [
        Send(head(request, Transfer_Encoding="chunked") + chunk(event(1))),
        Send(LAST_CHUNK),
    ]


def stream_late(request):
    """Answer as ``stream`` does, after a while."""
    return [Wait(1.5), *stream(request)]


def many_parts(number, count=MANY_PARTS, shared="aa"):
    """Return a header with many parts, of which other requests have few."""
    first = 4_096 + number * count % 50_000
    return f"{shared}:350," + ",".join(f"{first + part:x}:1" for part in range(count))


async def call(system, number, prompt):
    """Send a request with a prompt."""
    return await system.async_call(
        f"/draft/{number}",
        body=f"question {number}".encode(),
        X_Model="small",
        X_Prefix_Hash=prompt,
        X_Token_Counts=f"{MANY_PARTS},40",
    )


@pytest.fixture
async def other(relay) -> AsyncIterator[RelaySystem]:
    """Yield a second entry on the store of the first."""
    system = await relay.async_add_entry("entry-a-2")
    yield system
    await system.async_leave()


@pytest.fixture
def kept_bytes():
    """Return a function that returns what is still allocated of later objects."""
    tracemalloc.start()

    def measure():
        gc.collect()
        return tracemalloc.get_traced_memory()[0]

    yield measure
    tracemalloc.stop()


async def test_many_prompt_parts_use_up_the_memory_of_two_entries(
    relay, other, kept_bytes
):
    """What is kept of a request does not grow with the square of its parts."""
    for number in range(3):
        await relay.async_add_upstream(f"up-{number}", stream)
    await other.async_wait_for(lambda: len(other.entry.node.fleet) == 3)
    before = kept_bytes()
    for number in range(24):
        response = await call((relay, other)[number % 2], number, many_parts(number))
        assert response.status == 200
    assert kept_bytes() - before < 2 * MAX_KEPT_BYTES


async def test_unfinished_bodies_hold_many_prompt_parts(relay, memory_peak):
    """A request whose body does not arrive holds little beside its head."""
    await relay.async_add_upstream("up", stream)
    host, _, port = relay.caller_address.rpartition(":")
    writers = []
    for number in range(150):
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /draft/{number} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"X-Attempt-Id: a{number}\r\nAuthorization: Token {API_KEY}\r\n"
            f"X-Prefix-Hash: {many_parts(number)}\r\nContent-Length: 9\r\n\r\n".encode()
        )
        writers.append(writer)
    await relay.async_wait_for(
        lambda: relay.entry._guard.budget.held_bytes >= 150 * 16_000
    )
    await asyncio.sleep(0.2)
    assert memory_peak() < MAX_TABLE_BYTES
    for writer in writers:
        writer.close()


async def test_notices_with_many_prompt_parts_fit_no_datagram(relay, other):
    """Other entries get the first parts of a prompt."""
    await relay.async_add_upstream("up", stream_late)
    node = relay.entry.node
    sent = []
    node.attempts.take_notices, take = (
        lambda now_s: sent.extend(found := take(now_s)) or found,
        node.attempts.take_notices,
    )
    await asyncio.gather(
        *(
            call(relay, number, many_parts(number, shared="a" * MAX_KEY_CHARS))
            for number in range(MAX_NOTICES_PER_DATAGRAM)
        )
    )
    started = [notice for notice in sent if notice.prompt]
    assert len(started) == MAX_NOTICES_PER_DATAGRAM
    assert {len(notice.prompt) for notice in started} == {MAX_PROMPT_PARTS - 1}
    assert len(encode_notices("entry-a-1", started)) < MAX_DATAGRAM_BYTES / 2
    assert other.entry.node.fleet.get("up") is not None


async def test_long_names_of_callers_are_kept_as_keys(relay, kept_bytes):
    """Ids of parts and sessions are kept by a digest if they are long."""
    upstream = await relay.async_add_upstream("up", stream)
    before = kept_bytes()
    for number in range(200):
        long = f"{number:x}".rjust(7_000, "a")
        response = await relay.async_call(
            f"/draft/{number}",
            X_Model="small",
            X_Prefix_Hash=f"{long}:10,{long}b:10",
            Session=long,
        )
        assert response.status == 200
    upstream.seen.clear()
    assert kept_bytes() - before < 200 * 7_000


async def test_crowd_with_many_prompt_parts_uses_up_the_memory(relay, memory_peak):
    """Requests beyond what can be held are refused; ordinary ones are served."""
    for number in range(3):
        await relay.async_add_upstream(f"up-{number}", stream_late, slots=64)
    large = [
        asyncio.create_task(call(relay, number, many_parts(number)))
        for number in range(2 * MAX_HELD_SUSPECTS // MANY_PARTS)
    ]
    await asyncio.sleep(0.3)
    ordinary = await asyncio.gather(
        *(call(relay, 1_000 + number, f"aa:350,{number:x}:20") for number in range(20))
    )
    assert {response.status for response in ordinary} == {200}
    responses = await asyncio.gather(*large)
    refused = [response for response in responses if response.status != 200]
    assert 0 < len(refused) < len(responses)
    assert {response.error_code for response in refused} == {ResultCode.OVERLOADED}
    assert all(float(response.headers["Retry-After"]) > 0 for response in refused)
    seen = sum(len(upstream.seen) for upstream in relay.upstreams.values())
    assert seen == len(responses) - len(refused) + len(ordinary)
    assert relay.entry.node.held_suspects.count == 0
    assert memory_peak() < 2 * MAX_TABLE_BYTES


async def test_crash_with_many_prompt_parts_stops_the_entry(relay):
    """Ordinary requests are answered at once when an upstream crashes with them."""

    def hold_and_crash(request):
        return [Wait(1.0), Crash()]

    await relay.async_add_upstream("bookings", plain(), service="bookings")
    for number in range(2):
        await relay.async_add_upstream(f"up-{number}", hold_and_crash, slots=64)
    large = [
        asyncio.create_task(call(relay, number, many_parts(number)))
        for number in range(8)
    ]
    longest_s = 0.0
    while not all(task.done() for task in large):
        began_s = time.process_time()
        assert (await relay.async_call("/read/x")).status == 200
        longest_s = max(longest_s, time.process_time() - began_s)
    assert relay.entry.node.quarantine.suspect_count > MANY_PARTS
    assert longest_s < MAX_PROCESSOR_S
