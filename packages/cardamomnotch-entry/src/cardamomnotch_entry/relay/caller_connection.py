"""Caller connections with time limits for receiving a request head."""

import asyncio
import logging
import select
from collections.abc import Awaitable, Callable
from typing import Any, Final

from aiohttp import web

from cardamomnotch_core.relay.loop_share import LoopShares
from cardamomnotch_core.relay.models import CallerLimits
from cardamomnotch_protocol.result_codes import ResultCode, describe
from cardamomnotch_runtime.caller_limits.connection import GuardedConnection
from cardamomnotch_runtime.caller_limits.guard import CallerGuard
from cardamomnotch_runtime.structured_log import log_event

_LOGGER = logging.getLogger(__name__)
_TOO_SLOW_STATUS = describe(ResultCode.REQUEST_TOO_SLOW).http_status
_TOO_SLOW_RESPONSE: Final = (
    f"HTTP/1.1 {_TOO_SLOW_STATUS.value} {_TOO_SLOW_STATUS.phrase}\r\n"
    "Content-Length: 0\r\nConnection: close\r\n\r\n"
).encode()


def _has_unread_data(transport: asyncio.BaseTransport) -> bool:
    """Return whether data has arrived that the process has not read yet."""
    poller = select.poll()
    poller.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
    return bool(poller.poll(0))


class CallerConnection(GuardedConnection):
    """HTTP connection that limits the time to the first byte and per head.

    aiohttp itself limits only the idle time between two requests.
    """

    def __init__(
        self,
        server: web.Server,
        limits: Callable[[], CallerLimits],
        guard: CallerGuard,
        shares: LoopShares,
        **kwargs: Any,
    ) -> None:
        super().__init__(server, guard, shares, limits().max_body_bytes, **kwargs)
        self._caller_limits = limits
        self._timer: asyncio.TimerHandle | None = None
        self._is_serving = False
        self._has_received_data = False
        # Whether a part of a request head has arrived.
        self._is_receiving = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request has arrived, not even in part or unread."""
        if self._is_serving or self._is_receiving or self._messages:
            return False
        return self.transport is None or not _has_unread_data(self.transport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout for the first byte."""
        super().connection_made(transport)
        self._start_timer(self._caller_limits().idle_timeout_s)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the running timeout."""
        self._stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Start the timeout for a request head at its first byte."""
        if not self._has_received_data:
            self._stop_timer()
        self._is_receiving = not self._is_serving
        if not self._is_serving and self._timer is None:
            self._has_received_data = True
            self._start_timer(self._caller_limits().header_timeout_s)
        super().data_received(data)

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on if reading is paused.

        The library calls this for each chunk that is taken from the buffer, and
        starts its parser for it.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Cancel the timeout, since a complete request head has arrived."""
        self._stop_timer()
        self._is_receiving = False
        self._is_serving = True
        return await super()._handle_request(request, start_time, request_handler)

    def _end_request(self, request: web.BaseRequest) -> None:
        """Accept the next request after the last one's response has been sent."""
        has_next_part = bool(self._bytes_ahead) and not self._messages
        super()._end_request(request)
        # The rest of a refused body is no next request.
        self._is_serving = not request.content.at_eof()
        if has_next_part and not self._is_serving:
            self._is_receiving = True
            self._start_timer(self._caller_limits().header_timeout_s)

    def _start_timer(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._close_on_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_on_timeout(self) -> None:
        self._timer = None
        if self.transport is None or self._is_serving:
            return
        log_event(
            _LOGGER,
            "caller connection closed: no complete request head in time",
            has_sent=self._has_received_data,
        )
        if self._has_received_data:
            self.transport.write(_TOO_SLOW_RESPONSE)
        self.force_close()
