"""Sends attempts to sidecars and follows their answers."""

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
from cardamomnotch_runtime.frames import (
    ProcessNotListeningError,
    async_call,
    is_connection_refused,
)
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

from ..caller.exchange import CallerExchange, CallerGoneError
from ..caller.server import CallerServer
from ..const import (
    ATTEMPT_CONNECT_S,
    ATTEMPT_SILENCE_S,
    FENCE_LIMIT_S,
    HEADER_BELOW_TARGET,
    HEARTBEAT_TIMEOUT_S,
    MAX_REFUSED_REATTACHES,
    REATTACH_LIMIT_S,
    REATTACH_PAUSE_S,
    REJOIN_PATIENCE_S,
)
from .follower import AttemptFollower

_LOGGER = logging.getLogger(__name__)
_TIMEOUT = aiohttp.ClientTimeout(
    total=None, sock_connect=ATTEMPT_CONNECT_S, sock_read=ATTEMPT_SILENCE_S
)
_HEADERS = {"Content-Type": CONTENT_TYPE_FRAMES}
_BROKEN = (aiohttp.ClientError, TimeoutError, OSError, ProtocolError)
_STATUS_NOT_FOUND = 404


class AttemptForgottenError(CardamomnotchError):
    """The sidecar does not hold the attempt's answer."""

    code = ResultCode.ATTEMPT_UNKNOWN


class AttemptClient:
    """Carries out the actions that concern attempts.

    ``session`` reuses connections; ``fresh_session`` opens a new one for each
    call, because a pooled one may be silent for good.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        runner: NodeRunner,
        callers: CallerServer,
        tasks: TaskGroup,
    ) -> None:
        self._session = session
        self._fresh_session = fresh_session
        self._runner = runner
        self._callers = callers
        self._tasks = tasks
        runner.register(actions.StartAttempt, self._start)
        runner.register(actions.ReattachToAttempt, self._rejoin)
        runner.register(actions.FenceAttempt, self._fence)
        runner.register(actions.CancelAttempt, self._cancel)

    def _start(self, action: actions.StartAttempt) -> None:
        exchange = self._callers.exchange(action.message.request_id)
        if exchange is None:
            return
        if action.below_target:
            exchange.restart_answer({HEADER_BELOW_TARGET: "true"})
        self._tasks.start(self._async_attempt(action, exchange, rejoin=False))

    def _rejoin(self, action: actions.ReattachToAttempt) -> None:
        exchange = self._callers.exchange(action.message.request_id)
        if exchange is not None:
            self._tasks.start(self._async_attempt(action, exchange, rejoin=True))

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
            _LOGGER.debug("attempt not cancelled: %s", error)

    async def _async_fence(self, action: actions.FenceAttempt) -> None:
        """Ask until the sidecar answers; without an answer nothing is known."""
        message = FenceRequest(
            attempt_id=action.attempt_id,
            incarnation=action.incarnation,
            cancel=action.cancel,
        )
        state = AttemptState.UNKNOWN
        give_up_at_s = _now_s() + FENCE_LIMIT_S
        while True:
            try:
                reply = await self._async_call_fence(action.address, message)
            except ProcessNotListeningError:
                # What the process knew of the attempt has ended with it.
                break
            except CardamomnotchError as error:
                _LOGGER.debug("attempt not fenced: %s", error)
            else:
                state = AttemptState(reply.state)
                break
            if _now_s() >= give_up_at_s:
                break
            await asyncio.sleep(REATTACH_PAUSE_S)
        self._runner.dispatch(
            events.AttemptFenced(
                request_id=action.request_id, attempt_id=action.attempt_id, state=state
            )
        )

    async def _async_call_fence(
        self, address: str, message: FenceRequest
    ) -> FenceReply:
        url = f"http://{address}{PATH_FENCE}"
        reply = await async_call(self._fresh_session, url, message, HEARTBEAT_TIMEOUT_S)
        if not isinstance(reply, FenceReply) or reply.attempt_id != message.attempt_id:
            raise ProtocolError("the answer is not to this fence request")
        return reply

    async def _async_attempt(
        self,
        action: actions.StartAttempt | actions.ReattachToAttempt,
        exchange: CallerExchange,
        *,
        rejoin: bool,
    ) -> None:
        follower = AttemptFollower(self._runner, exchange, action.message)
        try:
            if rejoin:
                await self._async_reattach(action, follower, REJOIN_PATIENCE_S)
            else:
                await self._async_send(action, exchange.body, follower)
        except CallerGoneError:
            self._runner.dispatch(
                events.CallerDisconnected(request_id=action.message.request_id)
            )

    async def _async_send(
        self, action: actions.StartAttempt, body: bytes, follower: AttemptFollower
    ) -> None:
        call = self._session.post(
            f"http://{action.address}{PATH_ATTEMPTS}",
            data=codec.encode(action.message, body),
            headers=_HEADERS,
            timeout=_TIMEOUT,
        )
        try:
            await _async_follow(call, follower)
        except aiohttp.ClientConnectorError:
            follower.lose(ResultCode.SIDECAR_UNREACHABLE, sent=False)
        except _BROKEN as error:
            _LOGGER.debug("attempt %s: %r", action.message.attempt_id, error)
            await self._async_reattach(action, follower)

    async def _async_reattach(
        self,
        action: actions.StartAttempt | actions.ReattachToAttempt,
        follower: AttemptFollower,
        patience_s: float = 0.0,
    ) -> None:
        """Follow the answer from where it stopped, over new connections.

        An attempt that the sidecar does not know may still be on its way for
        ``patience_s`` seconds. A process that refuses connections is gone, and
        the attempt with it.
        """
        refusals = 0
        unknown_at_s = _now_s() + patience_s
        give_up_at_s = _now_s() + REATTACH_LIMIT_S
        while not follower.has_ended:
            offset = follower.offset
            call = self._fresh_session.get(
                f"http://{action.address}{PATH_ATTEMPTS}/{action.message.attempt_id}",
                params={"offset": str(offset)},
                timeout=_TIMEOUT,
            )
            try:
                await _async_follow(call, follower)
            except AttemptForgottenError as error:
                if _now_s() >= unknown_at_s:
                    follower.lose(error.code)
                await asyncio.sleep(REATTACH_PAUSE_S)
            except _BROKEN as error:
                refusals = refusals + 1 if is_connection_refused(error) else 0
                if refusals >= MAX_REFUSED_REATTACHES:
                    follower.lose(ResultCode.SIDECAR_UNREACHABLE)
                elif follower.offset > offset:
                    give_up_at_s = _now_s() + REATTACH_LIMIT_S
                elif _now_s() >= give_up_at_s:
                    follower.lose(ResultCode.SIDECAR_UNREACHABLE)
                await asyncio.sleep(REATTACH_PAUSE_S)


async def _async_follow(
    call: AbstractAsyncContextManager[aiohttp.ClientResponse],
    follower: AttemptFollower,
) -> None:
    """Take frames until the attempt has ended.

    Raises one of the broken-connection errors if they stop before.
    """
    async with call as response:
        if response.status == _STATUS_NOT_FOUND:
            raise AttemptForgottenError
        if response.status != 200:
            raise ProtocolError(f"status {response.status}")
        async for frame in _async_frames(response):
            await follower.async_take(frame.message, frame.payload)
            if follower.has_ended:
                return
    raise ProtocolError("the answer ended before its last frame")


async def _async_frames(response: aiohttp.ClientResponse) -> AsyncIterator[Frame]:
    decoder = FrameDecoder()
    async for data in response.content.iter_any():
        for frame in decoder.feed(data):
            yield frame


def _now_s() -> float:
    return asyncio.get_running_loop().time()
