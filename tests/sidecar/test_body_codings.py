"""Responses of a sidecar's upstream whose bodies have a coding."""

import asyncio
import gzip

import aiohttp
import pytest

from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.response_memory import ResponseMemory
from cardamomnotch_runtime.upstream_session import create_upstream_session
from cardamomnotch_sidecar.answer_buffer import AnswerBuffer
from cardamomnotch_sidecar.upstream.engine import EngineClient
from cardamomnotch_sidecar.upstream.models import UpstreamError
from cardamomnotch_sidecar.upstream.plain_service import PlainServiceClient

from tests.entry.relay.test_body_codings import CODED
from tests.platform.test_upstream_contract import _STREAM_BODY, _attempt
from tests.sidecar.test_truncated_responses import ATTEMPT
from tests.stand_ins.platform_upstream import (
    LAST_CHUNK,
    PlatformUpstreamStandIn,
    Send,
    chunk,
)

BODY = (
    b'data: {"id": "c1", "choices": [{"index": 0, "finish_reason": "stop"}]}\n\n'
    b"data: [DONE]\n\n"
)


async def async_call(kind, lines, body):
    """Return the answer of a client whose upstream sends these header lines."""

    def respond(_):
        head = "".join(f"{line}\r\n" for line in ["HTTP/1.1 200 OK", *lines, ""])
        return [Send(head.encode() + chunk(body) + LAST_CHUNK)]

    upstream = PlatformUpstreamStandIn("up", respond)
    await upstream.async_start()
    buffer = AnswerBuffer("r-1")
    try:
        async with create_upstream_session(aiohttp.TCPConnector()) as session:
            url = f"http://{upstream.address}"
            async with asyncio.timeout(5):
                if kind == "plain service":
                    client = PlainServiceClient(session, url, 1.0)
                    await client.async_call(ATTEMPT, b"{}", buffer)
                else:
                    client = EngineClient(session, url, 1.0, ResponseMemory(1_000_000))
                    await client.async_call(_attempt(stream=True), _STREAM_BODY, buffer)
    finally:
        upstream.stop()
    return buffer.retained_bytes


@pytest.mark.parametrize("lines", CODED.values(), ids=CODED)
@pytest.mark.parametrize("kind", ["plain service", "stream"])
async def test_coded_body_is_passed_on_as_a_plain_one(kind, lines):
    """The upstream has failed, and may have run the request."""
    with pytest.raises(UpstreamError) as raised:
        await async_call(kind, lines, BODY)
    assert raised.value.started
    assert raised.value.code in (ResultCode.UPSTREAM_FAILED, ResultCode.SHORT_ANSWER)


@pytest.mark.parametrize("content_coding", ["", "identity", "gzip", "GZIP"])
@pytest.mark.parametrize("kind", ["plain service", "stream"])
async def test_removed_coding_is_refused(kind, content_coding):
    """A body whose coding the client removes is passed on without it."""
    lines = ["Transfer-Encoding: chunked"]
    if content_coding:
        lines.append(f"Content-Encoding: {content_coding}")
    body = gzip.compress(BODY) if content_coding.lower() == "gzip" else BODY
    answer = await async_call(kind, lines, body)
    assert answer == (BODY if kind == "plain service" else BODY.split(b"data: [D")[0])
