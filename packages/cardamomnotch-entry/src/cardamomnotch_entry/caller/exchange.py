"""One caller's request while it is being served."""

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

_DONE_EVENT = b"data: [DONE]\n\n"
_KEPT_HEADERS = ("Content-Type",)


class CallerGoneError(CardamomnotchError):
    """The caller's connection is closed."""

    code = ResultCode.CALLER_GONE


@attrs.frozen
class Outcome:
    """The end of a request: whole with its usage, or an error."""

    error: CardamomnotchError | None = None
    usage: Usage = Usage()
    not_run: bool = False


class CallerExchange:
    """Holds a request's body, and passes its answer to the caller.

    Streams are passed on as they come; other answers only when whole.
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
        self._keeps_copy = False
        self._copy = bytearray()
        self._session = session
        self._body = body
        self._answer = bytearray()
        self._status = 200
        self._headers: dict[str, str] = {HEADER_REQUEST_ID: request_id}
        self._response: web.StreamResponse | None = None
        self._abandoned = False
        self._outcome: asyncio.Future[Outcome] = (
            asyncio.get_running_loop().create_future()
        )

    def keep_copy(self) -> None:
        """Keep the start of the answer, which is to be rated."""
        self._keeps_copy = True

    @property
    def copy(self) -> bytes:
        """Return the start of the answer, if it was kept."""
        return bytes(self._copy)

    @property
    def body(self) -> bytes:
        """Return the request's body."""
        return self._body

    @property
    def status(self) -> int:
        """Return the status of the answer so far."""
        return self._status

    @property
    def content_type(self) -> str:
        """Return the content type of the answer so far."""
        return self._headers.get("Content-Type", "")

    @property
    def answer(self) -> bytes:
        """Return the answer so far, if it is not a stream."""
        return bytes(self._answer)

    def restart_answer(self, headers: Mapping[str, str]) -> None:
        """Forget what a former attempt answered, none of it passed on."""
        self._answer.clear()
        self._copy.clear()
        self._headers.update(headers)
        if self._session is not None:
            self._headers.update(self._session.answer_headers(headers))

    async def async_set_head(self, status: int, headers: Mapping[str, str]) -> None:
        """Take the answer's status and headers."""
        self._status = status
        for name in _KEPT_HEADERS:
            if headers.get(name):
                self._headers[name] = headers[name]

    async def async_write(self, data: bytes) -> None:
        """Take a part of the answer; raise CallerGoneError if nobody reads."""
        if self._keeps_copy and len(self._copy) < MAX_RATED_ANSWER_BYTES:
            self._copy += data[: MAX_RATED_ANSWER_BYTES - len(self._copy)]
        if not (self._stream and self._status == 200):
            self._answer += data
            return
        try:
            if self._response is None:
                self._response = await self._async_prepare()
            await self._response.write(data)
        except ConnectionError as error:
            raise CallerGoneError from error

    @property
    def has_ended(self) -> bool:
        """Return whether the outcome is known."""
        return self._outcome.done()

    @property
    def is_abandoned(self) -> bool:
        """Return whether the request goes on without its caller."""
        return self._abandoned

    def abandon(self) -> None:
        """Note that the caller is gone while its request goes on."""
        self._abandoned = True

    def replay(self, status: int, content_type: str, answer: bytes) -> None:
        """Take the answer that the first run got."""
        self._status = status
        self._headers["Content-Type"] = content_type
        self._answer = bytearray(answer)

    def end(self, outcome: Outcome) -> None:
        """Note the end of the request."""
        if not self._outcome.done():
            self._outcome.set_result(outcome)

    async def async_finish(
        self, before_last_byte: Callable[[str], Awaitable[None]]
    ) -> web.StreamResponse:
        """Wait for the end, and return the caller's HTTP answer."""
        outcome = await self._outcome
        if outcome.error is not None:
            return await self._async_finish_with_error(outcome.error, outcome.not_run)
        await before_last_byte(self._request_id)
        if self._stream and self._status == 200:
            response = self._response or await self._async_prepare()
            await response.write(_DONE_EVENT)
            await response.write_eof()
            return response
        return web.Response(
            body=bytes(self._answer), status=self._status, headers=self._headers
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
        # The status is sent already; the stream ends without its last event.
        event = b"data: " + orjson.dumps(error_body(error)) + b"\n\n"
        await self._response.write(event)
        await self._response.write_eof()
        return self._response

    async def _async_prepare(self) -> web.StreamResponse:
        response = web.StreamResponse(status=self._status, headers=self._headers)
        await response.prepare(self._http_request)
        return response
