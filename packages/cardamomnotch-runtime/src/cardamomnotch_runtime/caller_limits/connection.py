"""HTTP connection of a caller, within the limits of its guard."""

import asyncio
import math
import socket
import time
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Final

from aiohttp import StreamReader, hdrs, web
from aiohttp.http_parser import HttpRequestParser

from cardamomnotch_core.relay.loop_share import LoopShares

from ..single_response import SingleResponseConnection
from ..socket_queues import unacknowledged_bytes, unread_bytes, unsent_bytes
from .budget import CallerState, ShedReason
from .const import (
    MAX_BYTES_AHEAD,
    MAX_HEAD_BYTES,
    MAX_REQUESTS_AHEAD,
    MAX_UNREAD_BYTES,
    MAX_UNREAD_CHECK_S,
    MAX_UNSENT_CHECK_S,
    MIN_UNREAD_CHECK_S,
    MIN_UNSENT_CHECK_S,
    READ_BUFFER_BYTES,
    RECEIVE_BUFFER_BYTES,
    UNREAD_TIMEOUT_S,
)
from .guard import CallerGuard

_STATUSES: Final = {
    ShedReason.HEAD_TOO_LARGE: HTTPStatus.BAD_REQUEST,
    ShedReason.STALLED: HTTPStatus.REQUEST_TIMEOUT,
    ShedReason.MEMORY: HTTPStatus.SERVICE_UNAVAILABLE,
    ShedReason.WAITED: HTTPStatus.SERVICE_UNAVAILABLE,
}
_RETRY_AFTER_S = 1
# Smallest read whose processing time is measured, in bytes.
_MIN_MEASURED_BYTES = 8_192


def limit_receive_buffer(bound_socket: socket.socket) -> None:
    """Limit what one read of an accepted connection can return."""
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def _refusal(status: HTTPStatus) -> bytes:
    return (
        f"HTTP/1.1 {status.value} {status.phrase}\r\nContent-Length: 0\r\n"
        f"Retry-After: {_RETRY_AFTER_S}\r\nConnection: close\r\n\r\n"
    ).encode()


class GuardedConnection(SingleResponseConnection):
    """Pauses reading, and refuses or closes, as the guard decides."""

    def __init__(
        self,
        server: web.Server,
        guard: CallerGuard,
        shares: LoopShares,
        max_body_bytes: int,
        **kwargs: Any,
    ) -> None:
        super().__init__(server, read_bufsize=READ_BUFFER_BYTES, **kwargs)
        self._limit_requests_ahead(kwargs.get("auto_decompress", True))
        self._guard = guard
        self._share = shares.open(time.monotonic())
        self._max_body_bytes = max_body_bytes
        self._state: CallerState | None = None
        self._is_shed = False
        # Whether the last response is sent, and nothing else is read.
        self._is_dropping = False
        # Reasons for which nothing is read now.
        self._holds: set[str] = set()
        self._head_bytes = 0
        self._bytes_ahead = 0
        # Request whose response has not been sent yet; the library forgets it when its
        # response has been made.
        self._served: web.BaseRequest | None = None
        # Rest of a body that is read and dropped; None if there is none.
        self._discarded: StreamReader | None = None

    @property
    def _is_discarding(self) -> bool:
        return self._discarded is not None and not self._discarded.is_eof()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Record the connection."""
        super().connection_made(transport)
        self._state = self._guard.open(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Release what was held for the connection."""
        if self._state is not None:
            self._guard.close(self._state)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse the data, and pause if there is no room for more."""
        if self._is_shed or self._is_dropping:
            return
        if not data or self._state is None:
            # The rest of earlier data is parsed, which may end the request.
            began_at_s = time.thread_time()
            super().data_received(data)
            self._record_processing(time.thread_time() - began_at_s)
            if self._has_head() and self.transport is not None:
                self._admit()
            return
        is_ahead = self._is_request_complete()
        if not self._is_discarding:
            self._guard.receive(self._state, len(data))
            if self._is_shed:
                return
        began_at_s = time.thread_time() if len(data) >= _MIN_MEASURED_BYTES else None
        super().data_received(data)
        if began_at_s is not None:
            self._record_processing(time.thread_time() - began_at_s)
        if self._is_shed or self.transport is None or self._is_discarding:
            return
        if is_ahead:
            self._bytes_ahead += len(data)
            if self._bytes_ahead > MAX_BYTES_AHEAD:
                self._hold("ahead")
        if len(self._messages) >= MAX_REQUESTS_AHEAD or self._has_bad_message():
            self._hold("ahead")
        if self._check_head(len(data)):
            self._admit()

    def pause_writing(self) -> None:
        """Record what the caller does not read."""
        super().pause_writing()
        self.measure_unsent()

    def measure_unsent(self) -> None:
        """Record how much of its answer the caller has read meanwhile."""
        if self.transport is not None and self._state is not None:
            size = self.transport.get_write_buffer_size()
            self._guard.record_unsent(self._state, size)

    def resume_writing(self) -> None:
        """Record that the caller reads on."""
        super().resume_writing()
        if self._state is not None:
            self._guard.record_unsent(self._state, 0)

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Handle a request once the answers before it have been read.

        The connection is busy until the kernel has taken the whole response.
        """
        self._guard.busy_connections.add(self)
        self._served = request
        try:
            # Requests sent ahead are served no faster than their answers are read.
            await self._async_wait_for_reader(unsent_bytes, MAX_UNREAD_BYTES)
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            self._served = None
            self._guard.busy_connections.discard(self)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Release what the request held once its response has been sent."""
        if request.method == hdrs.METH_CONNECT:
            # The library reads what follows as a tunnel's data, and, as there is none,
            # as the next requests. It may be a body.
            self._message_tail = b""
            self._is_dropping = True
            resp.force_close()
        try:
            result = await super().finish_response(request, resp, start_time)
            await self._async_wait_until_sent()
            if self._is_dropping:
                # The caller gets the refusal instead of a reset while it is sending.
                await asyncio.sleep(self._lingering_time)
            elif not result[0].keep_alive and request.content.is_eof():
                await self._async_drop_requests_ahead()
            return result
        finally:
            self._end_request(request)

    async def async_reserve_answer(self, size: int) -> None:
        """Wait until there is room for an answer that is sent as a whole."""
        if self._state is not None:
            await self._guard.async_reserve_answer(self._state, size)

    def resume_admitted(self) -> None:
        """Read the request on, which has been admitted."""
        self._release("admission")

    def shed(self, reason: ShedReason) -> None:
        """Refuse or close the connection."""
        self._is_shed = True
        transport = self.transport
        if transport is None:
            return
        status = _STATUSES.get(reason)
        has_response = self._is_request_complete() or self._is_discarding
        if has_response or status is None or self.writing_paused:
            transport.abort()
            return
        transport.write(_refusal(status))
        self.force_close()

    async def _async_wait_for_reader(
        self, measure: Callable[[asyncio.BaseTransport], int], most_bytes: int
    ) -> None:
        """Wait while ``measure`` returns more than ``most_bytes`` of the connection.

        Raises ConnectionResetError if the connection ends meanwhile.
        """
        check_s, least_bytes = MIN_UNREAD_CHECK_S, math.inf
        progress_at_s = time.monotonic()
        while self.transport is not None and not self._is_shed:
            held_bytes = measure(self.transport)
            if held_bytes <= most_bytes:
                return
            now_s = time.monotonic()
            if held_bytes < least_bytes:
                least_bytes, progress_at_s = held_bytes, now_s
            elif now_s - progress_at_s > UNREAD_TIMEOUT_S and self._state is not None:
                self._guard.shed(self._state, ShedReason.UNREAD)
                break
            if self._force_close:
                break
            await asyncio.sleep(check_s)
            check_s = min(2 * check_s, MAX_UNREAD_CHECK_S)
        raise ConnectionResetError("the connection ended before its caller read on")

    async def _async_drop_requests_ahead(self) -> None:
        """Drop the requests that follow a last response until it has been received.

        Closing a connection with unread data resets it, and what the caller has not
        received of the response would be lost.
        """
        if self.transport is None or not unread_bytes(self.transport):
            return
        self._is_dropping = True
        super()._resume_transport_reading()
        await self._async_wait_for_reader(unacknowledged_bytes, 0)

    async def _async_wait_until_sent(self) -> None:
        """Wait until the kernel has taken all that was written."""
        if self.transport is None or not self.transport.get_write_buffer_size():
            return
        check_s = 0.0
        while self.transport is not None and self.transport.get_write_buffer_size():
            self.measure_unsent()
            await asyncio.sleep(check_s)
            check_s = min(max(2 * check_s, MIN_UNSENT_CHECK_S), MAX_UNSENT_CHECK_S)
        self.measure_unsent()

    def _limit_requests_ahead(self, auto_decompress: bool) -> None:
        """Parse fewer requests ahead than the library does, which are 32."""
        self._max_msg_queue_size = MAX_REQUESTS_AHEAD
        self._msg_queue_resume_size = MAX_REQUESTS_AHEAD // 2
        self._parser = HttpRequestParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=self.max_line_size,
            max_field_size=self.max_field_size,
            max_headers=self.max_headers,
            payload_exception=web.RequestPayloadError,
            auto_decompress=auto_decompress,
            max_msg_queue_size=MAX_REQUESTS_AHEAD,
        )

    def _resume_transport_reading(self) -> None:
        if not self._holds:
            super()._resume_transport_reading()

    def _is_request_complete(self) -> bool:
        return self._served is not None and self._served.content.is_eof()

    def _has_head(self) -> bool:
        return bool(self._messages) or self._served is not None

    def _has_bad_message(self) -> bool:
        return any(not hasattr(message, "headers") for message, _ in self._messages)

    def _check_head(self, size: int) -> bool:
        """Return whether a whole head has arrived; refuse one that is too large."""
        if self._has_head():
            self._head_bytes = 0
            return True
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            self._guard.shed(self._state, ShedReason.HEAD_TOO_LARGE)
        return False

    def _admit(self) -> None:
        state = self._state
        if state is None or self._is_shed or self._is_discarding:
            return
        if self._is_request_complete() or (
            self._messages and self._messages[0][1].is_eof()
        ):
            self._guard.serve(state)
        if self._is_shed:
            return
        if not self._guard.admit(state, self._expected_bytes()):
            self._hold("admission")
        elif "admission" in self._holds:
            self._release("admission")

    def _expected_bytes(self) -> int:
        """Return the largest size that the request can have, in bytes."""
        head = self._served
        if head is None:
            head = self._messages[0][0]
        length = getattr(head, "headers", {}).get(hdrs.CONTENT_LENGTH, "")
        if length.isascii() and length.isdigit():
            return min(int(length), self._max_body_bytes) + MAX_HEAD_BYTES
        return self._max_body_bytes + MAX_HEAD_BYTES

    def _end_request(self, request: web.BaseRequest) -> None:
        if self._state is None or self._is_shed:
            return
        self._discarded = request.content
        kept_bytes = self._state.held_bytes if self._messages else 0
        self._guard.end_request(self._state, kept_bytes)
        self._bytes_ahead = 0
        self._holds.discard("admission")
        self._release("ahead")

    def _hold(self, reason: str) -> None:
        self._holds.add(reason)
        self._pause_transport_reading()

    def _release(self, reason: str) -> None:
        self._holds.discard(reason)
        if self._holds or self._reading_paused or self._buffer_paused:
            return
        super()._resume_transport_reading()

    def _record_processing(self, used_s: float) -> None:
        """Read no more for a while if the requests take too much of the loop."""
        pause_s = self._share.record_used(used_s, time.monotonic())
        if pause_s and self.transport is not None and "loop" not in self._holds:
            self._hold("loop")
            self._loop.call_later(pause_s, self._release, "loop")
