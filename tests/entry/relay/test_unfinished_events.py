"""Streams with events that do not end, of which a process holds a part each."""

import asyncio

import pytest

from cardamomnotch_core.relay.limits import RelayLimits

from tests.fixtures.relay_system import RelaySystem
from tests.stand_ins.platform_upstream import Send, Wait, chunk, event, head, stream

MEMORY_MB = 64
# A tenth of the memory.
LIMIT_BYTES = 6_400_000
# Inside the limit of one event.
EVENT_BYTES = 940_000
STREAMS = 16
# Streams of which such a part is inside the limit.
MAX_HELD_STREAMS = LIMIT_BYTES // EVENT_BYTES


def send_without_end(request):
    """Begin an event that goes on slowly, and never ends."""
    begin = f"id: 1\ndata: {'x' * EVENT_BYTES}".encode()
    more = [step for _ in range(60) for step in (Wait(0.1), Send(chunk(b"y" * 200)))]
    return [Send(head(request, Transfer_Encoding="chunked") + chunk(begin)), *more]


def send_slowly(request):
    """Send a whole stream, each event in two parts."""
    events = [event(number) for number in range(1, 6)]
    parts = [part for whole in events for part in (whole[:9], whole[9:])]
    steps = [step for part in parts for step in (Send(chunk(part)), Wait(0.1))]
    start = head(request, Transfer_Encoding="chunked")
    return [Send(start), *steps, Send(b"0\r\n\r\n")]


async def async_cancel(calls):
    """Cancel calls, and wait until they have ended."""
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)


@pytest.fixture
async def relay():
    """Yield a relaying entry with little memory."""
    limits = RelayLimits(grace_s=1.05, retry_slack=1_000.0)
    system = RelaySystem(limits, memory_mb=MEMORY_MB)
    await system.async_start()
    yield system
    await system.async_stop()


async def test_events_without_end_use_up_the_memory(relay):
    """What all streams hold stays inside a limit; the largest are broken off."""
    bad = await relay.async_add_upstream("bad", send_without_end, slots=64)
    memory = relay.entry._response_memory
    calls = [
        asyncio.create_task(relay.async_call(f"/answer/{number}", X_Model="small"))
        for number in range(STREAMS)
    ]
    most_bytes = 0
    async with asyncio.timeout(5):
        while sum(call.done() for call in calls) < STREAMS - MAX_HELD_STREAMS:
            most_bytes = max(most_bytes, memory.held_bytes)
            await asyncio.sleep(0.01)
    assert len(bad.seen) == STREAMS
    assert LIMIT_BYTES / 2 < most_bytes <= LIMIT_BYTES
    ended = [call.result() for call in calls if call.done()]
    assert all(answer.broken for answer in ended)
    await async_cancel(calls)
    await relay.async_wait_for(lambda: not memory.held_bytes)


async def test_ordinary_stream_is_broken_off_beside_endless_ones(relay):
    """Streams of sound upstreams go on while others use up the memory."""
    await relay.async_add_upstream("bad", send_without_end, slots=64)
    bad = [
        asyncio.create_task(relay.async_call(f"/answer/{number}", X_Model="small"))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(0.5)
    relay.upstreams["bad"].behaviors = [send_slowly]
    good = await asyncio.gather(
        *(
            relay.async_call(f"/answer/g{number}", X_Model="small")
            for number in range(8)
        )
    )
    assert not any(answer.broken for answer in good)
    whole = b"".join(event(number) for number in range(1, 6))
    assert {answer.body for answer in good} == {whole}
    await async_cancel(bad)


async def test_resumable_stream_is_lost_with_an_endless_event(relay):
    """A stream that is broken off for its size goes on at another upstream."""

    def respond(request):
        if "last-event-id" in request.headers:
            return stream(2, 3)(request)
        return [
            Send(head(request, Transfer_Encoding="chunked") + chunk(event(1))),
            Send(chunk(f"id: 2\ndata: {'x' * EVENT_BYTES}".encode())),
            Wait(5.0),
        ]

    for number in range(2):
        await relay.async_add_upstream(f"up-{number}", respond, slots=64)
    calls = [
        asyncio.create_task(relay.async_call(f"/draft/{number}", X_Model="small"))
        for number in range(STREAMS)
    ]
    await relay.async_wait_for(lambda: sum(call.done() for call in calls) >= 6)
    whole = b"".join(event(number) for number in range(1, 4))
    ended = [call.result() for call in calls if call.done()]
    assert {(answer.broken, answer.body) for answer in ended} == {(False, whole)}
    await async_cancel(calls)
