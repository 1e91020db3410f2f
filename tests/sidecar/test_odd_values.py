"""Numbers in the responses of model engines that are not what they should be."""

import aiohttp
import orjson
import pytest
from aiohttp import web

from cardamomnotch_protocol import codec
from cardamomnotch_protocol.models import AttemptFinished
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.response_memory import ResponseMemory
from cardamomnotch_sidecar.answer_buffer import AnswerBuffer
from cardamomnotch_sidecar.const import MAX_RETRY_AFTER_S
from cardamomnotch_sidecar.upstream.engine import EngineClient
from cardamomnotch_sidecar.upstream.models import UpstreamError

from tests.platform.test_upstream_contract import _BODY, _STREAM_BODY, _attempt

COUNTS = [b"1e30", b"1e308", b"-1", b"9" * 30, b"9" * 400, b'"many"', b"[]", b"null"]


@pytest.fixture
async def engine(serve_app):
    """Return a client of an engine, and a function that sets its response."""
    responses = []

    async def respond(_):
        body, status, headers = responses[-1]
        return web.Response(body=body, status=status, headers=headers)

    app = web.Application()
    app.router.add_route("*", "/{path:.*}", respond)
    url = await serve_app(app)
    async with aiohttp.ClientSession() as session:
        client = EngineClient(session, url, 1.0, ResponseMemory(16_000_000))
        yield client, lambda *args: responses.append(args)


def assert_encodable(result):
    """Check that the message to the entry can carry the usage."""
    message = AttemptFinished(
        attempt_id="r-1",
        code=ResultCode.OK,
        detail="",
        total_bytes=0,
        usage=result.usage,
    )
    (frame,) = codec.FrameDecoder().feed(codec.encode(message))
    assert frame.message.usage == result.usage


@pytest.mark.parametrize("stream", [False, True], ids=["whole", "stream"])
@pytest.mark.parametrize("name", [b"prompt_tokens", b"completion_tokens"])
@pytest.mark.parametrize("count", COUNTS)
async def test_token_count_that_no_message_can_carry(engine, count, name, stream):
    """It is a failure of the engine, which may have run the request."""
    client, set_response = engine
    choice = b'"choices": [{"index": 0, "finish_reason": "stop"}], "id": "c1"'
    body = b'{%s, "usage": {"%s": %s}}' % (choice, name, count)
    if stream:
        body = b"data: %s\n\ndata: [DONE]\n\n" % body
    set_response(body, 200, {})
    request, data = _attempt(stream=stream), _STREAM_BODY if stream else _BODY
    with pytest.raises(UpstreamError) as raised:
        await client.async_call(request, data, AnswerBuffer("r-1"))
    assert raised.value.started


@pytest.mark.parametrize("count", [0, 5, 5.0, 2**53])
async def test_token_count_is_refused(engine, count):
    """Numbers within bounds are billed."""
    client, set_response = engine
    set_response(orjson.dumps({"usage": {"prompt_tokens": count}}), 200, {})
    result = await client.async_call(_attempt(), _BODY, AnswerBuffer("r-1"))
    assert result.usage.prompt_tokens == count
    assert_encodable(result)


@pytest.mark.parametrize("name", [b"waiting", b"fencing"])
@pytest.mark.parametrize("count", COUNTS)
async def test_reported_count_that_no_message_can_carry(engine, count, name):
    """The report is refused, as one that does not arrive."""
    client, set_response = engine
    set_response(b'{"%s": %s}' % (name, count), 200, {})
    with pytest.raises(UpstreamError):
        await client.async_fetch_report()


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("1.5", 1.5),
        ("inf", 0.0),
        ("1e999", 0.0),
        ("nan", 0.0),
        ("-1", 0.0),
        ("1e300", MAX_RETRY_AFTER_S),
        ("soon", 0.0),
    ],
)
async def test_retry_time_that_no_response_can_state(engine, value, expected):
    """A retry time is a bounded number of seconds."""
    client, set_response = engine
    set_response(b"", 503, {"Retry-After": value})
    with pytest.raises(UpstreamError) as raised:
        await client.async_call(_attempt(), _BODY, AnswerBuffer("r-1"))
    assert raised.value.retry_after_s == expected
