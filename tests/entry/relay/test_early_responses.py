"""Callers of upstreams that answer before they have read the request."""

import pytest

from tests.fixtures.early_upstream import BROKEN_ENDS, PART, EarlyUpstream
from tests.fixtures.relay_system import document
from tests.stand_ins.platform_upstream import PlatformUpstreamStandIn, stream

BODY = bytes(1_500_000)
FRAMINGS = {
    "no length": {},
    "chunks": {"Transfer_Encoding": "chunked"},
    "length": {"Content_Length": "1000"},
}


@pytest.fixture
async def early(relay):
    """Return a function that adds an early upstream, for long requests."""
    limits = {**document()["limits"], "max_body_bytes": 4_194_304}
    relay.store.put("op/config", document(2, limits=limits))
    await relay.async_wait_for(lambda: relay.entry.node.routes.version == 2)
    upstreams = []

    async def add(end, service, **headers):
        upstream = EarlyUpstream(end, **headers)
        upstreams.append(upstream)
        registered = PlatformUpstreamStandIn(upstream.upstream_id)
        registered.address = upstream.address
        relay.register(registered, service=service)
        await relay.async_wait_for(
            lambda: relay.entry.node.fleet.get(upstream.upstream_id) is not None
        )

    yield add
    for upstream in upstreams:
        upstream.stop()


@pytest.mark.parametrize("framing", FRAMINGS.values(), ids=FRAMINGS)
@pytest.mark.parametrize("end", BROKEN_ENDS, ids=lambda end: end.__name__)
@pytest.mark.parametrize("route", ["book", "read", "answer", "draft"])
async def test_part_of_a_response_during_the_upload_is_passed_on_as_whole(
    relay, early, route, end, framing
):
    """The caller gets a failure, or a response that is broken off."""
    service = "drafts" if route in ("answer", "draft") else "bookings"
    await early(end, service, **framing)
    response = await relay.async_call(f"/{route}/x", body=BODY)
    assert response.broken or response.status == 502


async def test_stream_goes_on_after_a_reset_during_the_upload(relay, early):
    """A stream that may be resumed is completed by another upstream."""
    await early(BROKEN_ENDS[-1], "drafts")
    await relay.async_add_upstream("other", stream(2, 3))
    bodies = set()
    for _ in range(4):
        response = await relay.async_call("/draft/x", body=BODY)
        assert (response.status, response.broken) == (200, False)
        bodies.add(response.body)
    assert bodies <= {
        PART + b"id: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n",
        b"id: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n",
    }
