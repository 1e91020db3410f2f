"""Responses of a sidecar's upstream with headers that cannot be passed on."""

import asyncio

import aiohttp
import pytest

from cardamomnotch_protocol import codec
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.upstream_session import create_upstream_session
from cardamomnotch_sidecar.answer_buffer import AnswerBuffer
from cardamomnotch_sidecar.upstream.models import UpstreamError
from cardamomnotch_sidecar.upstream.plain_service import PlainServiceClient

from tests.sidecar.test_truncated_responses import ATTEMPT
from tests.stand_ins.platform_upstream import PlatformUpstreamStandIn, Send

CONTENT_TYPES = {
    "control character": b"sesame\x01",
    "escape": b"sesame\x1b; charset=utf-8",
    "DEL": b"\x7fsesame",
    "not UTF-8": b"sesame\xff",
}


@pytest.fixture
async def call():
    """Return a function that calls a plain service with this Content-Type."""
    upstreams = []

    async def call_with(content_type):
        def respond(_):
            lines = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Type: "
            return [Send(lines + content_type + b"\r\n\r\nwhole")]

        upstream = PlatformUpstreamStandIn("service", respond)
        upstreams.append(upstream)
        await upstream.async_start()
        buffer = AnswerBuffer("r-1")
        async with create_upstream_session(aiohttp.TCPConnector()) as session:
            client = PlainServiceClient(session, f"http://{upstream.address}", 1.0)
            async with asyncio.timeout(5):
                await client.async_call(ATTEMPT, b"{}", buffer)
        return buffer

    yield call_with
    for upstream in upstreams:
        upstream.stop()


@pytest.mark.parametrize("content_type", CONTENT_TYPES.values(), ids=CONTENT_TYPES)
async def test_content_type_that_cannot_be_passed_on_fails_an_entry(
    call, caplog, content_type
):
    """The upstream has failed; the log names the header, and not its value."""
    caplog.set_level("DEBUG")
    with pytest.raises(UpstreamError) as raised:
        await call(content_type)
    error = raised.value
    assert (error.code, error.started) == (ResultCode.UPSTREAM_FAILED, True)
    assert not error.connection_lost
    (warning,) = [it for it in caplog.records if it.levelname == "WARNING"]
    assert warning.fields["header"] == "Content-Type"
    assert "sesame" not in str([record.__dict__ for record in caplog.records])


@pytest.mark.parametrize("content_type", [b"", b"text/plain", "caf\u00e9".encode()])
async def test_valid_content_type_is_refused(call, content_type):
    """It is part of the answer's head."""
    buffer = await call(content_type)
    frame = await anext(buffer.async_frames(0))
    (head,) = codec.FrameDecoder().feed(frame)
    assert head.message.headers["Content-Type"].encode() == content_type
