"""HTTP client sessions for calls to upstreams."""

import asyncio
import functools
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler


class UpstreamResponseHandler(ResponseHandler):
    """Fails a body without a length if its connection was reset.

    aiohttp takes any end of the connection for the end of such a body.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Set an error on an unfinished body if the connection failed."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            error = aiohttp.ClientPayloadError(f"connection lost: {exc}")
            payload.set_exception(error)
        super().connection_lost(exc)


def create_upstream_session(
    connector: aiohttp.BaseConnector,
    response_handler: Callable[..., UpstreamResponseHandler] = UpstreamResponseHandler,
    **options: Any,
) -> aiohttp.ClientSession:
    """Return a session that sends each request at most once.

    aiohttp repeats requests with an idempotent method by itself when their
    connection breaks. Whether a request may be repeated depends on its route
    instead, and each repeat counts; the library has no public option for it,
    nor for the class that receives responses.
    """
    connector._factory = functools.partial(
        response_handler, loop=asyncio.get_running_loop()
    )
    session = aiohttp.ClientSession(connector=connector, **options)
    session._retry_connection = False
    return session


def is_connection_refused(error: BaseException) -> bool:
    """Return whether ``error`` means that a connection was refused."""
    return isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    )
