"""Passes the frames of one attempt to the node and the caller."""

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


class AttemptFollower:
    """Knows how much of one answer has arrived, over any connection."""

    def __init__(
        self, runner: NodeRunner, exchange: CallerExchange, request: AttemptRequest
    ) -> None:
        self._runner = runner
        self._exchange = exchange
        self._request = request
        self._offset = 0
        self._ended = False
        exchange.restart_answer(
            {HEADER_VERSION: f"{request.model}/{request.version}"}
            if request.model
            else {}
        )

    @property
    def offset(self) -> int:
        """Return how many bytes of the answer have arrived."""
        return self._offset

    @property
    def has_ended(self) -> bool:
        """Return whether the node knows how the attempt ended."""
        return self._ended

    async def async_take(self, message: Message, payload: bytes) -> None:
        """Handle one frame; raise ProtocolError if it is another attempt's."""
        if message.attempt_id != self._request.attempt_id:
            raise ProtocolError(code=ResultCode.CROSSED_ANSWER)
        await self._async_handle(message, payload)

    def lose(self, code: ResultCode, *, sent: bool = True) -> None:
        """Tell the node that no last frame will come."""
        if self._ended:
            return
        self._ended = True
        self._runner.dispatch(
            events.AttemptConnectionLost(
                request_id=self._request.request_id,
                attempt_id=self._request.attempt_id,
                code=code,
                sent=sent,
            )
        )

    @singledispatchmethod
    async def _async_handle(self, message: Message, payload: bytes) -> None:
        raise ProtocolError(f"unexpected {message.message_type}")

    @_async_handle.register
    async def _(self, message: KeepAlive, payload: bytes) -> None:
        return

    @_async_handle.register
    async def _(self, message: AttemptAccepted, payload: bytes) -> None:
        if message.incarnation != self._request.incarnation:
            self.lose(ResultCode.INCARNATION_MISMATCH)

    @_async_handle.register
    async def _(self, message: AttemptRefused, payload: bytes) -> None:
        self._ended = True
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

    @_async_handle.register
    async def _(self, message: AnswerHead, payload: bytes) -> None:
        await self._exchange.async_set_head(message.status, message.headers)

    @_async_handle.register
    async def _(self, message: AnswerChunk, payload: bytes) -> None:
        if message.offset != self._offset:
            raise ProtocolError(code=ResultCode.SHORT_ANSWER)
        if payload and not self._offset:
            self._runner.dispatch(
                events.AttemptAnswered(
                    request_id=self._request.request_id,
                    attempt_id=message.attempt_id,
                )
            )
        self._offset += len(payload)
        await self._exchange.async_write(payload)

    @_async_handle.register
    async def _(self, message: AttemptFinished, payload: bytes) -> None:
        code = message.code
        if code is ResultCode.OK and message.total_bytes != self._offset:
            code = ResultCode.SHORT_ANSWER
        self._ended = True
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
