"""Shared-key authentication of inner calls."""

import hmac
from collections.abc import Awaitable, Callable

from aiohttp import web

from cardamomnotch_protocol.exceptions import ProtocolError
from cardamomnotch_protocol.result_codes import ResultCode

from .const import HEADER_INNER_KEY
from .responses import error_response

_Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def inner_headers(inner_keys: tuple[str, ...]) -> dict[str, str]:
    """Return the headers that authenticate an inner call."""
    return {HEADER_INNER_KEY: inner_keys[0]}


def inner_key_middleware(inner_keys: tuple[str, ...]) -> Callable:
    """Return a middleware that refuses calls without a valid inner key."""
    valid = tuple(key.encode() for key in inner_keys)

    @web.middleware
    async def check(request: web.Request, handler: _Handler) -> web.StreamResponse:
        sent = request.headers.get(HEADER_INNER_KEY, "").encode()
        if not any(hmac.compare_digest(sent, key) for key in valid):
            return error_response(ProtocolError(code=ResultCode.UNAUTHENTICATED))
        return await handler(request)

    return check
