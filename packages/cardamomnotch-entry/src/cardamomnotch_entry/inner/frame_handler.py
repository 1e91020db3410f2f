"""Handles the frames of one attempt's answer."""

from functools import singledispatchmethod

from cardamomnotch_core.nodes import events
from cardamomnotch_protocol.exceptions import ProtocolError
from cardamomnotch_protocol.models import (
    AnswerChunk,
    AnswerHead,
    AttemptAccepted,
    AttemptFinished,
    AttemptRefused,
    AttemptRequest,
    KeepAlive,
    Message,
)
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.runner import NodeRunner

from ..caller.exchange import CallerExchange
from ..const import HEADER_VERSION


class AttemptFrameHandler:
    """Forwards the frames of one attempt to the node and the caller.

    Counts the answer bytes received, over all connections of the attempt.
    """

    def __init__(
        self, runner: NodeRunner, exchange: CallerExchange, request: AttemptRequest
    ) -> None:
        self._runner = runner
        self._exchange = exchange
        self._request = request
        self._received_bytes = 0
        self._has_ended = False
        exchange.reset_answer(
            {HEADER_VERSION: f"{request.model}/{request.version}"}
            if request.model
            else {}
        )

    @property
    def offset(self) -> int:
        """Return the number of answer bytes received."""
        return self._received_bytes

    @property
    def has_ended(self) -> bool:
        """Return whether the end of the attempt was reported to the node."""
        return self._has_ended

    async def async_handle_frame(self, message: Message, payload: bytes) -> None:
        """Handle one frame.

        Raises ProtocolError if it belongs to another attempt.
        """
        if message.attempt_id != self._request.attempt_id:
            raise ProtocolError(code=ResultCode.CROSSED_ANSWER)
        await self._async_handle_message(message, payload)

    def report_connection_lost(self, code: ResultCode, *, sent: bool = True) -> None:
        """Report to the node that the answer cannot be received to its end.

        ``sent`` is whether the sidecar may have received the request.
        """
        if self._has_ended:
            return
        self._has_ended = True
        self._runner.dispatch(
            events.AttemptConnectionLost(
                request_id=self._request.request_id,
                attempt_id=self._request.attempt_id,
                code=code,
                sent=sent,
            )
        )

    @singledispatchmethod
    async def _async_handle_message(self, message: Message, payload: bytes) -> None:
        raise ProtocolError(f"unexpected message {message.message_type} in an answer")

    @_async_handle_message.register
    async def _(self, message: KeepAlive, payload: bytes) -> None:
        return

    @_async_handle_message.register
    async def _(self, message: AttemptAccepted, payload: bytes) -> None:
        if message.incarnation != self._request.incarnation:
            self.report_connection_lost(ResultCode.INCARNATION_MISMATCH)

    @_async_handle_message.register
    async def _(self, message: AttemptRefused, payload: bytes) -> None:
        self._has_ended = True
        self._runner.dispatch(
            events.AttemptRejected(
                request_id=self._request.request_id,
                attempt_id=message.attempt_id,
                code=message.code,
                detail=message.detail,
                retry_after_s=message.retry_after_s,
                load=message.load,
            )
        )

    @_async_handle_message.register
    async def _(self, message: AnswerHead, payload: bytes) -> None:
        await self._exchange.async_set_response_head(message.status, message.headers)

    @_async_handle_message.register
    async def _(self, message: AnswerChunk, payload: bytes) -> None:
        if message.offset != self._received_bytes:
            raise ProtocolError(code=ResultCode.SHORT_ANSWER)
        if payload and not self._received_bytes:
            self._runner.dispatch(
                events.AttemptAnswered(
                    request_id=self._request.request_id,
                    attempt_id=message.attempt_id,
                )
            )
        self._received_bytes += len(payload)
        await self._exchange.async_write(payload)

    @_async_handle_message.register
    async def _(self, message: AttemptFinished, payload: bytes) -> None:
        code = message.code
        if code is ResultCode.OK and message.total_bytes != self._received_bytes:
            code = ResultCode.SHORT_ANSWER
        self._has_ended = True
        self._runner.dispatch(
            events.AttemptEnded(
                request_id=self._request.request_id,
                attempt_id=message.attempt_id,
                code=code,
                detail=message.detail,
                usage=message.usage,
                load=message.load,
                started=message.started,
                co_suspects=message.co_suspects,
            )
        )
