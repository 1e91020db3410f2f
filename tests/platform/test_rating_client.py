"""Tests of the rating client against the rating service's stand-in."""

import pytest
from aiohttp import web

from cardamomnotch_platform.rating.client import RatingClient, RatingError
from cardamomnotch_platform.rating.models import RatingRequest

from tests.stand_ins.rating import RatingStandIn

_REQUEST = RatingRequest(
    request_id="r",
    version="drafter/v1",
    request_class="quick",
    request={"messages": []},
    answer="Twelve crates.",
)


async def test_score_is_returned(serve_app, http_session):
    """The client returns the score of the version that gave the answer."""
    stand_in = RatingStandIn()
    stand_in.faults.active["scores"] = {"drafter/v1": 0.25}
    client = RatingClient(http_session, await serve_app(stand_in.create_app()))
    assert await client.async_rate(_REQUEST) == 0.25


@pytest.mark.parametrize(
    ("status", "body"),
    [
        pytest.param(503, "", id="HTTP status 503"),
        pytest.param(200, "no", id="not JSON"),
        pytest.param(200, "{}", id="missing score"),
        pytest.param(200, '{"score": "high"}', id="score is not a number"),
        pytest.param(200, '{"score": 1.5}', id="score out of range"),
    ],
)
async def test_invalid_reply_raises_rating_error(serve_app, http_session, status, body):
    """Any reply other than a score from 0 to 1 raises RatingError."""

    async def reply(_: web.Request) -> web.Response:
        return web.Response(status=status, text=body)

    app = web.Application()
    app.router.add_post("/ratings", reply)
    client = RatingClient(http_session, await serve_app(app))
    with pytest.raises(RatingError):
        await client.async_rate(_REQUEST)


async def test_slow_reply_raises_rating_error(serve_app, http_session):
    """A reply that exceeds the time limit raises RatingError."""
    stand_in = RatingStandIn()
    stand_in.faults.active["delay_s"] = 5.0
    url = await serve_app(stand_in.create_app())
    with pytest.raises(RatingError):
        await RatingClient(http_session, url, timeout_s=0.05).async_rate(_REQUEST)
