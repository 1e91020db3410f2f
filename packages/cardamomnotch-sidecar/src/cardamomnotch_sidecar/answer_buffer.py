"""The answer of one attempt, kept for readers that come back."""

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

from .const import KEEP_ALIVE_S, MAX_ANSWER_BUFFER_BYTES


class AnswerBuffer:
    """Holds an answer's bytes; any number of readers follow it."""

    def __init__(self, attempt_id: str) -> None:
        self._attempt_id = attempt_id
        self._head: AnswerHead | None = None
        self._data = bytearray()
        self._dropped_bytes = 0
        self._finished: AttemptFinished | None = None
        self._changed = asyncio.Event()
        self._readers = 0
        self._unread_since_s = time.monotonic()

    @property
    def total_bytes(self) -> int:
        """Return how many bytes the answer has so far."""
        return self._dropped_bytes + len(self._data)

    @property
    def data(self) -> bytes:
        """Return the bytes that are kept."""
        return bytes(self._data)

    @property
    def status(self) -> int:
        """Return the status of the answer; 0 if there is none yet."""
        return self._head.status if self._head else 0

    @property
    def content_type(self) -> str:
        """Return the content type of the answer."""
        return self._head.headers.get("Content-Type", "") if self._head else ""

    def unread_s(self) -> float:
        """Return for how many seconds nobody has followed the answer."""
        return 0.0 if self._readers else time.monotonic() - self._unread_since_s

    def check_offset(self, offset: int) -> None:
        """Raise CardamomnotchError with SHORT_ANSWER if bytes are gone."""
        if not self._dropped_bytes <= offset <= self.total_bytes:
            raise CardamomnotchError(code=ResultCode.SHORT_ANSWER)

    def set_head(self, status: int, headers: Mapping[str, str]) -> None:
        """Note status and headers of the upstream's answer."""
        self._head = AnswerHead(
            attempt_id=self._attempt_id, status=status, headers=headers
        )
        self._wake()

    def append(self, data: bytes) -> None:
        """Add bytes; the oldest go where the buffer is full."""
        self._data += data
        surplus = len(self._data) - MAX_ANSWER_BUFFER_BYTES
        if surplus > 0:
            del self._data[:surplus]
            self._dropped_bytes += surplus
        self._wake()

    def finish(self, message: AttemptFinished) -> None:
        """Note the last message of the attempt."""
        self._finished = message
        self._wake()

    async def async_frames(self, offset: int) -> AsyncIterator[bytes]:
        """Yield encoded frames from byte ``offset`` on, to the end.

        Raises CardamomnotchError with SHORT_ANSWER if those bytes are gone.
        """
        self._readers += 1
        try:
            async for data in self._async_follow(offset):
                yield data
        finally:
            self._readers -= 1
            self._unread_since_s = time.monotonic()

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
            if changed is self._changed and not await _async_wait(changed):
                yield encode(KeepAlive(attempt_id=self._attempt_id))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


async def _async_wait(changed: asyncio.Event) -> bool:
    """Return whether ``changed`` was set before a keep-alive is due."""
    try:
        async with asyncio.timeout(KEEP_ALIVE_S):
            await changed.wait()
    except TimeoutError:
        return False
    return True
