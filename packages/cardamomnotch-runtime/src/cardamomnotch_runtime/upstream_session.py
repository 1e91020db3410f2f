"""HTTP client sessions for calls to upstreams."""

import asyncio
import functools
import socket
from collections.abc import Callable
from typing import Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from .response_memory import HeldResponse, ResponseMemory
from .socket_queues import unacknowledged_bytes

# Maximum size of a response's head, and of its framing for each byte of its
# body: chunks of a single byte take six bytes.
MAX_RESPONSE_HEAD_BYTES: Final = 65_536
MAX_FRAMING_RATIO: Final = 16
# Statuses of final responses; interim ones (1xx) are not passed on.
MIN_FINAL_STATUS: Final = 200
MAX_FINAL_STATUS: Final = 599
# Interval at which a request is checked that is still being sent when its response
# has ended, in seconds.
UPLOAD_CHECK_INTERVAL_S: Final = 0.01


class InvalidStatusError(aiohttp.ClientError):
    """A response whose status is not that of a final response."""


class OversizeError(aiohttp.ClientPayloadError):
    """A response whose head or framing exceeds its size limit."""


class UpstreamResponseHandler(ResponseHandler):
    """Fails oversize heads and framing, and a body without a length after a reset.

    aiohttp limits single header lines only, not empty lines, interim responses or
    chunk extensions, and takes any end of the connection for the end of such a body.

    If an upstream ends its response while the request is still being sent, a reset
    may follow. So the response ends when the upstream has received the request.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        # Bytes of the response that is being received.
        self._received_bytes = 0
        # Runs while a response has ended before its request.
        self._upload_timer: asyncio.TimerHandle | None = None

    def set_response_params(self, **params: Any) -> None:
        """Begin a response; called by the library for each request."""
        self._received_bytes = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse the data unless the response's head or framing is too large."""
        self._received_bytes += len(data)
        super().data_received(data)
        body_bytes = self._payload.total_bytes if self._payload is not None else 0
        limit = MAX_RESPONSE_HEAD_BYTES + MAX_FRAMING_RATIO * body_bytes
        if self._received_bytes > limit:
            self._fail(OversizeError("the head or framing exceeds its size limit"))

    def eof_received(self) -> bool:
        """Return whether the connection stays open, since the request is being sent."""
        super().eof_received()
        payload = self._payload
        if payload is None or payload.is_eof() or not self._is_sending():
            return False
        self._start_upload_timer()
        return True

    def _is_sending(self) -> bool:
        """Return whether the upstream has not received all of the request."""
        transport = self.transport
        if transport is None:
            return False
        return bool(
            transport.get_write_buffer_size() or unacknowledged_bytes(transport)
        )

    def _start_upload_timer(self) -> None:
        self._upload_timer = self._loop.call_later(
            UPLOAD_CHECK_INTERVAL_S, self._check_upload
        )

    def _check_upload(self) -> None:
        """End the response once its request has been sent; fail it after a reset."""
        self._upload_timer = None
        transport = self.transport
        if transport is None:
            return
        connection = transport.get_extra_info("socket")
        code = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(
                aiohttp.ClientPayloadError(
                    f"connection lost while the request was being sent: error {code}"
                )
            )
        elif self._is_sending():
            self._start_upload_timer()
        else:
            transport.close()

    def _fail(self, error: aiohttp.ClientPayloadError) -> None:
        """Fail the response that is being received, and disconnect."""
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Set an error on an unfinished body if the connection failed."""
        if self._upload_timer is not None:
            self._upload_timer.cancel()
            self._upload_timer = None
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            error = aiohttp.ClientPayloadError(f"connection lost: {exc}")
            payload.set_exception(error)
        super().connection_lost(exc)


class UpstreamResponse(aiohttp.ClientResponse):
    """A response with the status of a final one, which callers can be given."""

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Receive the head; raise InvalidStatusError if it has another status."""
        await super().start(connection)
        if not MIN_FINAL_STATUS <= self.status <= MAX_FINAL_STATUS:
            self.close()
            raise InvalidStatusError(f"invalid HTTP status {self.status:03}")
        return self


def create_upstream_session(
    connector: aiohttp.BaseConnector,
    response_handler: Callable[..., UpstreamResponseHandler] = UpstreamResponseHandler,
    **options: Any,
) -> aiohttp.ClientSession:
    """Return a session that sends each request at most once.

    Its responses have a status from 200 to 599.

    aiohttp repeats requests with an idempotent method by itself when their
    connection breaks. Whether a request may be repeated depends on its route
    instead, and each repeat counts; the library has no public option for it,
    nor for the class that receives responses.
    """
    connector._factory = functools.partial(
        response_handler, loop=asyncio.get_running_loop()
    )
    session = aiohttp.ClientSession(
        connector=connector, response_class=UpstreamResponse, **options
    )
    session._retry_connection = False
    return session


def hold_response(
    memory: ResponseMemory, response: aiohttp.ClientResponse
) -> HeldResponse:
    """Return the record of what is held of ``response``.

    If all responses hold too much, reading on raises OversizeError.
    """

    def end() -> None:
        response.content.set_exception(
            OversizeError("the unfinished responses of the process are too large")
        )

    return memory.open(end)


def is_connection_refused(error: BaseException) -> bool:
    """Return whether ``error`` means that a connection was refused."""
    return isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    )
