"""Buffer for the answer of one attempt, which readers can resume."""

import asyncio
import time
from collections.abc import AsyncIterator, Mapping

from cardamomnotch_protocol.codec import encode
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import (
    AnswerChunk,
    AnswerHead,
    AttemptFinished,
    KeepAlive,
)
from cardamomnotch_protocol.result_codes import ResultCode

from .const import KEEP_ALIVE_INTERVAL_S, MAX_ANSWER_BUFFER_BYTES


class AnswerBuffer:
    """Keeps the latest bytes of an answer for any number of readers.

    Readers are the entries' connections that stream the answer.
    """

    def __init__(self, attempt_id: str) -> None:
        self._attempt_id = attempt_id
        self._head: AnswerHead | None = None
        self._data = bytearray()
        self._dropped_bytes = 0
        self._finished: AttemptFinished | None = None
        self._changed = asyncio.Event()
        self._reader_count = 0
        self._without_reader_since_s = time.monotonic()

    @property
    def total_bytes(self) -> int:
        """Return the number of bytes received, including dropped ones."""
        return self._dropped_bytes + len(self._data)

    @property
    def retained_bytes(self) -> bytes:
        """Return the bytes in the buffer; the oldest may have been dropped."""
        return bytes(self._data)

    @property
    def status(self) -> int:
        """Return the HTTP status of the answer; 0 before its head arrives."""
        return self._head.status if self._head else 0

    @property
    def content_type(self) -> str:
        """Return the content type of the answer; empty if it is not known."""
        return self._head.headers.get("Content-Type", "") if self._head else ""

    def time_without_reader_s(self) -> float:
        """Return for how many seconds the answer has had no reader."""
        return (
            0.0
            if self._reader_count
            else time.monotonic() - self._without_reader_since_s
        )

    def check_offset(self, offset: int) -> None:
        """Check that the buffer can be read from byte ``offset``.

        Raises CardamomnotchError with SHORT_ANSWER if bytes after ``offset``
        were dropped, or if ``offset`` is past the end.
        """
        if not self._dropped_bytes <= offset <= self.total_bytes:
            raise CardamomnotchError(code=ResultCode.SHORT_ANSWER)

    def set_head(self, status: int, headers: Mapping[str, str]) -> None:
        """Set the HTTP status and headers of the answer."""
        self._head = AnswerHead(
            attempt_id=self._attempt_id, status=status, headers=headers
        )
        self._notify_readers()

    def append(self, data: bytes) -> None:
        """Append bytes, dropping the oldest ones when the buffer is full."""
        self._data += data
        excess_bytes = len(self._data) - MAX_ANSWER_BUFFER_BYTES
        if excess_bytes > 0:
            del self._data[:excess_bytes]
            self._dropped_bytes += excess_bytes
        self._notify_readers()

    def finish(self, message: AttemptFinished) -> None:
        """Mark the answer as ended, with the attempt's last message."""
        self._finished = message
        self._notify_readers()

    async def async_frames(self, offset: int) -> AsyncIterator[bytes]:
        """Yield encoded frames from byte ``offset`` to the end of the answer.

        Raises CardamomnotchError with SHORT_ANSWER if bytes that were not yet
        read have been dropped.
        """
        self._reader_count += 1
        try:
            async for data in self._async_follow(offset):
                yield data
        finally:
            self._reader_count -= 1
            self._without_reader_since_s = time.monotonic()

    async def _async_follow(self, offset: int) -> AsyncIterator[bytes]:
        head_sent = False
        while True:
            changed = self._changed
            if self._head is not None and not head_sent:
                head_sent = True
                yield encode(self._head)
            if offset < self._dropped_bytes:
                raise CardamomnotchError(code=ResultCode.SHORT_ANSWER)
            data = bytes(self._data[offset - self._dropped_bytes :])
            if data:
                chunk = AnswerChunk(attempt_id=self._attempt_id, offset=offset)
                offset += len(data)
                yield encode(chunk, data)
            if self._finished is not None and offset == self.total_bytes:
                yield encode(self._finished)
                return
            if changed is self._changed and not await _async_wait_for_change(changed):
                yield encode(KeepAlive(attempt_id=self._attempt_id))

    def _notify_readers(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


async def _async_wait_for_change(changed: asyncio.Event) -> bool:
    """Return whether ``changed`` was set before the keep-alive interval."""
    try:
        async with asyncio.timeout(KEEP_ALIVE_INTERVAL_S):
            await changed.wait()
    except TimeoutError:
        return False
    return True
