"""Splitting of server-sent event streams into complete events."""

import re

from .const import MAX_BYTES_WITHOUT_DATA, MAX_EVENT_BYTES
from .exceptions import ResponseTooLargeError

# Line ends of which two in a row end an event. The combinations that begin with
# CR LF end with one of these.
_EVENT_SEPARATORS = (b"\n\n", b"\n\r\n", b"\r\r")
_MAX_SEPARATOR_BYTES = max(map(len, _EVENT_SEPARATORS))
# Fields that are not empty, in lines that begin with LF.
_DATA = re.compile(rb"\ndata:[ \t]*[^ \t\n]")
_ID = re.compile(rb"\nid:[ \t]*([^ \t\n][^\n]*)")
# Bytes that are searched for the last field before all are.
_LAST_LINES_BYTES = 2_048


class EventSplitter:
    """Buffers the bytes of an event stream and returns complete events.

    Lines end with LF, CR LF or CR. Only an event with data is a part of the answer:
    comments, blank lines, and ids alone keep a stream alive. ``last_event_id`` is the
    id of the last part that was returned.
    """

    def __init__(self, last_event_id: str = "") -> None:
        self._pending = b""
        self._last_event_id = last_event_id
        self._bytes_without_data = 0
        self._count = 0

    @property
    def count(self) -> int:
        """Return how many events there were, with those that keep a stream alive."""
        return self._count

    @property
    def last_event_id(self) -> str:
        """Return the id of the last complete event that has one, and data."""
        return self._last_event_id

    @property
    def pending(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._pending

    @property
    def is_within_event(self) -> bool:
        """Return whether an event has begun and is not complete."""
        return bool(self._pending.strip(b"\r\n"))

    def feed(self, data: bytes) -> bytes:
        """Buffer ``data`` and return the bytes of all complete events.

        Raises ResponseTooLargeError if an event exceeds its size limit, or if too
        many bytes have come since the last event with data.
        """
        if len(self._pending) + len(data) > MAX_EVENT_BYTES:
            raise ResponseTooLargeError(
                f"an event of the stream is larger than {MAX_EVENT_BYTES} bytes"
            )
        if self._bytes_without_data > MAX_BYTES_WITHOUT_DATA:
            raise ResponseTooLargeError(
                f"the stream has more than {MAX_BYTES_WITHOUT_DATA} bytes without data"
            )
        # A separator may begin at the end of the earlier bytes.
        search_start = max(0, len(self._pending) - _MAX_SEPARATOR_BYTES + 1)
        self._pending += data
        end = _end_of_events(self._pending, search_start)
        if not end:
            return b""
        complete, self._pending = self._pending[:end], self._pending[end:]
        self._record_events(complete)
        return complete

    def discard_pending(self) -> None:
        """Discard the buffered bytes of an incomplete event."""
        self._pending = b""
        self._bytes_without_data = 0

    def _record_events(self, complete: bytes) -> None:
        """Record the last id, and the bytes since the last event with data."""
        lines = b"\n" + complete.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        data = _last_match(_DATA, lines)
        if data is None:
            self._bytes_without_data += len(lines)
            return
        self._count += lines.count(b"\n\n")
        start, end = _event_around(lines, data.start())
        self._bytes_without_data = len(lines) - end
        event_id = _last_match(_ID, lines, start, end) or _last_id_with_data(lines)
        if event_id is not None:
            self._last_event_id = event_id[1].strip().decode("latin-1")


def _last_match(
    pattern: re.Pattern[bytes], lines: bytes, start: int = 0, end: int | None = None
) -> re.Match[bytes] | None:
    """Return the last match, which is mostly near the end; None if there is none."""
    end = len(lines) if end is None else end
    for first in (max(start, end - _LAST_LINES_BYTES), start):
        matches = list(pattern.finditer(lines, first, end))
        if matches:
            return matches[-1]
    return None


def _event_around(lines: bytes, position: int) -> tuple[int, int]:
    """Return the start and the end of the event whose line begins at ``position``."""
    start = lines.rfind(b"\n\n", 0, position + 1) + 1
    end = lines.find(b"\n\n", position + 1)
    return start, end if end >= 0 else len(lines)


def _last_id_with_data(lines: bytes) -> re.Match[bytes] | None:
    """Return the last id of an event with data; None if there is none."""
    for event_id in reversed(list(_ID.finditer(lines))):
        start, end = _event_around(lines, event_id.start())
        if _DATA.search(lines, start, end):
            return event_id
    return None


def _end_of_events(data: bytes, search_start: int) -> int:
    """Return the position after the last separator; 0 if there is none."""
    ends = (
        position + len(separator)
        for separator in _EVENT_SEPARATORS
        if (position := data.rfind(separator, search_start)) >= 0
    )
    return max(ends, default=0)
