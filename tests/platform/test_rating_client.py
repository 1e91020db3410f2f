"""Contract of the rating service, which the stand-in passes too."""

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


async def test_score_is_read(serve_app, http_session):
    """The score of the version that answered comes back."""
    stand_in = RatingStandIn()
    stand_in.faults.active["scores"] = {"drafter/v1": 0.25}
    client = RatingClient(http_session, await serve_app(stand_in.create_app()))
    assert await client.async_rate(_REQUEST) == 0.25


@pytest.mark.parametrize(
    ("status", "body"),
    [
        pytest.param(503, "", id="down"),
        pytest.param(200, "no", id="not JSON"),
        pytest.param(200, "{}", id="no score"),
        pytest.param(200, '{"score": "high"}', id="not a number"),
        pytest.param(200, '{"score": 1.5}', id="out of range"),
    ],
)
async def test_unusable_answer_is_an_error(serve_app, http_session, status, body):
    """Anything but a score from 0 to 1 is an error, never a score."""

    async def answer(_: web.Request) -> web.Response:
        return web.Response(status=status, text=body)

    app = web.Application()
    app.router.add_post("/ratings", answer)
    client = RatingClient(http_session, await serve_app(app))
    with pytest.raises(RatingError):
        await client.async_rate(_REQUEST)


async def test_slow_service_is_given_up(serve_app, http_session):
    """A score that does not come in time is an error."""
    stand_in = RatingStandIn()
    stand_in.faults.active["delay_s"] = 5.0
    url = await serve_app(stand_in.create_app())
    with pytest.raises(RatingError):
        await RatingClient(http_session, url, timeout_s=0.05).async_rate(_REQUEST)
