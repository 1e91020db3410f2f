"""JSON responses of the HTTP servers."""

import math
from typing import Any

import orjson
from aiohttp import web

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import describe

_HEADER_RETRY_AFTER = "Retry-After"
# Part of a body that is written at once, in bytes.
_SLICE_BYTES = 65_536


class SlicedResponse(web.Response):
    """Writes a large body in slices, as fast as its client reads.

    The library writes it at once, together with the head: as a second copy, which the
    connection holds until the client has read it.
    """

    async def write_eof(self, data: bytes = b"") -> None:
        """Write the body, and end the response."""
        body = self.body
        if (
            self._eof_sent
            or self._must_be_empty_body
            or not isinstance(body, bytes)
            or len(body) <= _SLICE_BYTES
        ):
            await super().write_eof(data)
            return
        view = memoryview(body)
        for start in range(0, len(body), _SLICE_BYTES):
            await self.write(view[start : start + _SLICE_BYTES])
        await web.StreamResponse.write_eof(self)


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
