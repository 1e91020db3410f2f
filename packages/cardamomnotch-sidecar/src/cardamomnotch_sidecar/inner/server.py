"""HTTP handlers of the inner protocol between entries and sidecars."""

import socket
from contextlib import aclosing

from aiohttp import web

from cardamomnotch_core.configuration.document import record_from_message
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_protocol import codec
from cardamomnotch_protocol.const import (
    CONTENT_TYPE_FRAMES,
    PATH_ATTEMPTS,
    PATH_CONFIGURATION,
    PATH_FENCE,
    PATH_HEARTBEAT,
)
from cardamomnotch_protocol.exceptions import CardamomnotchError, ProtocolError
from cardamomnotch_protocol.models import (
    AttemptAccepted,
    AttemptRequest,
    ConfigurationMessage,
    ConfigurationReply,
    FenceRequest,
    HeartbeatRequest,
    Load,
)
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.auth import inner_key_middleware
from cardamomnotch_runtime.configuration import (
    ConfigurationFetcher,
    ConfigurationSource,
)
from cardamomnotch_runtime.const import MAX_INNER_BODY_BYTES
from cardamomnotch_runtime.frames import async_read_frame, frame_response
from cardamomnotch_runtime.responses import error_response
from cardamomnotch_runtime.runner import NodeRunner

from ..answer_buffer import AnswerBuffer
from ..attempt_runner import AttemptRunner
from ..const import READER_ACK_TIMEOUT_MS
from ..outcomes.server import OutcomeServer


class InnerServer:
    """Dispatches calls of entries as events, and actions as responses."""

    def __init__(
        self,
        *,
        runner: NodeRunner,
        attempts: AttemptRunner,
        fetcher: ConfigurationFetcher,
        outcomes: OutcomeServer,
        source: ConfigurationSource,
        incarnation: str,
        inner_keys: tuple[str, ...],
    ) -> None:
        self._runner = runner
        self._attempts = attempts
        self._fetcher = fetcher
        self._outcomes = outcomes
        self._source = source
        self._incarnation = incarnation
        self._inner_keys = inner_keys

    def create_app(self) -> web.Application:
        """Return the application with all routes of the inner protocol."""
        app = web.Application(
            client_max_size=MAX_INNER_BODY_BYTES,
            middlewares=[_error_middleware, inner_key_middleware(self._inner_keys)],
        )
        app.router.add_post(PATH_ATTEMPTS, self._async_attempt)
        app.router.add_get(PATH_ATTEMPTS + "/{attempt_id}", self._async_reattach)
        app.router.add_post(PATH_FENCE, self._async_fence)
        app.router.add_post(PATH_HEARTBEAT, self._async_heartbeat)
        app.router.add_post(PATH_CONFIGURATION, self._async_configuration)
        self._outcomes.add_routes(app)
        self._source.add_routes(app)
        return app

    async def _async_attempt(self, request: web.Request) -> web.StreamResponse:
        frame = await async_read_frame(request, AttemptRequest)
        action = await self._async_admit(frame.message)
        if isinstance(action, actions.RefuseAttempt):
            return frame_response(action.message)
        if isinstance(action, actions.AcceptAttempt):
            buffer = self._attempts.start(frame.message, frame.payload)
        else:
            buffer = self._existing_buffer(frame.message.attempt_id)
        return await self._async_stream_answer(request, buffer, frame.message, offset=0)

    async def _async_admit(self, message: AttemptRequest) -> actions.Action:
        arrived = events.AttemptArrived(request=message)
        action = self._runner.dispatch(arrived)[0]
        if not isinstance(action, actions.FetchConfiguration):
            return action
        await self._fetcher.async_fetch(action.address)
        fetch_attempted = events.AttemptArrived(request=message, fetch_attempted=True)
        return self._runner.dispatch(fetch_attempted)[0]

    async def _async_reattach(self, request: web.Request) -> web.StreamResponse:
        attempt_id = request.match_info["attempt_id"]
        try:
            offset = int(request.query.get("offset", "0"))
        except ValueError as error:
            raise ProtocolError("query parameter offset is not an integer") from error
        buffer = self._existing_buffer(attempt_id)
        message = AttemptAccepted(
            attempt_id=attempt_id, incarnation=self._incarnation, revision=0
        )
        return await self._async_stream_answer(request, buffer, message, offset=offset)

    def _existing_buffer(self, attempt_id: str) -> AnswerBuffer:
        buffer = self._attempts.buffer(attempt_id)
        if buffer is None:
            raise CardamomnotchError(code=ResultCode.ATTEMPT_UNKNOWN)
        return buffer

    async def _async_stream_answer(
        self,
        request: web.Request,
        buffer: AnswerBuffer,
        message: AttemptRequest | AttemptAccepted,
        *,
        offset: int,
    ) -> web.StreamResponse:
        buffer.check_offset(offset)
        _set_ack_timeout(request)
        response = web.StreamResponse(headers={"Content-Type": CONTENT_TYPE_FRAMES})
        await response.prepare(request)
        accepted = AttemptAccepted(
            attempt_id=message.attempt_id,
            incarnation=self._incarnation,
            revision=message.revision,
            load=Load(),
        )
        await response.write(codec.encode(accepted))
        async with aclosing(buffer.async_frames(offset)) as frames:
            async for data in frames:
                await response.write(data)
        await response.write_eof()
        return response

    async def _async_fence(self, request: web.Request) -> web.StreamResponse:
        frame = await async_read_frame(request, FenceRequest)
        arrived = events.FenceArrived(request=frame.message)
        reply = _first_of_type(self._runner.dispatch(arrived), actions.ReplyToFence)
        return frame_response(reply.message)

    async def _async_heartbeat(self, request: web.Request) -> web.StreamResponse:
        frame = await async_read_frame(request, HeartbeatRequest)
        arrived = events.HeartbeatArrived(request=frame.message)
        reply = _first_of_type(self._runner.dispatch(arrived), actions.ReplyToHeartbeat)
        return frame_response(reply.message)

    async def _async_configuration(self, request: web.Request) -> web.StreamResponse:
        frame = await async_read_frame(request, ConfigurationMessage)
        record = record_from_message(frame.message)
        self._runner.dispatch(
            events.ConfigurationOffered(record=record, source="an entry")
        )
        return frame_response(ConfigurationReply(revision=self._fetcher.revision))


def _set_ack_timeout(request: web.Request) -> None:
    """Have the kernel close a connection whose data is not acknowledged."""
    raw_socket = (
        request.transport.get_extra_info("socket") if request.transport else None
    )
    if raw_socket is not None:
        raw_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, READER_ACK_TIMEOUT_MS
        )


def _first_of_type(
    candidates: list[actions.Action], action_class: type[actions.Action]
) -> actions.Action:
    return next(action for action in candidates if isinstance(action, action_class))


@web.middleware
async def _error_middleware(
    request: web.Request, handler: web.RequestHandler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except CardamomnotchError as error:
        return error_response(error)
