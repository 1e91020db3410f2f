"""HTTP connection that ends each request with one response, or is closed."""

import logging
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

from aiohttp import HttpVersion11, web

from cardamomnotch_protocol.exceptions import InternalError

from .response_writer import ResponseWriter
from .responses import error_response
from .socket_queues import reset_on_close

_LOGGER = logging.getLogger(__name__)


class SingleResponseConnection(web.RequestHandler):
    """Ends a request that fails unexpectedly with one response at most.

    The library writes its error response with the framing of a response that failed,
    unless some of that has been sent, and closes the connection without a response if
    the failure comes after the handler.
    """

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Handle a request; a failure closes the connection."""
        request._payload_writer = ResponseWriter(self, self._loop)
        try:
            return await super()._handle_request(request, start_time, request_handler)
        except BaseException:
            self._reset_unframed_response(request)
            raise

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response, or an error response if it fails before it is sent."""
        try:
            self._discard_unsent_response(request, resp)
            return await super().finish_response(request, resp, start_time)
        except ConnectionError:
            raise
        except Exception:
            _LOGGER.exception("writing the response to a request failed")
            resp = _internal_error_response()
        self._discard_unsent_response(request, resp)
        return await super().finish_response(request, resp, start_time)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = HTTPStatus.INTERNAL_SERVER_ERROR,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Log a failure, and return the response to its request.

        Raises ConnectionError, which closes the connection, if a part of another
        response has been sent.
        """
        response = super().handle_error(request, status, exc, message)
        if status == HTTPStatus.INTERNAL_SERVER_ERROR:
            return _internal_error_response()
        return response

    def _discard_unsent_response(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Let ``response`` replace another one that has not been sent.

        Raises ConnectionResetError if a part of another one has been sent, or if
        ``response`` has no head.
        """
        if response.prepared:
            if not request.writer.has_head:
                raise ConnectionResetError("the response has no head")
            return
        if request.writer.output_size:
            raise ConnectionResetError("another response to the request has begun")
        # The writer may have the head or the framing of the other response.
        request._payload_writer = ResponseWriter(self, self._loop)

    def _reset_unframed_response(self, request: web.BaseRequest) -> None:
        """Let an incomplete response that its connection ends not look complete."""
        writer = request.writer
        is_incomplete = writer.output_size and not writer._eof
        if (
            is_incomplete
            and request.version < HttpVersion11
            and self.transport is not None
        ):
            reset_on_close(self.transport)


def _internal_error_response() -> web.Response:
    response = error_response(InternalError())
    response.force_close()
    return response
