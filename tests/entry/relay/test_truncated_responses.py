"""Responses that end early, by framing, kind of end, and position."""

import pytest

from tests.fixtures.truncated_responses import (
    COMPLETE_FRAMINGS,
    END_OF_BODY,
    ENDS,
    FRAMINGS,
    with_length,
)
from tests.stand_ins.platform_upstream import Send, event

BODY = b"booking"
EVENTS = event(1) + event(2)
LAST_EVENT = event(3)


each_framing = pytest.mark.parametrize(
    "framing", FRAMINGS, ids=lambda framing: framing.__name__
)
each_end = pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)


@pytest.fixture
def cut_stream(relay):
    """Return a function that starts upstreams whose streams end early.

    The position within the last event is an item of the returned list, and may
    be changed between two calls. A resumed stream is complete.
    """

    async def start(framing, end, count=1):
        positions = [0]

        def respond(request):
            if "last-event-id" in request.headers:
                assert request.headers["last-event-id"] == "2"
                return [Send(with_length(request, LAST_EVENT, LAST_EVENT))]
            sent = EVENTS + LAST_EVENT[: positions[0]]
            return [Send(framing(request, EVENTS + LAST_EVENT, sent)), *end]

        for number in range(count):
            await relay.async_add_upstream(f"up-{number}", respond)
        return positions

    return start


@each_end
@each_framing
async def test_truncated_stream_does_not_look_complete(relay, cut_stream, framing, end):
    """A stream that is cut within its last event is truncated for the caller."""
    positions = await cut_stream(framing, end)
    for positions[0] in range(1, len(LAST_EVENT)):
        answer = await relay.async_call("/answer/x")
        assert (positions[0], answer.broken) == (positions[0], True)
        assert answer.body == EVENTS


@each_end
@pytest.mark.parametrize(
    "framing", COMPLETE_FRAMINGS, ids=lambda framing: framing.__name__
)
async def test_complete_framing_does_not_complete_an_event(
    relay, cut_stream, framing, end
):
    """A stream that ends within an event is truncated, whatever its framing."""
    positions = await cut_stream(framing, end)
    for positions[0] in range(1, len(LAST_EVENT)):
        answer = await relay.async_call("/answer/x")
        assert (positions[0], answer.broken) == (positions[0], True)
        assert answer.body == EVENTS


@each_end
@pytest.mark.parametrize(
    "framing", FRAMINGS + COMPLETE_FRAMINGS, ids=lambda framing: framing.__name__
)
async def test_truncated_stream_is_resumed(relay, cut_stream, framing, end):
    """The caller gets each event of a resumable stream once, wherever it is cut."""
    positions = await cut_stream(framing, end, count=2)
    for positions[0] in range(1, len(LAST_EVENT)):
        answer = await relay.async_call("/draft/x", X_Model="small")
        assert (positions[0], answer.broken) == (positions[0], False)
        assert answer.body == EVENTS + LAST_EVENT


@each_end
@each_framing
async def test_stream_cut_between_events(relay, cut_stream, framing, end):
    """Between two events only the end of a body without framing is complete."""
    await cut_stream(framing, end)
    answer = await relay.async_call("/answer/x")
    assert answer.broken == ((framing, end) != END_OF_BODY)
    assert answer.body == EVENTS


@each_end
@each_framing
async def test_truncated_body_is_not_forwarded(relay, framing, end):
    """A body that is cut gets a 502; without framing its close is its end."""
    lengths = [0]

    def respond(request):
        return [Send(framing(request, BODY, BODY[: lengths[0]])), *end]

    await relay.async_add_upstream("up", respond, service="bookings")
    for lengths[0] in range(len(BODY)):
        answer = await relay.async_call("/book/x")
        expected = 200 if (framing, end) == END_OF_BODY else 502
        assert (lengths[0], answer.status) == (lengths[0], expected)
