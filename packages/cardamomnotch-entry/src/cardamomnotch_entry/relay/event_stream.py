"""Splitting of server-sent event streams into complete events."""

from .const import MAX_EVENT_BYTES
from .exceptions import ResponseTooLargeError

_EVENT_SEPARATOR = b"\n\n"
_ID_FIELD = b"id:"


class EventSplitter:
    """Buffers the bytes of an event stream and returns complete events.

    ``last_event_id`` is the id of the last event that was returned.
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
        """Return the bytes of the last, still incomplete event."""
        return self._pending

    def feed(self, data: bytes) -> bytes:
        """Buffer ``data`` and return the bytes of all complete events.

        Raises ResponseTooLargeError if an event exceeds its size limit.
        """
        if len(self._pending) + len(data) > MAX_EVENT_BYTES:
            raise ResponseTooLargeError(
                f"an event of the stream is larger than {MAX_EVENT_BYTES} bytes"
            )
        data = self._pending + data
        end = data.rfind(_EVENT_SEPARATOR)
        if end < 0:
            self._pending = data
            return b""
        end += len(_EVENT_SEPARATOR)
        complete, self._pending = data[:end], data[end:]
        for event in complete.split(_EVENT_SEPARATOR):
            if event:
                self._last_event_id = _event_id(event) or self._last_event_id
        return complete

    def discard_pending(self) -> None:
        """Discard the buffered bytes of an incomplete event."""
        self._pending = b""


def _event_id(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return ""
