"""Splitting of server-sent event streams into complete events."""

from .const import MAX_EVENT_BYTES
from .exceptions import ResponseTooLargeError

# Line ends of which two in a row end an event. The combinations that begin with
# CR LF end with one of these.
_EVENT_SEPARATORS = (b"\n\n", b"\n\r\n", b"\r\r")
_MAX_SEPARATOR_BYTES = max(map(len, _EVENT_SEPARATORS))
_ID_FIELD = b"id:"


class EventSplitter:
    """Buffers the bytes of an event stream and returns complete events.

    Lines end with LF, CR LF or CR. ``last_event_id`` is the id of the last
    event that was returned.
    """

    def __init__(self, last_event_id: str = "") -> None:
        self._pending = b""
        self._last_event_id = last_event_id

    @property
    def last_event_id(self) -> str:
        """Return the id of the last complete event that has one."""
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

        Raises ResponseTooLargeError if an event exceeds its size limit.
        """
        if len(self._pending) + len(data) > MAX_EVENT_BYTES:
            raise ResponseTooLargeError(
                f"an event of the stream is larger than {MAX_EVENT_BYTES} bytes"
            )
        # A separator may begin at the end of the earlier bytes.
        search_start = max(0, len(self._pending) - _MAX_SEPARATOR_BYTES + 1)
        self._pending += data
        end = _end_of_events(self._pending, search_start)
        complete, self._pending = self._pending[:end], self._pending[end:]
        for line in complete.splitlines():
            if line.startswith(_ID_FIELD):
                event_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
                self._last_event_id = event_id or self._last_event_id
        return complete

    def discard_pending(self) -> None:
        """Discard the buffered bytes of an incomplete event."""
        self._pending = b""


def _end_of_events(data: bytes, search_start: int) -> int:
    """Return the position after the last separator; 0 if there is none."""
    ends = (
        position + len(separator)
        for separator in _EVENT_SEPARATORS
        if (position := data.rfind(separator, search_start)) >= 0
    )
    return max(ends, default=0)
