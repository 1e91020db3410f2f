"""Upstreams that send faster than an entry can process."""

import asyncio
import contextlib
import json
import sys
import time

import pytest
from multidict import CIMultiDict

from cardamomnotch_entry.relay.event_stream import EventSplitter
from cardamomnotch_entry.relay.exceptions import ResponseLostError
from cardamomnotch_entry.relay.upstream_client import UpstreamClient
from cardamomnotch_runtime.response_memory import ResponseMemory

from tests.fixtures.relay_system import API_KEY, HOST
from tests.stand_ins.fast_upstream import ANSWERS
from tests.stand_ins.platform_upstream import plain

# Streams that run at the same time at such an upstream.
_STREAMS = 6
# Time within which a booking is answered beside them, in seconds: the half second by
# which a request may be late.
_MAX_TIME_S = 0.5
_BOOKINGS = 12
# Time for which streams are read, in seconds, and the most of it that may be used.
_READ_S = 2.0
_MAX_SHARE = 0.5


@pytest.fixture
async def start_process():
    """Return a function that starts such an upstream, and returns its address."""
    processes = []

    async def start(answer):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.stand_ins.fast_upstream",
            answer,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        processes.append(process)
        return process, (await process.stdout.readline()).decode().strip()

    yield start
    for process in processes:
        process.kill()
        await process.wait()


@pytest.fixture
def start_fast_upstream(relay, start_process):
    """Return a function that starts such an upstream, and streams from it."""

    async def start(answer):
        process, address = await start_process(answer)
        registration = {
            "service": "drafts",
            "address": address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
        }
        relay.store.put("servers/fast", registration)
        await relay.async_wait_for(
            lambda: relay.entry.node.fleet.get("fast") is not None
        )
        calls = {
            "address": relay.caller_address,
            "path": "/answer/x",
            "count": _STREAMS,
            "headers": {
                "Host": HOST,
                "Authorization": f"Token {API_KEY}",
                "X-Model": "small",
                "X-Deadline-Ms": "4000",
            },
        }
        process.stdin.write(json.dumps(calls).encode() + b"\n")
        state = relay.entry.node.fleet.get("fast")
        await relay.async_wait_for(lambda: state.queue or state.in_flight)

    return start


@pytest.mark.parametrize("answer", ANSWERS)
async def test_fast_upstream_leaves_most_of_the_processor(start_process, answer):
    """Reading streams that are sent too fast takes a part of the loop only."""
    _, address = await start_process(answer)
    client = UpstreamClient(ResponseMemory(16_000_000))

    async def read(number):
        headers = CIMultiDict({"X-Attempt-Id": f"stream-{number}"})
        response = await client.async_send(address, "POST", "/x", headers, b"")
        splitter = EventSplitter()
        with contextlib.suppress(ResponseLostError):
            async for data in client.async_iter_body(response):
                splitter.discard_pending()
                client.process_part(response, splitter.feed, data)

    readers = [asyncio.create_task(read(number)) for number in range(_STREAMS)]
    await asyncio.sleep(_READ_S / 4)
    used_s, began_at_s = time.thread_time(), time.monotonic()
    await asyncio.sleep(_READ_S)
    used_s, read_s = time.thread_time() - used_s, time.monotonic() - began_at_s
    for reader in readers:
        reader.cancel()
    await asyncio.gather(*readers, return_exceptions=True)
    await client.async_unload()
    assert used_s < _MAX_SHARE * read_s


@pytest.mark.parametrize("answer", ANSWERS)
async def test_fast_upstream_does_not_take_the_loop(relay, start_fast_upstream, answer):
    """Bookings are answered in time beside streams that are sent too fast."""
    await relay.async_add_upstream("book", plain(b"done"), service="bookings")
    await start_fast_upstream(answer)
    times_s = []
    for _ in range(_BOOKINGS):
        sent_at_s = time.monotonic()
        assert (await relay.async_call("/book/x")).status == 200
        times_s.append(time.monotonic() - sent_at_s)
        await asyncio.sleep(0.05)
    assert max(times_s) < _MAX_TIME_S
