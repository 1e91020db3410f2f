"""Upstreams of a sidecar that answer before they have read the request."""

import asyncio
import functools

import aiohttp
import pytest

from cardamomnotch_runtime.response_memory import ResponseMemory
from cardamomnotch_runtime.upstream_session import create_upstream_session
from cardamomnotch_sidecar.answer_buffer import AnswerBuffer
from cardamomnotch_sidecar.upstream.engine import EngineClient
from cardamomnotch_sidecar.upstream.models import UpstreamError
from cardamomnotch_sidecar.upstream.plain_service import PlainServiceClient

from tests.fixtures.early_upstream import BROKEN_ENDS, EarlyUpstream
from tests.sidecar.test_truncated_responses import ATTEMPT

CLIENTS = {
    "model engine": functools.partial(EngineClient, memory=ResponseMemory(16_000_000)),
    "plain service": PlainServiceClient,
}
BODY = b'{"text": "%s"}' % (b"x" * 1_500_000)


@pytest.mark.parametrize("create_client", CLIENTS.values(), ids=CLIENTS)
@pytest.mark.parametrize("end", BROKEN_ENDS, ids=lambda end: end.__name__)
async def test_part_of_a_response_during_the_upload_is_complete(end, create_client):
    """A response that is reset while its request is being sent has failed."""
    upstream = EarlyUpstream(end)
    async with create_upstream_session(aiohttp.TCPConnector(limit=0)) as session:
        client = create_client(session, f"http://{upstream.address}", 1.0)
        with pytest.raises(UpstreamError):
            async with asyncio.timeout(5):
                await client.async_call(ATTEMPT, BODY, AnswerBuffer("r-1"))
    upstream.stop()
