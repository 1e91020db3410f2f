"""Requests of the relay that fail for a reason that was not expected."""

import asyncio

import orjson
import pytest

from cardamomnotch_adapter.message_codec import PlatformMessageCodec
from cardamomnotch_entry.relay.attempts import Attempt
from cardamomnotch_entry.relay.event_stream import EventSplitter
from cardamomnotch_entry.relay.forwarder import Forwarder
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.responses import SlicedResponse

from tests.entry.relay.test_invalid_headers import (
    ROUTES,
    RUN_ONCE,
    STREAMS,
    async_add,
    async_exchange,
    whole_response,
)
from tests.stand_ins.platform_upstream import (
    LAST_CHUNK,
    Send,
    Wait,
    chunk,
    event,
    head,
)

ERRORS = [ArithmeticError, AttributeError, KeyError, OSError, TimeoutError, ValueError]
# What is called before a response begins.
BEFORE_RESPONSE = {
    "decode_request": (PlatformMessageCodec, "decode_request"),
    "async_serve": (Forwarder, "async_serve"),
    "async_open": (Attempt, "async_open"),
    "decode_response": (PlatformMessageCodec, "decode_response"),
    "encode_attempt": (PlatformMessageCodec, "encode_attempt"),
}


def raise_at(call, error):
    """Return a function that raises ``error`` at the call with this number."""
    calls = 0

    def wrap(function):
        def fail(*args, **kwargs):
            nonlocal calls
            calls += 1
            if calls == call:
                raise error
            return function(*args, **kwargs)

        return fail

    return wrap


def stream_in_parts(request):
    """Send three events that arrive one by one."""
    yield Send(head(request, Transfer_Encoding="chunked"))
    for number in range(1, 4):
        yield Send(chunk(event(number)))
        yield Wait(0.03)
    yield Send(LAST_CHUNK)


def assert_ended(relay, caplog, code):
    """Check that the request has ended, and left nothing behind."""
    (ended,) = [it for it in caplog.records if it.message == "request ended"]
    assert ended.fields["code"] == code
    assert relay.entry._server.in_flight == 0
    assert {state.in_flight for state in relay.entry.node.fleet} <= {0}


@pytest.mark.parametrize("error", ERRORS)
@pytest.mark.parametrize("point", BEFORE_RESPONSE)
@pytest.mark.parametrize("route", ROUTES)
async def test_request_that_fails_before_its_response_has_no_answer(
    relay, monkeypatch, caplog, route, point, error
):
    """The caller gets one whole response that promises nothing."""
    caplog.set_level("INFO")
    upstream = await async_add(relay, route, whole_response(route))
    owner, name = BEFORE_RESPONSE[point]
    monkeypatch.setattr(owner, name, raise_at(1, error)(getattr(owner, name)))
    response = await async_exchange(relay, route)
    assert "retry-after" not in response.headers
    expected = ResultCode.INTERNAL_ERROR
    if error is TimeoutError and point not in ("decode_request", "async_serve"):
        # It looks like the end of the request's time.
        expected = ResultCode.UPSTREAM_SILENT
    assert orjson.loads(response.body)["error"]["code"] == expected
    if point != "decode_request":
        assert response.headers["x-attempt-id"] == b"request-1"
    assert_ended(relay, caplog, expected)
    if route in RUN_ONCE:
        assert len(upstream.seen) <= 1


@pytest.mark.parametrize("error", [*ERRORS, ConnectionResetError])
@pytest.mark.parametrize("call", [1, 2, 3])
@pytest.mark.parametrize("route", sorted(STREAMS))
async def test_stream_that_fails_ends_in_stray_bytes(
    relay, monkeypatch, caplog, route, call, error
):
    """The stream is truncated between two events, without other bytes."""
    caplog.set_level("INFO")
    await async_add(relay, route, stream_in_parts)
    feed = raise_at(call, error)(EventSplitter.feed)
    monkeypatch.setattr(EventSplitter, "feed", feed)
    answer = await relay.async_call(f"/{route}/x", X_Model="small")
    events = b"".join(event(number) for number in range(1, call))
    assert (answer.status, answer.broken, answer.body) == (200, True, events)
    (ended,) = [it for it in caplog.records if it.message == "request ended"]
    assert ended.fields["code"] != ResultCode.OK
    assert relay.entry._server.in_flight == 0


@pytest.mark.parametrize("error", ERRORS)
@pytest.mark.parametrize("name", ["prepare", "write_eof"])
@pytest.mark.parametrize("route", ["book", "read"])
async def test_response_that_cannot_be_written_leaves_a_closed_connection(
    relay, monkeypatch, route, name, error
):
    """A failure after the handler ends in one whole error response as well."""
    await async_add(relay, route, whole_response(route))

    async def fail(*_):
        raise error

    monkeypatch.setattr(SlicedResponse, name, fail)
    response = await async_exchange(relay, route)
    assert (response.status, b"whole" in response.body) == (500, False)


async def test_failed_request_holds_its_upstream(relay, monkeypatch):
    """Failed requests take no slots from the next ones."""
    await relay.async_add_upstream("up", service="bookings", slots=1)
    for _ in range(5):
        with monkeypatch.context() as patch:
            patch.setattr(
                PlatformMessageCodec,
                "decode_response",
                raise_at(1, ValueError)(PlatformMessageCodec.decode_response),
            )
            assert (await relay.async_call("/book/x")).status == 500
        async with asyncio.timeout(2):
            assert (await relay.async_call("/book/x")).status == 200
