"""HTTP exchange with one caller while its request is being served."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

import attrs
import orjson
from aiohttp import web

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import Usage
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.responses import error_body, error_response

from ..const import HEADER_NOT_RUN, HEADER_REQUEST_ID, HEADER_RESULT_CODE
from ..ratings.const import MAX_RATED_ANSWER_BYTES
from ..sessions.caller_sessions import CallerSession

_STREAM_END_EVENT = b"data: [DONE]\n\n"
_FORWARDED_HEADERS = ("Content-Type",)


class CallerDisconnectedError(CardamomnotchError):
    """The caller closed its connection before the answer was complete."""

    code = ResultCode.CALLER_GONE


@attrs.frozen
class RequestResult:
    """Result of a request: its usage if it succeeded, or an error."""

    error: CardamomnotchError | None = None
    usage: Usage = Usage()
    not_run: bool = False


class CallerExchange:
    """Keeps a request's body and forwards the answer to the caller.

    Streams are forwarded as they arrive, other answers once complete.
    """

    def __init__(
        self,
        http_request: web.Request,
        request_id: str,
        body: bytes,
        *,
        stream: bool,
        session: CallerSession | None = None,
    ) -> None:
        self._http_request = http_request
        self._request_id = request_id
        self._stream = stream
        self._retains_answer_start = False
        self._answer_start = bytearray()
        self._session = session
        self._body = body
        self._buffered_answer = bytearray()
        self._status = 200
        self._headers: dict[str, str] = {HEADER_REQUEST_ID: request_id}
        self._response: web.StreamResponse | None = None
        self._abandoned = False
        self._result: asyncio.Future[RequestResult] = (
            asyncio.get_running_loop().create_future()
        )

    def retain_answer_start(self) -> None:
        """Keep the first MAX_RATED_ANSWER_BYTES of the answer for rating."""
        self._retains_answer_start = True

    @property
    def answer_start(self) -> bytes:
        """Return the start of the answer; empty if it was not kept."""
        return bytes(self._answer_start)

    @property
    def body(self) -> bytes:
        """Return the body of the request."""
        return self._body

    @property
    def status(self) -> int:
        """Return the HTTP status of the answer received so far."""
        return self._status

    @property
    def content_type(self) -> str:
        """Return the content type of the answer received so far."""
        return self._headers.get("Content-Type", "")

    @property
    def answer(self) -> bytes:
        """Return the answer received so far; empty for a successful stream."""
        return bytes(self._buffered_answer)

    def reset_answer(self, headers: Mapping[str, str]) -> None:
        """Discard the unforwarded answer of an earlier attempt."""
        self._buffered_answer.clear()
        self._answer_start.clear()
        self._headers.update(headers)
        if self._session is not None:
            self._headers.update(self._session.response_headers(headers))

    async def async_set_response_head(
        self, status: int, headers: Mapping[str, str]
    ) -> None:
        """Set the status and headers of the answer."""
        self._status = status
        for name in _FORWARDED_HEADERS:
            if headers.get(name):
                self._headers[name] = headers[name]

    async def async_write(self, data: bytes) -> None:
        """Add ``data`` to the answer.

        Raises CallerDisconnectedError if the caller closed its connection.
        """
        if (
            self._retains_answer_start
            and len(self._answer_start) < MAX_RATED_ANSWER_BYTES
        ):
            self._answer_start += data[
                : MAX_RATED_ANSWER_BYTES - len(self._answer_start)
            ]
        if not (self._stream and self._status == 200):
            self._buffered_answer += data
            return
        try:
            if self._response is None:
                self._response = await self._async_start_response()
            await self._response.write(data)
        except ConnectionError as error:
            raise CallerDisconnectedError from error

    @property
    def has_ended(self) -> bool:
        """Return whether the result of the request is known."""
        return self._result.done()

    @property
    def is_abandoned(self) -> bool:
        """Return whether the request continues without its caller."""
        return self._abandoned

    def abandon(self) -> None:
        """Record that the caller disconnected while its request continues."""
        self._abandoned = True

    def set_stored_answer(self, status: int, content_type: str, answer: bytes) -> None:
        """Answer with the stored answer of the request's first execution."""
        self._status = status
        self._headers["Content-Type"] = content_type
        self._buffered_answer = bytearray(answer)

    def set_result(self, result: RequestResult) -> None:
        """Set the result of the request, unless it has one already."""
        if not self._result.done():
            self._result.set_result(result)

    async def async_finish(
        self, before_completion: Callable[[str], Awaitable[None]]
    ) -> web.StreamResponse:
        """Wait for the result, and return the HTTP response for the caller.

        Awaits ``before_completion`` with the request id before it completes a
        successful response.
        """
        result = await self._result
        if result.error is not None:
            return await self._async_finish_with_error(result.error, result.not_run)
        await before_completion(self._request_id)
        if self._stream and self._status == 200:
            response = self._response or await self._async_start_response()
            await response.write(_STREAM_END_EVENT)
            await response.write_eof()
            return response
        return web.Response(
            body=bytes(self._buffered_answer),
            status=self._status,
            headers=self._headers,
        )

    async def _async_finish_with_error(
        self, error: CardamomnotchError, not_run: bool
    ) -> web.StreamResponse:
        if self._response is None:
            headers = {
                HEADER_REQUEST_ID: self._request_id,
                HEADER_RESULT_CODE: str(int(error.code)),
                HEADER_NOT_RUN: str(not_run).lower(),
            }
            return error_response(error, headers)
        # The status is already sent; the stream ends without its end event.
        event = b"data: " + orjson.dumps(error_body(error)) + b"\n\n"
        await self._response.write(event)
        await self._response.write_eof()
        return self._response

    async def _async_start_response(self) -> web.StreamResponse:
        response = web.StreamResponse(status=self._status, headers=self._headers)
        await response.prepare(self._http_request)
        return response
