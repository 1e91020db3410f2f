"""HTTP handlers for callers."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web

from cardamomnotch_core.attempts.entry_table import CallerRequest
from cardamomnotch_core.journal.outcomes import stored_answer
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_core.nodes.entry_node import EntryNode
from cardamomnotch_core.plans.allowance import versions_in_plan
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.const import MAX_BODY_BYTES
from cardamomnotch_runtime.responses import error_response, json_response
from cardamomnotch_runtime.runner import NodeRunner

from ..const import (
    HEADER_RESULT_CODE,
    HEADER_SESSION,
    PATH_COMPLETIONS,
    PATH_MODELS,
    PATH_SERVICES,
)
from ..sessions.caller_sessions import CallerSession, CallerSessions
from .exchange import CallerExchange, RequestResult
from .requests import (
    async_read_body,
    key_digest,
    read_completion,
    read_service_call,
)


class CallerServer:
    """Dispatches callers' requests as events and answers them from actions."""

    def __init__(
        self, node: EntryNode, runner: NodeRunner, sessions: CallerSessions
    ) -> None:
        self._node = node
        self._sessions = sessions
        self._runner = runner
        self._exchanges: dict[str, CallerExchange] = {}
        # Awaited with the request id before a successful answer is completed.
        self.before_completion: Callable[[str], Awaitable[None]] = _async_no_op
        runner.register(actions.RefuseRequest, self._refuse)
        runner.register(actions.CompleteRequest, self._complete)
        runner.register(actions.AnswerFromJournal, self._answer_from_journal)

    def create_app(self) -> web.Application:
        """Create the web application for callers."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[_error_response_middleware]
        )
        app.router.add_post(PATH_COMPLETIONS, self._async_completion)
        app.router.add_get(PATH_MODELS, self._async_models)
        app.router.add_route("*", PATH_SERVICES, self._async_service)
        return app

    def exchange(self, request_id: str) -> CallerExchange | None:
        """Return the exchange of a request; None if it is not being served."""
        return self._exchanges.get(request_id)

    async def _async_completion(self, request: web.Request) -> web.StreamResponse:
        body = await async_read_body(request)
        caller_request = read_completion(request, body)
        token = request.headers.get(HEADER_SESSION, "")
        session = self._sessions.read_session(caller_request, token)
        if session is not None:
            caller_request = attrs.evolve(
                caller_request, session_version=session.version
            )
        return await self._async_serve(request, caller_request, body, session)

    async def _async_service(self, request: web.Request) -> web.StreamResponse:
        body = await async_read_body(request)
        caller_request = read_service_call(request, body)
        return await self._async_serve(request, caller_request, body)

    async def _async_serve(
        self,
        request: web.Request,
        caller_request: CallerRequest,
        body: bytes,
        session: CallerSession | None = None,
    ) -> web.StreamResponse:
        request_id = caller_request.request_id
        exchange = CallerExchange(
            request,
            request_id,
            body,
            stream=caller_request.stream,
            session=session,
        )
        self._exchanges[request_id] = exchange
        try:
            self._runner.dispatch(events.RequestArrived(request=caller_request))
            return await exchange.async_finish(self.before_completion)
        except (asyncio.CancelledError, ConnectionError):
            self._runner.dispatch(events.CallerDisconnected(request_id=request_id))
            raise
        finally:
            if exchange.has_ended or not self._node.is_serving(request_id):
                del self._exchanges[request_id]
            else:
                exchange.abandon()

    async def _async_models(self, request: web.Request) -> web.Response:
        digest = key_digest(request)
        record = self._node.configuration.record
        if record is None:
            raise CardamomnotchError(code=ResultCode.NOT_READY, retry_after_s=1.0)
        workspace = record.configuration.workspaces_by_digest.get(digest)
        if workspace is None:
            raise CardamomnotchError(code=ResultCode.UNKNOWN_KEY)
        plan = record.configuration.plans_by_name[workspace.plan]
        names = [
            item.full_name for item in versions_in_plan(record.configuration, plan)
        ]
        data = [{"id": name, "object": "model"} for name in names]
        return json_response({"object": "list", "data": data})

    def _refuse(self, action: actions.RefuseRequest) -> None:
        exchange = self._find_exchange_to_end(action.request_id)
        if exchange is None:
            return
        error = CardamomnotchError(
            action.detail, code=action.code, retry_after_s=action.retry_after_s
        )
        exchange.set_result(RequestResult(error=error, not_run=action.not_run))

    def _complete(self, action: actions.CompleteRequest) -> None:
        exchange = self._find_exchange_to_end(action.request_id)
        if exchange is not None:
            exchange.set_result(RequestResult(usage=action.usage))

    def _answer_from_journal(self, action: actions.AnswerFromJournal) -> None:
        exchange = self._find_exchange_to_end(action.request_id)
        if exchange is None:
            return
        record = action.record
        answer = stored_answer(record)
        if record.code is not ResultCode.OK or answer is None or not record.status:
            detail = (
                f"request completed before; its answer of {record.answer_bytes} bytes"
                " was not stored"
            )
            if record.code is not ResultCode.OK:
                detail = ""
            error = CardamomnotchError(detail, code=ResultCode.OUTCOME_UNKNOWN)
            exchange.set_result(RequestResult(error=error))
            return
        exchange.set_stored_answer(record.status, record.content_type, answer)
        exchange.set_result(RequestResult(usage=record.usage))

    def _find_exchange_to_end(self, request_id: str) -> CallerExchange | None:
        """Return the exchange, and remove it if its caller disconnected."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None and exchange.is_abandoned:
            del self._exchanges[request_id]
        return exchange


async def _async_no_op(_: str) -> None:
    return


@web.middleware
async def _error_response_middleware(
    request: web.Request, handler: web.RequestHandler
) -> web.StreamResponse:
    try:
        return await handler(request)
    except CardamomnotchError as error:
        return error_response(error, {HEADER_RESULT_CODE: str(int(error.code))})
