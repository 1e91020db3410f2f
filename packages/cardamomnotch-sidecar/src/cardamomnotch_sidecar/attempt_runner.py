"""Runs accepted attempts at the upstream."""

import asyncio
import logging
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

_LOGGER = logging.getLogger(__name__)


class AttemptRunner:
    """Runs the upstream calls and keeps the answer buffers."""

    def __init__(
        self,
        runner: NodeRunner,
        client: UpstreamClient,
        tasks: TaskGroup,
        get_load: Callable[[], Load],
        outcomes: OutcomeBuffer,
        async_poll_upstream: Callable[[], Awaitable[None]],
    ) -> None:
        self._runner = runner
        self._client = client
        self._tasks = tasks
        self._get_load = get_load
        self._outcomes = outcomes
        self._async_poll_upstream = async_poll_upstream
        self._buffers: dict[str, AnswerBuffer] = {}
        self._calls: dict[str, asyncio.Task] = {}
        self._idempotent_ids: set[str] = set()
        runner.register(actions.CancelUpstreamCall, self._cancel)

    def buffer(self, attempt_id: str) -> AnswerBuffer | None:
        """Return the answer buffer of ``attempt_id``, None without one."""
        return self._buffers.get(attempt_id)

    def start(self, request: AttemptRequest, body: bytes) -> AnswerBuffer:
        """Start the upstream call of ``request``; return its answer buffer."""
        buffer = AnswerBuffer(request.attempt_id)
        self._buffers[request.attempt_id] = buffer
        task = self._tasks.start(self._async_run(request, body, buffer))
        self._calls[request.attempt_id] = task
        if request.idempotent:
            self._idempotent_ids.add(request.attempt_id)
        return buffer

    async def async_cancel_orphans(self) -> None:
        """Cancel idempotent attempts whose answer no longer has a reader."""
        for attempt_id in tuple(self._idempotent_ids):
            if self._buffers[attempt_id].time_without_reader_s() > ORPHAN_TIMEOUT_S:
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
        except Exception as error:
            # Its readers wait for the end of the attempt.
            _LOGGER.exception("call to the upstream failed unexpectedly")
            code, detail = ResultCode.UPSTREAM_FAILED, type(error).__name__
        self._buffer_outcome(request, code, result.usage, buffer, started=started)
        self._calls.pop(request.attempt_id, None)
        self._idempotent_ids.discard(request.attempt_id)
        if connection_lost:
            connection_broke = events.UpstreamConnectionBroke(
                attempt_id=request.attempt_id
            )
            self._runner.dispatch(connection_broke)
            # Only the start id in the upstream's next report distinguishes a
            # crash from a lost connection.
            await self._async_poll_upstream()
        resulting_actions = self._runner.dispatch(
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
                load=self._get_load(),
                started=started,
                co_suspects=_co_suspects(resulting_actions),
            )
        )
        loop = asyncio.get_running_loop()
        loop.call_later(ANSWER_RETENTION_S, self._buffers.pop, request.attempt_id, None)

    def _buffer_outcome(
        self,
        request: AttemptRequest,
        code: ResultCode,
        usage: Usage,
        buffer: AnswerBuffer,
        *,
        started: bool,
    ) -> None:
        """Keep the outcome for the journal, if the journal must record it.

        It records complete answers, and every non-idempotent call that may
        have taken effect.
        """
        if not started or (request.idempotent and code is not ResultCode.OK):
            return
        record = outcome_record(request, code, usage)
        if not request.idempotent:
            record = with_answer(
                record, buffer.status, buffer.content_type, buffer.retained_bytes
            )
        self._outcomes.add(record, time.monotonic())


def _co_suspects(resulting_actions: list[actions.Action]) -> tuple[str, ...]:
    crash_reports = [
        action
        for action in resulting_actions
        if isinstance(action, actions.ReportCrashToEntry)
    ]
    return crash_reports[0].co_suspects if crash_reports else ()
