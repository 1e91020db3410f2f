"""Splitting of event streams whose lines end in different ways."""

import pytest

from cardamomnotch_entry.relay.event_stream import EventSplitter

from tests.stand_ins.platform_upstream import (
    HoldOpen,
    Send,
    chunk,
    event,
    head,
)

LINE_ENDS = {"LF": b"\n", "CR LF": b"\r\n", "CR": b"\r"}
each_line_end = pytest.mark.parametrize(
    "line_end", LINE_ENDS.values(), ids=[name.replace(" ", "") for name in LINE_ENDS]
)


def events_with(line_end, last):
    """Return the events up to ``last`` with these line ends."""
    return b"".join(event(number) for number in range(1, last + 1)).replace(
        b"\n", line_end
    )


@each_line_end
def test_event_is_returned_with_its_last_byte(line_end):
    """Each event is returned, with its id, by the byte that completes it."""
    splitter = EventSplitter()
    first = events_with(line_end, 1)
    for number in range(len(first) - 1):
        assert splitter.feed(first[number : number + 1]) == b""
        assert splitter.is_within_event
        assert splitter.last_event_id == ""
    assert splitter.feed(first[-1:]) == first
    assert not splitter.is_within_event
    assert splitter.last_event_id == "1"
    second = events_with(line_end, 2)[len(first) :]
    assert splitter.feed(second + b"id: 3") == second
    assert (splitter.last_event_id, splitter.pending) == ("2", b"id: 3")


@pytest.mark.parametrize(
    "separator", [b"\r\n\n", b"\n\r\n"], ids=["CRLF LF", "LF CRLF"]
)
def test_mixed_line_ends_separate_events(separator):
    """A blank line ends an event although its line end differs."""
    splitter = EventSplitter()
    data = b"id: 1" + separator
    assert splitter.feed(data + b"id: 2") == data


@each_line_end
async def test_events_are_forwarded_as_they_arrive(relay, line_end):
    """An event does not wait for the end of its stream, whatever its line ends."""
    events = events_with(line_end, 2)
    hold = HoldOpen()

    def respond(request):
        response_head = head(request, Transfer_Encoding="chunked")
        return [Send(response_head + chunk(events)), hold]

    await relay.async_add_upstream("up", respond)
    answer = await relay.async_call("/answer/x", X_Deadline_Ms="300")
    assert (answer.body, answer.broken) == (events, True)


@each_line_end
async def test_blank_lines_after_the_last_event_are_forwarded(relay, line_end):
    """Blank lines after an event begin no event, so the stream is complete."""
    body = events_with(line_end, 2) + line_end
    await relay.async_add_upstream("up", lambda request: [Send(head(request) + body)])
    answer = await relay.async_call("/answer/x")
    assert (answer.body, answer.broken) == (body, False)


@each_line_end
@pytest.mark.parametrize(
    ("text", "last_event_id"),
    [
        (b"id: 1\ndata: a\n\nid: 2\n\n", "1"),
        (b"id: 1\ndata: a\n\nid: 2\ndata:\n\n", "1"),
        (b"id: 1\ndata: a\n\ndata: b\n\n: comment\n\n", "1"),
        (b"data: a\nid: 1\n\nid: 9\n\ndata: b\n\n", "1"),
        (b"id: 1\nid: 2\ndata: a\n\n", "2"),
        (b"id: 1\ndata: a\nid:\n\n", "1"),
        (b"id: 1\ndata: a\n\n" + b"data: b\n\n" * 1_000, "1"),
        (b"id: 1\nevent: x\ndata: a\n\nid: 2\nevent: y\n\n", "1"),
        (b"xid: 1\ndata: a\n\n", ""),
        (b": id: 1\ndata: a\n\n", ""),
    ],
    ids=[
        "id alone",
        "empty data",
        "data without an id",
        "data before its id",
        "two ids",
        "empty id",
        "id far back",
        "event without data",
        "other field",
        "comment",
    ],
)
def test_id_without_data_is_not_resumed_from(line_end, text, last_event_id):
    """A stream goes on after the last event with data, which the caller has."""
    splitter = EventSplitter()
    data = text.replace(b"\n", line_end)
    assert splitter.feed(data) == data
    assert splitter.last_event_id == last_event_id
