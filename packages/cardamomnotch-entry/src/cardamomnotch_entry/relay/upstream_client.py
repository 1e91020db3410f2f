"""HTTP client for upstreams with one connection per attempt."""

import asyncio
import functools
import socket
import time
from collections.abc import AsyncIterator, Callable
from typing import Any

import aiohttp
from aiohttp import hdrs
from multidict import CIMultiDict
from yarl import URL

from cardamomnotch_core.relay.const import CONNECT_TIMEOUT_S
from cardamomnotch_core.relay.loop_share import LoopShares
from cardamomnotch_runtime.response_memory import HeldResponse, ResponseMemory
from cardamomnotch_runtime.upstream_session import (
    InvalidStatusError,
    OversizeError,
    UpstreamResponseHandler,
    create_upstream_session,
    hold_response,
    is_connection_refused,
)

from .const import (
    KEEPALIVE_IDLE_S,
    KEEPALIVE_INTERVAL_S,
    KEEPALIVE_PROBES,
    MAX_LINE_BYTES,
    MIN_MEASURED_BYTES,
    REACHABILITY_TIMEOUT_S,
    READ_BUFFER_BYTES,
    RECEIVE_BUFFER_BYTES,
    TCP_USER_TIMEOUT_MS,
)
from .exceptions import (
    InvalidResponseError,
    ResponseLostError,
    ResponseTooLargeError,
    UpstreamUnreachableError,
)
from .models import ResponseFraming

# Statuses of responses that have no body, whatever their headers say.
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_DEFAULT_HEADERS = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")


class _LimitingResponseHandler(UpstreamResponseHandler):
    """Limits the processing time of a response as well as its head and framing."""

    def __init__(self, loop: asyncio.AbstractEventLoop, shares: LoopShares) -> None:
        super().__init__(loop=loop)
        self._share = shares.open(time.monotonic())
        # Ends a pause in reading, while there is one.
        self._pause_timer: asyncio.TimerHandle | None = None

    def data_received(self, data: bytes) -> None:
        """Parse the data, and record how long that took."""
        # Without data, the rest of earlier data is parsed after a pause.
        if 0 < len(data) < MIN_MEASURED_BYTES:
            super().data_received(data)
        else:
            began_at_s = time.thread_time()
            super().data_received(data)
            self.record_processing(time.thread_time() - began_at_s)

    def record_processing(self, used_s: float) -> None:
        """Record the processor time that received bytes took, in seconds.

        Reads no more for a while if the response uses too much of the loop's time.
        """
        pause_s = self._share.record_used(used_s, time.monotonic())
        if not pause_s or self.transport is None:
            return
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        self._pause_timer = self._loop.call_later(pause_s, self._end_pause)
        self._pause_transport_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on if reading is paused.

        The library calls this for each chunk that is taken from the buffer, and
        starts its parser for it.
        """
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _end_pause(self) -> None:
        self._pause_timer = None
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def _resume_transport_reading(self) -> None:
        """Read on, unless the response has to pause."""
        if self._pause_timer is None:
            super()._resume_transport_reading()


def response_framing(response: aiohttp.ClientResponse) -> ResponseFraming:
    """Return how the end of the response's body is recognized."""
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return ResponseFraming.CHUNKED
    if "Content-Length" in response.headers:
        return ResponseFraming.LENGTH
    return ResponseFraming.CONNECTION_END


def ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    """Return whether the response has a body that any end of the connection ends."""
    return (
        response_framing(response) is ResponseFraming.CONNECTION_END
        and response.method != hdrs.METH_HEAD
        and response.status not in _STATUSES_WITHOUT_BODY
    )


def _describe_invalid_head(error: aiohttp.ClientError) -> str:
    """Return why a head is invalid, without any of its bytes."""
    if not isinstance(error, aiohttp.ClientResponseError):
        return str(error)
    # The parser quotes the line that it could not read after a colon.
    return f"malformed response head: {error.message.partition(':')[0]}"


def _create_socket(address: Any) -> socket.socket:
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        created.setsockopt(socket.IPPROTO_TCP, option, value)
    return created


class UpstreamClient:
    """Sends attempts to upstreams, each over a new connection.

    A connection used once cannot deliver another attempt's response, and
    cannot have been dropped silently while idle. ``memory`` limits what is held of all
    unfinished responses. ``count_pause`` is called when a
    response is not read on for a while, since it takes too much of the event loop.
    """

    def __init__(
        self,
        memory: ResponseMemory,
        count_pause: Callable[[], None] = lambda: None,
    ) -> None:
        self._memory = memory
        connector = aiohttp.TCPConnector(
            limit=0, force_close=True, socket_factory=_create_socket
        )
        self._shares = LoopShares(count_pause)
        self._session = create_upstream_session(
            connector,
            functools.partial(_LimitingResponseHandler, shares=self._shares),
            skip_auto_headers=_DEFAULT_HEADERS,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )

    def hold(self, response: aiohttp.ClientResponse) -> HeldResponse:
        """Return the record of what is held of a response."""
        return hold_response(self._memory, response)

    def process_part(
        self,
        response: aiohttp.ClientResponse,
        function: Callable[[bytes], bytes],
        data: bytes,
    ) -> bytes:
        """Return ``function(data)`` for a part of a response's body.

        The time that it takes counts as the processing of the response.
        """
        if len(data) < MIN_MEASURED_BYTES:
            return function(data)
        began_at_s = time.thread_time()
        try:
            return function(data)
        finally:
            connection = response.connection
            if connection is not None and connection.protocol is not None:
                connection.protocol.record_processing(time.thread_time() - began_at_s)

    async def async_send(
        self,
        address: str,
        method: str,
        target: str,
        headers: CIMultiDict[str],
        body: bytes,
    ) -> aiohttp.ClientResponse:
        """Return the response once its head has arrived.

        Raises UpstreamUnreachableError if the request was not sent,
        InvalidResponseError if the head is malformed, and ResponseLostError if the
        request may have been sent otherwise.
        """
        url = URL(f"http://{address}{target}", encoded=True)
        try:
            return await self._session.request(
                method,
                url,
                headers=headers,
                data=body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise UpstreamUnreachableError(
                type(error).__name__, is_refused=is_connection_refused(error)
            ) from error
        except OversizeError as error:
            raise ResponseTooLargeError(str(error)) from error
        except (aiohttp.ClientResponseError, InvalidStatusError) as error:
            raise InvalidResponseError(_describe_invalid_head(error)) from error
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise ResponseLostError(f"{type(error).__name__}: {error}") from error

    async def async_iter_body(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[bytes]:
        """Yield a response's body as it arrives.

        Raises ResponseLostError if the connection fails within the body.
        """
        try:
            async for data in response.content.iter_any():
                yield data
        except OversizeError as error:
            raise ResponseTooLargeError(str(error)) from error
        except (aiohttp.ClientError, OSError) as error:
            raise ResponseLostError(f"{type(error).__name__}: {error}") from error

    async def async_is_up(self, address: str) -> bool:
        """Return whether the upstream still accepts TCP connections."""
        return await self._async_connect(address) is None

    async def async_has_ended(self, address: str) -> bool:
        """Return whether nothing listens at the upstream's address any more."""
        error = await self._async_connect(address)
        return isinstance(error, ConnectionRefusedError)

    async def _async_connect(self, address: str) -> Exception | None:
        """Open a connection and close it; return why it could not be opened."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(REACHABILITY_TIMEOUT_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError) as error:
            return error
        writer.close()
        return None

    async def async_unload(self) -> None:
        """Close all connections."""
        await self._session.close()
