"""JSON responses of the HTTP servers."""

import math
from typing import Any

import orjson
from aiohttp import web

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import describe

_HEADER_RETRY_AFTER = "Retry-After"


def json_response(
    data: Any, *, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return a response with ``data`` encoded as JSON."""
    body = orjson.dumps(data, option=orjson.OPT_NON_STR_KEYS, default=str)
    return web.Response(
        body=body, status=status, content_type="application/json", headers=headers
    )


def error_body(error: CardamomnotchError) -> dict[str, Any]:
    """Return the JSON object that describes ``error`` to the client."""
    return {
        "error": {
            "code": int(error.code),
            "type": error.code.name.lower(),
            "message": error.detail,
            "retry_after_s": error.retry_after_s,
        }
    }


def error_response(
    error: CardamomnotchError, headers: dict[str, str] | None = None
) -> web.Response:
    """Return the HTTP response for ``error``.

    Sets Retry-After, in whole seconds, if ``error`` has a retry time.
    """
    all_headers = dict(headers or {})
    if error.retry_after_s is not None:
        all_headers[_HEADER_RETRY_AFTER] = str(max(1, math.ceil(error.retry_after_s)))
    return json_response(
        error_body(error), status=describe(error.code).http_status, headers=all_headers
    )
