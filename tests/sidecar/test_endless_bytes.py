"""Upstreams of a sidecar that send bytes without end, in a head or a body."""

import asyncio
import functools

import aiohttp
import pytest

from cardamomnotch_runtime.response_memory import ResponseMemory
from cardamomnotch_runtime.tasks import async_wait_until
from cardamomnotch_runtime.upstream_session import create_upstream_session
from cardamomnotch_sidecar.answer_buffer import AnswerBuffer
from cardamomnotch_sidecar.upstream.engine import EngineClient
from cardamomnotch_sidecar.upstream.models import UpstreamError
from cardamomnotch_sidecar.upstream.plain_service import PlainServiceClient

from tests.fixtures.endless_responses import FAULTS, MAX_MEMORY_BYTES, MAX_TIME_S
from tests.sidecar.test_truncated_responses import ATTEMPT
from tests.stand_ins.platform_upstream import PlatformUpstreamStandIn

CLIENTS = {
    "model engine": functools.partial(EngineClient, memory=ResponseMemory(16_000_000)),
    "plain service": PlainServiceClient,
}


@pytest.mark.parametrize("create_client", CLIENTS.values(), ids=CLIENTS)
@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
async def test_endless_response_fills_the_sidecars_memory(
    fault, create_client, memory_peak
):
    """A response without an end is given up, and its connection closed."""
    upstream = PlatformUpstreamStandIn("up", fault)
    await upstream.async_start()
    async with create_upstream_session(aiohttp.TCPConnector(limit=0)) as session:
        client = create_client(session, f"http://{upstream.address}", 1.0)
        with pytest.raises(UpstreamError):
            async with asyncio.timeout(MAX_TIME_S):
                await client.async_call(ATTEMPT, b"{}", AnswerBuffer("r-1"))
        assert await async_wait_until(
            lambda: not upstream.endless_connections, MAX_TIME_S
        )
    assert memory_peak() < MAX_MEMORY_BYTES
    upstream.stop()
