"""Shared-key authentication of calls between the system's processes."""

import hmac
from collections.abc import Awaitable, Callable

from aiohttp import web

from cardamomnotch_protocol.exceptions import ProtocolError
from cardamomnotch_protocol.result_codes import ResultCode

from .const import HEADER_INNER_KEY
from .responses import error_response

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def inner_headers(inner_keys: tuple[str, ...]) -> dict[str, str]:
    """Return the headers that authenticate a call to another process.

    Only the first of ``inner_keys`` is sent.
    """
    return {HEADER_INNER_KEY: inner_keys[0]}


def inner_key_middleware(inner_keys: tuple[str, ...]) -> Callable:
    """Return a middleware that rejects requests without a valid inner key."""
    valid_keys = tuple(key.encode() for key in inner_keys)

    @web.middleware
    async def authenticate(
        request: web.Request, handler: _Handler
    ) -> web.StreamResponse:
        presented_key = request.headers.get(HEADER_INNER_KEY, "").encode()
        if not any(hmac.compare_digest(presented_key, key) for key in valid_keys):
            return error_response(ProtocolError(code=ResultCode.UNAUTHENTICATED))
        return await handler(request)

    return authenticate
