"""Sends attempts to sidecars and receives their answers."""

import asyncio
import logging
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager

import aiohttp

from cardamomnotch_core.attempts.sidecar_table import AttemptState
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_protocol import codec
from cardamomnotch_protocol.codec import Frame, FrameDecoder
from cardamomnotch_protocol.const import (
    CONTENT_TYPE_FRAMES,
    PATH_ATTEMPTS,
    PATH_FENCE,
)
from cardamomnotch_protocol.exceptions import CardamomnotchError, ProtocolError
from cardamomnotch_protocol.models import FenceReply, FenceRequest
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.frames import ProcessNotListeningError, async_call
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup
from cardamomnotch_runtime.upstream_session import is_connection_refused

from ..caller.exchange import CallerDisconnectedError, CallerExchange
from ..caller.server import CallerServer
from ..const import (
    ATTEMPT_ARRIVAL_TIMEOUT_S,
    ATTEMPT_CONNECT_TIMEOUT_S,
    ATTEMPT_READ_TIMEOUT_S,
    FENCE_TIMEOUT_S,
    HEADER_BELOW_TARGET,
    HEARTBEAT_TIMEOUT_S,
    MAX_REFUSED_REATTACHES,
    REATTACH_RETRY_DELAY_S,
    REATTACH_TIMEOUT_S,
)
from .frame_handler import AttemptFrameHandler

_LOGGER = logging.getLogger(__name__)
_TIMEOUT = aiohttp.ClientTimeout(
    total=None, sock_connect=ATTEMPT_CONNECT_TIMEOUT_S, sock_read=ATTEMPT_READ_TIMEOUT_S
)
_HEADERS = {"Content-Type": CONTENT_TYPE_FRAMES}
_CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ProtocolError)
_STATUS_NOT_FOUND = 404


class AttemptNotFoundError(CardamomnotchError):
    """The sidecar does not know the attempt."""

    code = ResultCode.ATTEMPT_UNKNOWN


class AttemptClient:
    """Handles the actions that start, reattach to, fence and cancel attempts.

    ``session`` reuses connections. ``unpooled_session`` opens a new connection
    for each call, because a pooled one may be dead without being closed.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        unpooled_session: aiohttp.ClientSession,
        runner: NodeRunner,
        callers: CallerServer,
        tasks: TaskGroup,
    ) -> None:
        self._session = session
        self._unpooled_session = unpooled_session
        self._runner = runner
        self._callers = callers
        self._tasks = tasks
        runner.register(actions.StartAttempt, self._start)
        runner.register(actions.ReattachToAttempt, self._reattach)
        runner.register(actions.FenceAttempt, self._fence)
        runner.register(actions.CancelAttempt, self._cancel)

    def _start(self, action: actions.StartAttempt) -> None:
        exchange = self._callers.exchange(action.message.request_id)
        if exchange is None:
            return
        if action.below_target:
            exchange.reset_answer({HEADER_BELOW_TARGET: "true"})
        self._tasks.start(self._async_run_attempt(action, exchange, reattach=False))

    def _reattach(self, action: actions.ReattachToAttempt) -> None:
        exchange = self._callers.exchange(action.message.request_id)
        if exchange is not None:
            self._tasks.start(self._async_run_attempt(action, exchange, reattach=True))

    def _fence(self, action: actions.FenceAttempt) -> None:
        self._tasks.start(self._async_fence(action))

    def _cancel(self, action: actions.CancelAttempt) -> None:
        self._tasks.start(self._async_cancel(action))

    async def _async_cancel(self, action: actions.CancelAttempt) -> None:
        message = FenceRequest(
            attempt_id=action.attempt_id, incarnation=action.incarnation, cancel=True
        )
        try:
            await self._async_call_fence(action.address, message)
        except CardamomnotchError as error:
            _LOGGER.debug("cannot cancel attempt: %s", error)

    async def _async_fence(self, action: actions.FenceAttempt) -> None:
        """Fence the attempt, retrying until the sidecar replies.

        Without a reply within FENCE_TIMEOUT_S seconds, the state of the
        attempt is reported as unknown.
        """
        message = FenceRequest(
            attempt_id=action.attempt_id,
            incarnation=action.incarnation,
            cancel=action.cancel,
        )
        state = AttemptState.UNKNOWN
        deadline_s = _now_s() + FENCE_TIMEOUT_S
        while True:
            try:
                reply = await self._async_call_fence(action.address, message)
            except ProcessNotListeningError:
                # The process has ended, and its attempt with it.
                break
            except CardamomnotchError as error:
                _LOGGER.debug(
                    "cannot fence attempt; retrying until the timeout: %s", error
                )
            else:
                state = AttemptState(reply.state)
                break
            if _now_s() >= deadline_s:
                break
            await asyncio.sleep(REATTACH_RETRY_DELAY_S)
        self._runner.dispatch(
            events.AttemptFenced(
                request_id=action.request_id, attempt_id=action.attempt_id, state=state
            )
        )

    async def _async_call_fence(
        self, address: str, message: FenceRequest
    ) -> FenceReply:
        url = f"http://{address}{PATH_FENCE}"
        reply = await async_call(
            self._unpooled_session, url, message, HEARTBEAT_TIMEOUT_S
        )
        if not isinstance(reply, FenceReply) or reply.attempt_id != message.attempt_id:
            raise ProtocolError("the reply does not belong to this fence request")
        return reply

    async def _async_run_attempt(
        self,
        action: actions.StartAttempt | actions.ReattachToAttempt,
        exchange: CallerExchange,
        *,
        reattach: bool,
    ) -> None:
        frame_handler = AttemptFrameHandler(self._runner, exchange, action.message)
        try:
            if reattach:
                await self._async_reattach(
                    action, frame_handler, ATTEMPT_ARRIVAL_TIMEOUT_S
                )
            else:
                await self._async_send(action, exchange.body, frame_handler)
        except CallerDisconnectedError:
            self._runner.dispatch(
                events.CallerDisconnected(request_id=action.message.request_id)
            )

    async def _async_send(
        self,
        action: actions.StartAttempt,
        body: bytes,
        frame_handler: AttemptFrameHandler,
    ) -> None:
        call = self._session.post(
            f"http://{action.address}{PATH_ATTEMPTS}",
            data=codec.encode(action.message, body),
            headers=_HEADERS,
            timeout=_TIMEOUT,
        )
        try:
            await _async_handle_frames(call, frame_handler)
        except aiohttp.ClientConnectorError:
            frame_handler.report_connection_lost(
                ResultCode.SIDECAR_UNREACHABLE, sent=False
            )
        except _CONNECTION_ERRORS as error:
            _LOGGER.debug(
                "attempt %s: connection lost; reattaching: %r",
                action.message.attempt_id,
                error,
            )
            await self._async_reattach(action, frame_handler)

    async def _async_reattach(
        self,
        action: actions.StartAttempt | actions.ReattachToAttempt,
        frame_handler: AttemptFrameHandler,
        arrival_timeout_s: float = 0.0,
    ) -> None:
        """Continue to receive the answer over new connections.

        Each connection asks for the answer from the first missing byte. An
        attempt that the sidecar does not know may still be on its way to it
        for ``arrival_timeout_s`` seconds. If a process refuses connections, it
        has ended, and the attempt with it.
        """
        refusals = 0
        arrival_deadline_s = _now_s() + arrival_timeout_s
        deadline_s = _now_s() + REATTACH_TIMEOUT_S
        while not frame_handler.has_ended:
            offset = frame_handler.offset
            call = self._unpooled_session.get(
                f"http://{action.address}{PATH_ATTEMPTS}/{action.message.attempt_id}",
                params={"offset": str(offset)},
                timeout=_TIMEOUT,
            )
            try:
                await _async_handle_frames(call, frame_handler)
            except AttemptNotFoundError as error:
                if _now_s() >= arrival_deadline_s:
                    frame_handler.report_connection_lost(error.code)
                await asyncio.sleep(REATTACH_RETRY_DELAY_S)
            except _CONNECTION_ERRORS as error:
                refusals = refusals + 1 if is_connection_refused(error) else 0
                if refusals >= MAX_REFUSED_REATTACHES:
                    frame_handler.report_connection_lost(ResultCode.SIDECAR_UNREACHABLE)
                elif frame_handler.offset > offset:
                    deadline_s = _now_s() + REATTACH_TIMEOUT_S
                elif _now_s() >= deadline_s:
                    frame_handler.report_connection_lost(ResultCode.SIDECAR_UNREACHABLE)
                await asyncio.sleep(REATTACH_RETRY_DELAY_S)


async def _async_handle_frames(
    call: AbstractAsyncContextManager[aiohttp.ClientResponse],
    frame_handler: AttemptFrameHandler,
) -> None:
    """Handle frames until the attempt has ended.

    Raises one of _CONNECTION_ERRORS if the frames stop before that, or
    AttemptNotFoundError.
    """
    async with call as response:
        if response.status == _STATUS_NOT_FOUND:
            raise AttemptNotFoundError
        if response.status != 200:
            raise ProtocolError(
                f"expected HTTP status 200 from sidecar, got {response.status}"
            )
        async for frame in _async_decode_frames(response):
            await frame_handler.async_handle_frame(frame.message, frame.payload)
            if frame_handler.has_ended:
                return
    raise ProtocolError("the connection ended before the last frame of the answer")


async def _async_decode_frames(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[Frame]:
    decoder = FrameDecoder()
    async for data in response.content.iter_any():
        for frame in decoder.feed(data):
            yield frame


def _now_s() -> float:
    return asyncio.get_running_loop().time()
