"""The end of the grace time: what callers get whose requests are not finished."""

import asyncio

import pytest

from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_entry.relay import composition

from tests.fixtures.relay_system import RelaySystem
from tests.stand_ins.platform_upstream import Send, Wait, plain, stream

GRACE_S = 2.6


@pytest.fixture
async def relay():
    """Yield a relaying entry with a short grace time."""
    system = RelaySystem(RelayLimits(grace_s=GRACE_S))
    await system.async_start()
    yield system
    await system.async_stop()


def slow(request):
    """Respond after the grace time."""
    return [Wait(GRACE_S + 1.0), *plain(b"whole")(request)]


@pytest.mark.parametrize("path", ["/read/x", "/book/x"])
async def test_running_request_is_cut_at_the_end_of_the_grace_time(relay, path):
    """A request that the stop ends gets a response, which claims no outcome."""
    upstream = await relay.async_add_upstream("up", slow, slow, service="bookings")
    call = asyncio.create_task(relay.async_call(path))
    await relay.async_wait_for(lambda: upstream.seen)
    await relay.async_stop_entry()
    answer = await call
    assert (answer.status, answer.error_code) == (504, 315)
    assert len(upstream.seen) == 1


@pytest.mark.parametrize("path", ["/read/x", "/book/x"])
async def test_request_is_taken_late_in_the_grace_time(relay, monkeypatch, path):
    """Once the balancer no longer sends, a request is refused before it runs."""
    monkeypatch.setattr(composition, "BALANCER_DETECTION_S", 0.2)
    upstream = await relay.async_add_upstream("up", slow, service="bookings")
    running = asyncio.create_task(relay.async_call("/book/x"))
    await relay.async_wait_for(lambda: upstream.seen)
    host, _, port = relay.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(f"POST {path} HTTP/1.1\r\n".encode())
    await asyncio.sleep(0.05)
    stopping = asyncio.create_task(relay.async_stop_entry())
    await asyncio.sleep(0.35)
    writer.write(
        b"Host: calls.example\r\nAuthorization: Token key-one\r\n"
        b"X-Attempt-Id: late\r\nContent-Length: 0\r\n\r\n"
    )
    async with asyncio.timeout(0.5):
        answer = await reader.read()
    assert answer.startswith(b"HTTP/1.1 503")
    assert b'"code":109' in answer
    assert b"Connection: close" in answer
    assert len(upstream.seen) == 1
    await stopping
    assert (await running).status == 504
    writer.close()


async def test_stream_without_an_event_is_cut_at_the_end_of_the_grace_time(relay):
    """A stream that has not begun ends with a response, one that has is truncated."""
    pause = (Wait(GRACE_S + 1.0), Send(b"0\r\n\r\n"))
    silent = await relay.async_add_upstream("up", stream(1, 1, then=pause), slow)
    begun = asyncio.create_task(relay.async_call("/answer/x"))
    await relay.async_wait_for(lambda: len(silent.seen) == 1)
    waiting = asyncio.create_task(relay.async_call("/answer/x"))
    await relay.async_wait_for(lambda: len(silent.seen) == 2)
    await relay.async_stop_entry()
    assert (await begun).broken
    assert (await waiting).status == 504
