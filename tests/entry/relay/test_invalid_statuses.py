"""Responses of upstreams with a status that is not one of a final response."""

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

from tests.sidecar.test_truncated_responses import ATTEMPT
from tests.stand_ins.platform_upstream import PlatformUpstreamStandIn, Send, head

STATUSES = ["000", "001", "099", "101", "600", "999"]
CLIENTS = {
    "model engine": functools.partial(EngineClient, memory=ResponseMemory(16_000_000)),
    "plain service": PlainServiceClient,
}


def respond_with(status, **headers):
    """Return a behavior that responds with a body and this status."""

    def respond(request):
        response = head(request, Content_Length="5", **headers) + b"whole"
        return [Send(response.replace(b"HTTP/1.1 200", f"HTTP/1.1 {status}".encode()))]

    return respond


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("route", ["book", "read", "answer", "draft"])
async def test_response_with_an_invalid_status_is_passed_on(relay, route, status):
    """The upstream has failed, and may have run the request."""
    service = "drafts" if route in ("answer", "draft") else "bookings"
    upstream = await relay.async_add_upstream(
        "up", respond_with(status), service=service
    )
    response = await relay.async_call(f"/{route}/x")
    assert (response.status, b"whole" in response.body) == (502, False)
    if route in ("book", "answer"):
        assert len(upstream.seen) == 1


@pytest.mark.parametrize("status", STATUSES)
async def test_invalid_status_promises_that_a_request_has_not_run(relay, status):
    """A response with an invalid status says nothing, whatever its headers say."""
    respond = respond_with(status, X_Not_Executed="1")
    upstream = await relay.async_add_upstream("up", respond, service="bookings")
    response = await relay.async_call("/book/x")
    assert (response.status, len(upstream.seen)) == (502, 1)


@pytest.mark.parametrize("create_client", CLIENTS.values(), ids=CLIENTS)
@pytest.mark.parametrize("status", STATUSES)
async def test_sidecar_passes_on_an_invalid_status(status, create_client):
    """A sidecar's upstream that responds so has failed."""
    upstream = PlatformUpstreamStandIn("up", respond_with(status))
    await upstream.async_start()
    async with create_upstream_session(aiohttp.TCPConnector(limit=0)) as session:
        client = create_client(session, f"http://{upstream.address}", 1.0)
        buffer = AnswerBuffer("r-1")
        with pytest.raises(UpstreamError) as failure:
            async with asyncio.timeout(5):
                await client.async_call(ATTEMPT, b"{}", buffer)
    assert failure.value.started
    upstream.stop()
