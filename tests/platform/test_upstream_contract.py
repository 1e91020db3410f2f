"""Tests of the engine and service clients against their stand-ins."""

import contextlib

import orjson
import pytest
from aiohttp import web

from cardamomnotch_protocol.models import AttemptRequest
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.response_memory import ResponseMemory
from cardamomnotch_sidecar.answer_buffer import AnswerBuffer
from cardamomnotch_sidecar.upstream.engine import EngineClient
from cardamomnotch_sidecar.upstream.models import UpstreamError
from cardamomnotch_sidecar.upstream.plain_service import PlainServiceClient
from cardamomnotch_sidecar.upstream.sse import CompletionStream

from tests.stand_ins.engine import EngineStandIn
from tests.stand_ins.plain_service import PlainServiceStandIn
from tests.stand_ins.weight_store import WeightStoreStandIn

_READ_TIMEOUT_S = 0.3
MEMORY = ResponseMemory(16_000_000)
_BODY = orjson.dumps({"messages": [{"role": "user", "content": "x"}], "max_tokens": 4})
_STREAM_BODY = orjson.dumps({**orjson.loads(_BODY), "stream": True})
_EVENT = (
    b'data: {"id": "c1", "choices": [{"index": 0, "delta": {"content": "w"},'
    b' "finish_reason": "stop"}]}'
)


def _attempt(**changes):
    fields = {
        "attempt_id": "r-1",
        "request_id": "r",
        "request_key": "w:r",
        "workspace": "w",
        "incarnation": "i",
        "revision": 1,
        "timeout_ms": 5_000,
        "model": "drafter",
        "version": "v1",
        **changes,
    }
    return AttemptRequest(**fields)


@pytest.fixture
async def engine_stand_in():
    """Return a stand-in for the model engine."""
    return EngineStandIn(["drafter/v1"])


@pytest.fixture
async def engine(engine_stand_in, serve_app, http_session):
    """Return a client of the engine's stand-in."""
    url = await serve_app(engine_stand_in.create_app())
    return EngineClient(http_session, url, _READ_TIMEOUT_S, MEMORY)


@pytest.fixture
async def service_stand_in():
    """Return a stand-in for the booking service."""
    return PlainServiceStandIn()


@pytest.fixture
async def service(service_stand_in, serve_app, http_session):
    """Return a client of the booking service's stand-in."""
    url = await serve_app(service_stand_in.create_app())
    return PlainServiceClient(http_session, url, _READ_TIMEOUT_S)


def _reservation_attempt():
    return _attempt(model="", version="", service="booking", path="/reservations")


@pytest.mark.parametrize(
    ("stream", "body"),
    [(False, _BODY), (True, _STREAM_BODY)],
    ids=["complete", "stream"],
)
async def test_engine_reports_usage_of_a_complete_answer(engine, stream, body):
    """A complete answer contains the engine's count of tokens."""
    buffer = AnswerBuffer("r-1")
    result = await engine.async_call(_attempt(stream=stream), body, buffer)
    assert result.usage.completion_tokens == 4
    assert buffer.total_bytes


@pytest.mark.parametrize(
    ("faults", "code", "started"),
    [
        pytest.param({"crossed": True}, ResultCode.CROSSED_ANSWER, True, id="crossed"),
        pytest.param({"short_after": 2}, ResultCode.SHORT_ANSWER, True, id="short"),
        pytest.param(
            {"silent_after": 2}, ResultCode.UPSTREAM_SILENT, True, id="silent"
        ),
        pytest.param({"refuse": True}, ResultCode.UPSTREAM_FULL, False, id="busy"),
    ],
)
async def test_engine_failure_has_its_result_code(
    engine, engine_stand_in, faults, code, started
):
    """A failed stream raises its result code and whether it may have run."""
    engine_stand_in.faults.active.update(faults)
    with pytest.raises(UpstreamError) as raised:
        await engine.async_call(
            _attempt(stream=True), _STREAM_BODY, AnswerBuffer("r-1")
        )
    assert (raised.value.code, raised.value.started) == (code, started)


async def test_engine_crash_may_have_run(engine, engine_stand_in):
    """After a connection loss during a call, the call may have run."""
    engine_stand_in.faults.active["crash_on"] = "x"
    with pytest.raises(UpstreamError) as raised:
        await engine.async_call(
            _attempt(stream=True), _STREAM_BODY, AnswerBuffer("r-1")
        )
    assert raised.value.started


async def test_engine_restart_changes_the_start_id(engine, engine_stand_in):
    """After a restart the load report contains another start id."""
    before = await engine.async_fetch_report()
    engine_stand_in.restart()
    after = await engine.async_fetch_report()
    assert before.start_id != after.start_id
    assert after.versions == ("drafter/v1",)


@pytest.mark.parametrize(
    "pieces",
    [
        pytest.param((_EVENT + b"\n\ndata: [DONE]\n\n",), id="one piece"),
        pytest.param(
            (_EVENT[:20], _EVENT[20:] + b"\n\ndata: [DO", b"NE]\n\n"),
            id="split inside lines",
        ),
        pytest.param((_EVENT + b"\r\n\r\ndata: [DONE]\r\n\r\n",), id="CR LF"),
        pytest.param(
            (_EVENT + b"\r\n\r", b"\ndata: [DONE]\r\n\r", b"\n"), id="CR LF split"
        ),
        pytest.param((b": ping\n\n" + _EVENT + b"\n\ndata: [DONE]\n\n",), id="comment"),
    ],
)
def test_stream_is_parsed_however_it_is_split(pieces):
    """Events are parsed completely, wherever the stream is split."""
    stream = CompletionStream()
    events = [event for piece in pieces for event in stream.feed(piece)]
    assert b'"delta"' in b"".join(events)
    assert stream.is_complete


@pytest.mark.parametrize(
    "load",
    [
        pytest.param(b"<html>", id="not JSON"),
        pytest.param(b"[]", id="not an object"),
        pytest.param(b'{"waiting": "many"}', id="wrong type"),
        pytest.param(b'{"versions": null}', id="versions are null"),
    ],
)
async def test_malformed_load_report_raises_upstream_error(
    serve_app, http_session, load
):
    """A malformed load report raises UpstreamError."""

    async def reply(_: web.Request) -> web.Response:
        return web.Response(body=load)

    app = web.Application()
    app.router.add_get("/load", reply)
    client = EngineClient(http_session, await serve_app(app), _READ_TIMEOUT_S, MEMORY)
    with pytest.raises(UpstreamError):
        await client.async_fetch_report()


@pytest.fixture
async def endless_url(serve_app):
    """Return the URL of an upstream that sends every body without end."""

    async def reply(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        with contextlib.suppress(ConnectionError):
            while True:
                await response.write(b"x" * 65_536)
        return response

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", reply)
    return await serve_app(app)


@pytest.mark.parametrize("call", ["report", "completion", "stream", "service"])
async def test_endless_body_is_given_up(endless_url, http_session, call):
    """A body or event without end fails at its size limit."""
    engine = EngineClient(http_session, endless_url, _READ_TIMEOUT_S, MEMORY)
    service = PlainServiceClient(http_session, endless_url, _READ_TIMEOUT_S)
    buffer = AnswerBuffer("r-1")
    calls = {
        "report": lambda: engine.async_fetch_report(),
        "completion": lambda: engine.async_call(_attempt(), _BODY, buffer),
        "stream": lambda: engine.async_call(
            _attempt(stream=True), _STREAM_BODY, buffer
        ),
        "service": lambda: service.async_call(_reservation_attempt(), b"{}", buffer),
    }
    with pytest.raises(UpstreamError) as raised:
        await calls[call]()
    assert raised.value.code is ResultCode.UPSTREAM_RESPONSE_TOO_LARGE


async def test_service_receives_attempt_id_and_request_key(service, service_stand_in):
    """A service receives the attempt's id and the request's key."""
    await service.async_call(
        _reservation_attempt(), b'{"batch": "b"}', AnswerBuffer("r-1")
    )
    (reservation,) = service_stand_in.reservations
    assert (reservation["request_id"], reservation["key"]) == ("r-1", "w:r")


@pytest.mark.parametrize(
    ("fault", "code"),
    [
        ("crash_after_effect", ResultCode.UPSTREAM_FAILED),
        ("silent_after_effect", ResultCode.UPSTREAM_SILENT),
        ("crossed", ResultCode.CROSSED_ANSWER),
    ],
)
async def test_service_failure_after_the_effect_may_have_run(
    service, service_stand_in, fault, code
):
    """A call that fails after its effect is reported as possibly run."""
    service_stand_in.faults.active[fault] = 1
    with pytest.raises(UpstreamError) as raised:
        await service.async_call(_reservation_attempt(), b"{}", AnswerBuffer("r-1"))
    assert (raised.value.code, raised.value.started) == (code, True)
    assert len(service_stand_in.reservations) == 1


async def test_weight_store_refuses_reads_over_its_rate(serve_app, http_session):
    """Reads over the rate are refused with a Retry-After header."""
    stand_in = WeightStoreStandIn()
    stand_in.faults.active["rate_per_s"] = 2
    url = f"{await serve_app(stand_in.create_app())}/weights/drafter/v1"
    responses = []
    for _ in range(3):
        async with http_session.get(url) as response:
            responses.append((response.status, response.headers.get("Retry-After")))
    assert responses == [(200, None), (200, None), (429, "1")]
