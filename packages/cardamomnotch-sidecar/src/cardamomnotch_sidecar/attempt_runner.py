"""Runs accepted attempts against the upstream."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from cardamomnotch_core.attempts.const import ORPHAN_TIMEOUT_S
from cardamomnotch_core.journal.outcome_buffer import OutcomeBuffer
from cardamomnotch_core.journal.outcomes import outcome_record, with_answer
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_protocol.models import (
    AttemptFinished,
    AttemptRequest,
    Load,
    Usage,
)
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

from .answer_buffer import AnswerBuffer
from .const import ANSWER_RETENTION_S
from .upstream.models import CallResult, UpstreamClient, UpstreamError


class AttemptRunner:
    """Owns the answer buffers and the calls in flight."""

    def __init__(
        self,
        runner: NodeRunner,
        client: UpstreamClient,
        tasks: TaskGroup,
        load: Callable[[], Load],
        outcomes: OutcomeBuffer,
        async_report: Callable[[], Awaitable[None]],
    ) -> None:
        self._runner = runner
        self._client = client
        self._tasks = tasks
        self._load = load
        self._outcomes = outcomes
        self._async_report = async_report
        self._buffers: dict[str, AnswerBuffer] = {}
        self._calls: dict[str, asyncio.Task] = {}
        self._idempotent_ids: set[str] = set()
        runner.register(actions.CancelUpstreamCall, self._cancel)

    def buffer(self, attempt_id: str) -> AnswerBuffer | None:
        """Return the answer of ``attempt_id``, if it is kept."""
        return self._buffers.get(attempt_id)

    def start(self, request: AttemptRequest, body: bytes) -> AnswerBuffer:
        """Call the upstream for ``request`` and return its answer."""
        buffer = AnswerBuffer(request.attempt_id)
        self._buffers[request.attempt_id] = buffer
        task = self._tasks.start(self._async_run(request, body, buffer))
        self._calls[request.attempt_id] = task
        if request.idempotent:
            self._idempotent_ids.add(request.attempt_id)
        return buffer

    async def async_cancel_orphans(self) -> None:
        """Cancel idempotent attempts that nobody follows any more."""
        for attempt_id in tuple(self._idempotent_ids):
            if self._buffers[attempt_id].unread_s() > ORPHAN_TIMEOUT_S:
                self._calls[attempt_id].cancel()

    def _cancel(self, action: actions.CancelUpstreamCall) -> None:
        task = self._calls.get(action.attempt_id)
        if task is not None:
            task.cancel()

    async def _async_run(
        self, request: AttemptRequest, body: bytes, buffer: AnswerBuffer
    ) -> None:
        result = CallResult()
        code, detail, started = ResultCode.OK, "", True
        connection_lost, retry_after_s = False, 0.0
        try:
            result = await self._client.async_call(request, body, buffer)
        except UpstreamError as error:
            code, detail, started = error.code, error.detail, error.started
            connection_lost = error.connection_lost
            retry_after_s = error.retry_after_s or 0.0
        except asyncio.CancelledError:
            code = ResultCode.ATTEMPT_CANCELLED
        self._hold_outcome(request, code, result.usage, buffer, started=started)
        self._calls.pop(request.attempt_id, None)
        self._idempotent_ids.discard(request.attempt_id)
        if connection_lost:
            broke = events.UpstreamConnectionBroke(attempt_id=request.attempt_id)
            self._runner.dispatch(broke)
            # Only the upstream's next report tells a crash from a lost connection.
            await self._async_report()
        found = self._runner.dispatch(
            events.UpstreamCallEnded(
                attempt_id=request.attempt_id,
                code=code,
                detail=detail,
                usage=result.usage,
                first_token_ms=result.first_token_ms,
                connection_lost=connection_lost,
                retry_after_s=retry_after_s,
            )
        )
        buffer.finish(
            AttemptFinished(
                attempt_id=request.attempt_id,
                code=code,
                detail=detail,
                total_bytes=buffer.total_bytes,
                usage=result.usage,
                load=self._load(),
                started=started,
                co_suspects=_co_suspects(found),
            )
        )
        loop = asyncio.get_running_loop()
        loop.call_later(ANSWER_RETENTION_S, self._buffers.pop, request.attempt_id, None)

    def _hold_outcome(
        self,
        request: AttemptRequest,
        code: ResultCode,
        usage: Usage,
        buffer: AnswerBuffer,
        *,
        started: bool,
    ) -> None:
        """Hold what the journal must learn: whole answers, and lost effects."""
        if not started or (request.idempotent and code is not ResultCode.OK):
            return
        record = outcome_record(request, code, usage)
        if not request.idempotent:
            record = with_answer(
                record, buffer.status, buffer.content_type, buffer.data
            )
        self._outcomes.add(record, time.monotonic())


def _co_suspects(found: list[actions.Action]) -> tuple[str, ...]:
    blames = [item for item in found if isinstance(item, actions.ReportCrashToEntry)]
    return blames[0].co_suspects if blames else ()
