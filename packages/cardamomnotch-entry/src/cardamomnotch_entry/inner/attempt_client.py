"""Sends attempts to sidecars and follows their answers."""

import logging
from collections.abc import AsyncIterator
from functools import singledispatchmethod

import aiohttp

from cardamomnotch_core.nodes import actions, events
from cardamomnotch_protocol import codec
from cardamomnotch_protocol.codec import Frame, FrameDecoder
from cardamomnotch_protocol.const import (
    CONTENT_TYPE_FRAMES,
    PATH_ATTEMPTS,
    PATH_FENCE,
)
from cardamomnotch_protocol.exceptions import CardamomnotchError, ProtocolError
from cardamomnotch_protocol.models import (
    AnswerChunk,
    AnswerHead,
    AttemptAccepted,
    AttemptFinished,
    AttemptRefused,
    AttemptRequest,
    FenceRequest,
    KeepAlive,
    Message,
)
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.frames import async_call
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

from ..caller.exchange import CallerExchange, CallerGoneError
from ..caller.server import CallerServer
from ..const import (
    ATTEMPT_CONNECT_S,
    ATTEMPT_SILENCE_S,
    HEADER_BELOW_TARGET,
    HEADER_VERSION,
    HEARTBEAT_TIMEOUT_S,
)

_LOGGER = logging.getLogger(__name__)
_TIMEOUT = aiohttp.ClientTimeout(
    total=None, sock_connect=ATTEMPT_CONNECT_S, sock_read=ATTEMPT_SILENCE_S
)
_HEADERS = {"Content-Type": CONTENT_TYPE_FRAMES}


class AttemptClient:
    """Carries out the actions that concern attempts."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        runner: NodeRunner,
        callers: CallerServer,
        tasks: TaskGroup,
    ) -> None:
        self._session = session
        self._runner = runner
        self._callers = callers
        self._tasks = tasks
        runner.register(actions.StartAttempt, self._start)
        runner.register(actions.CancelAttempt, self._cancel)

    def _start(self, action: actions.StartAttempt) -> None:
        exchange = self._callers.exchange(action.message.request_id)
        if exchange is not None:
            self._tasks.start(self._async_attempt(action, exchange))

    def _cancel(self, action: actions.CancelAttempt) -> None:
        self._tasks.start(self._async_cancel(action))

    async def _async_cancel(self, action: actions.CancelAttempt) -> None:
        message = FenceRequest(
            attempt_id=action.attempt_id, incarnation=action.incarnation, cancel=True
        )
        url = f"http://{action.address}{PATH_FENCE}"
        try:
            await async_call(self._session, url, message, HEARTBEAT_TIMEOUT_S)
        except CardamomnotchError as error:
            _LOGGER.debug("attempt not cancelled: %s", error)

    async def _async_attempt(
        self, action: actions.StartAttempt, exchange: CallerExchange
    ) -> None:
        message = action.message
        if action.below_target:
            exchange.restart_answer({HEADER_BELOW_TARGET: "true"})
        follower = _Follower(self._runner, exchange, message)
        try:
            async for frame in self._async_frames(action, exchange.body):
                await follower.async_take(frame.message, frame.payload)
        except aiohttp.ClientConnectorError:
            follower.lose(ResultCode.SIDECAR_UNREACHABLE, sent=False)
        except (aiohttp.ClientError, TimeoutError, ProtocolError) as error:
            _LOGGER.debug("attempt %s lost: %r", message.attempt_id, error)
            follower.lose(ResultCode.SIDECAR_UNREACHABLE)
        except CallerGoneError:
            self._runner.dispatch(events.CallerGone(request_id=message.request_id))
        else:
            follower.lose(ResultCode.SHORT_ANSWER)

    async def _async_frames(
        self, action: actions.StartAttempt, body: bytes
    ) -> AsyncIterator[Frame]:
        decoder = FrameDecoder()
        async with self._session.post(
            f"http://{action.address}{PATH_ATTEMPTS}",
            data=codec.encode(action.message, body),
            headers=_HEADERS,
            timeout=_TIMEOUT,
        ) as response:
            if response.status != 200:
                raise ProtocolError(f"status {response.status}")
            async for data in response.content.iter_any():
                for frame in decoder.feed(data):
                    yield frame


class _Follower:
    """Passes one attempt's frames to the node and the caller."""

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
            events.AttemptLost(
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
    async def _(self, message: AttemptAccepted | KeepAlive, payload: bytes) -> None:
        return

    @_async_handle.register
    async def _(self, message: AttemptRefused, payload: bytes) -> None:
        self._ended = True
        self._runner.dispatch(
            events.AttemptTurnedDown(
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
        if not self._offset:
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
            )
        )
