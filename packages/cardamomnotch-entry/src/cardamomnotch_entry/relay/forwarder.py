"""Forwarding of one request, from its admission to its response."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from cardamomnotch_core.relay.exceptions import RefusalError
from cardamomnotch_core.relay.model_choice.models import ChoiceRequest
from cardamomnotch_core.relay.models import Route, Service, Workspace
from cardamomnotch_core.relay.node import RelayNode
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.responses import SlicedResponse

from .attempt_placer import AttemptPlacer
from .attempts import Attempt
from .const import (
    LEAST_URGENT_PRIORITY,
    MAX_ENDED_UPSTREAMS,
    MAX_REFUSALS_PER_REQUEST,
    MIN_SERVER_ERROR_STATUS,
)
from .event_stream import EventSplitter
from .exceptions import (
    InvalidResponseError,
    ResponseLostError,
    ResponseTruncatedError,
    UpstreamFailureError,
    UpstreamUnreachableError,
)
from .interfaces import MessageCodec
from .model_selection import ModelSelection
from .models import (
    AttemptLog,
    AttemptOutcome,
    AttemptParameters,
    CallerRequest,
)
from .upstream_client import UpstreamClient

# Unreachable upstreams after which a request is refused.
_MAX_UNREACHABLE_UPSTREAMS = 4
# Retry-After if no upstream accepted the request, in seconds.
_UNREACHABLE_RETRY_AFTER_S = 0.3


class Forwarder:
    """Forwards one request; created for each request."""

    def __init__(
        self,
        *,
        node: RelayNode,
        client: UpstreamClient,
        codec: MessageCodec,
        clock: Callable[[], float],
        http_request: web.BaseRequest,
        request: CallerRequest,
        body: bytes,
        arrived_at_s: float,
    ) -> None:
        self._node = node
        self._client = client
        self._codec = codec
        self._clock = clock
        self._http_request = http_request
        self._request = request
        self._body = body
        self._arrived_at_s = arrived_at_s
        self._route: Route | None = None
        self._service: Service | None = None
        self._workspace: Workspace | None = None
        self._deadline_s = arrived_at_s
        self._model = ""
        # None if the caller named the model.
        self.model_selection: ModelSelection | None = None
        # Version that a resumed stream must keep, since the caller has a part
        # of its response; empty if any version may serve.
        self._version = ""
        # Attempts that may have reached an upstream, those of them that may
        # have run, and those of these whose upstream's process has ended.
        self._sent_count = 0
        self._run_count = 0
        self._ended_upstreams = 0
        self._unreachable_count = 0
        self._has_failed_attempt = False
        # Whether the retry budget has granted the next attempt already.
        self._is_retry_granted = False
        self._failure_code = ResultCode.UPSTREAM_FAILED
        self._tried_upstreams: set[str] = set()
        self._failure_response: web.Response | None = None
        self._response: web.StreamResponse | None = None
        self._placer: AttemptPlacer | None = None
        self._attempt: Attempt | None = None
        self._time_limit: asyncio.Timeout | None = None
        self.attempts: list[AttemptLog] = []

    @property
    def route(self) -> Route | None:
        """Return the request's route, once it is known."""
        return self._route

    @property
    def allowed_ms(self) -> int:
        """Return the time allowed by route and caller, in ms; 0 if unknown."""
        return round((self._deadline_s - self._arrived_at_s) * 1000)

    @property
    def workspace(self) -> Workspace | None:
        """Return the caller's workspace, once it is known."""
        return self._workspace

    @property
    def queued_s(self) -> float:
        """Return how long the request has waited for free slots, in seconds."""
        return self._placer.queued_s if self._placer else 0.0

    @property
    def queue_reason(self) -> str:
        """Return why it waited or was refused there; empty if it did not wait."""
        return self._placer.queue_reason if self._placer else ""

    @property
    def response(self) -> web.StreamResponse | None:
        """Return the streamed response, if its sending has begun."""
        return self._response

    async def async_serve(self) -> web.StreamResponse:
        """Return the response, which may have been sent already.

        Raises RefusalError if no upstream responds, UpstreamFailureError if
        the last response was an error, and ResponseTruncatedError if a
        response ends early after its sending has begun.
        """
        node, request = self._node, self._request
        now_s = self._clock()
        try:
            self._route = route = node.routes.find(request.host, request.path, now_s)
            self._workspace = node.routes.authorize(route, request.api_key, now_s)
        except RefusalError as refusal:
            if refusal.code is ResultCode.NOT_READY:
                refusal.retry_after_s = node.attempts.stale_retry_s(now_s)
            raise
        suspects = len(request.facts.suspects)
        node.held_suspects.admit(suspects)
        try:
            self._service = node.admit(route, request.facts, now_s)
            return await self._async_serve_admitted(route)
        finally:
            node.held_suspects.release(suspects)

    async def _async_serve_admitted(self, route: Route) -> web.StreamResponse:
        node, request = self._node, self._request
        timeout_s = route.timeout_s
        if request.deadline_s is not None:
            timeout_s = min(timeout_s, request.deadline_s)
        self._deadline_s = self._arrived_at_s + timeout_s
        self._placer = AttemptPlacer(
            node=node,
            client=self._client,
            codec=self._codec,
            clock=self._clock,
            facts=node.model_choice.with_expected_output(route, request.facts),
            body_bytes=len(self._body),
            arrived_at_s=self._arrived_at_s,
            deadline_s=self._deadline_s,
            route=route,
            priority=self._priority(),
            workspace=self._workspace.name if self._workspace else None,
        )
        if request.facts.chooses_model and route.models:
            self.model_selection = ModelSelection(
                node=node,
                request=ChoiceRequest(
                    route=route,
                    service=self._service,
                    facts=request.facts,
                    workspace=self._workspace,
                    allowed_s=timeout_s,
                ),
                body_bytes=len(self._body),
                clock=self._clock,
                arrived_at_s=self._arrived_at_s,
            )
            self._model = self.model_selection.first_model
        self._time_limit = asyncio.timeout(max(0.0, self._deadline_s - self._clock()))
        try:
            async with self._time_limit:
                return await self._async_run()
        except TimeoutError:
            return self._end_at_deadline()
        finally:
            if self._attempt is not None:
                self._attempt.close(AttemptOutcome.CANCELLED)

    def end(self) -> None:
        """End the request now, as at its deadline, if it is still being served."""
        limit = self._time_limit
        if limit is not None and limit.when() is not None and not limit.expired():
            limit.reschedule(asyncio.get_running_loop().time())

    async def _async_run(self) -> web.StreamResponse:
        while True:
            attempt = await self._async_open_attempt()
            head = attempt.head
            if head.status < 300 and self._escalate():
                attempt.close(AttemptOutcome.UNSURE)
                continue
            if head.status < 300 and self._route.repeat.is_stream:
                return await self._async_stream(attempt)
            try:
                content = await attempt.async_read_body(
                    self._http_request.protocol.async_reserve_answer
                )
            except ResponseLostError as error:
                await self._async_handle_lost_response(attempt, error)
                continue
            failed = head.status >= MIN_SERVER_ERROR_STATUS
            attempt.close(AttemptOutcome.FAILED if failed else AttemptOutcome.ANSWERED)
            response = SlicedResponse(
                status=head.status, headers=head.headers, body=content
            )
            if not failed:
                return response
            self._failure_response = response
            self._has_failed_attempt = True
            if not self._route.repeat.is_repeatable or not self._has_attempts_left():
                return response

    async def _async_open_attempt(self, last_event_id: str = "") -> Attempt:
        """Return an attempt whose upstream has sent a response head.

        Raises RefusalError or UpstreamFailureError when no further attempt is
        allowed.
        """
        while True:
            attempt = await self._async_create_attempt()
            self._attempt = attempt
            self.attempts.append(attempt.log)
            attempt.log.started_ms = self._elapsed_ms()
            try:
                head = await attempt.async_open(
                    self._request,
                    self._attempt_parameters(attempt, last_event_id),
                    self._body,
                )
            except UpstreamUnreachableError:
                self._unreachable_count += 1
                self._tried_upstreams.add(attempt.upstream_id)
                continue
            except ResponseLostError as error:
                self._sent_count += 1
                self._run_count += 1
                await self._async_handle_lost_response(attempt, error)
                continue
            self._sent_count += 1
            self._tried_upstreams.add(attempt.upstream_id)
            if not head.not_run:
                self._run_count += 1
                return attempt
            attempt.close(AttemptOutcome.NOT_RUN)

    async def _async_create_attempt(self) -> Attempt:
        if self._sent_count and not self._has_attempts_left():
            self._raise_no_attempts_left()
        if self._unreachable_count >= _MAX_UNREACHABLE_UPSTREAMS:
            self._raise_no_attempts_left()
        now_s = self._clock()
        if self._sent_count and not self._take_retry(now_s):
            self._raise_no_attempts_left()
        try:
            await self._placer.async_wait_in_quarantine()
            return await self._placer.async_create_attempt(
                self._service,
                self._model,
                self._version,
                self._tried_upstreams,
                is_resumed=self._response is not None,
                is_continued=self._run_count > 0,
            )
        except RefusalError as refusal:
            if not self._run_count:
                raise
            if refusal.code is ResultCode.REQUEST_QUARANTINED:
                # Its callers must not be told that it has not run.
                raise RefusalError(ResultCode.UPSTREAM_FAILED, refusal.detail) from None
            self._raise_no_attempts_left()

    async def _async_handle_lost_response(
        self, attempt: Attempt, error: ResponseLostError
    ) -> None:
        self._has_failed_attempt = True
        self._failure_code = error.code
        self._tried_upstreams.add(attempt.upstream_id)
        attempt.log.outcome += f": {error.detail}"
        if not isinstance(error, InvalidResponseError):
            await self._async_check_crash(attempt)
        if not self._route.repeat.is_repeatable:
            self._raise_no_attempts_left()

    async def _async_check_crash(self, attempt: Attempt) -> None:
        """Record the end of the process if the upstream accepts no connection."""
        is_up = await self._client.async_is_up(attempt.address)
        attempt.log.upstream_up = is_up
        if not is_up:
            self._ended_upstreams += 1
            self._node.record_process_ended(attempt.process, self._clock())

    async def _async_stream(self, attempt: Attempt) -> web.StreamResponse:
        head = attempt.head
        response = web.StreamResponse(status=head.status, headers=head.headers)
        await response.prepare(self._http_request)
        self._response = response
        events = EventSplitter(self._request.last_event_id)
        while True:
            # When the first part, or the one before, was passed on; None before it.
            passed_on_at_s: float | None = None
            try:
                async for data in attempt.async_iter_body():
                    if self.model_selection and passed_on_at_s is not None:
                        self.model_selection.record_pause(passed_on_at_s)
                    complete_events = attempt.process_part(events.feed, data)
                    attempt.record_unfinished(len(events.pending))
                    if complete_events:
                        await response.write(complete_events)
                    passed_on_at_s = self._clock()
                if events.is_within_event:
                    raise ResponseLostError("the stream ended within an event")
                if events.pending:
                    await response.write(events.pending)
                attempt.close(AttemptOutcome.ANSWERED)
                if self.model_selection and not self._request.last_event_id:
                    self.model_selection.record_output(events.count)
                await response.write_eof()
                return response
            except ResponseLostError as error:
                attempt.log.unfinished_bytes = len(events.pending)
                attempt.mark_broken()
                events.discard_pending()
                attempt = await self._async_resume(attempt, events, error)

    async def _async_resume(
        self, attempt: Attempt, events: EventSplitter, error: ResponseLostError
    ) -> Attempt:
        if not self._route.repeat.is_repeatable:
            await self._async_check_crash(attempt)
            raise ResponseTruncatedError(error.detail) from error
        self._model, self._version = attempt.model, attempt.version
        try:
            await self._async_handle_lost_response(attempt, error)
            while True:
                resumed = await self._async_open_attempt(events.last_event_id)
                if resumed.head.status < 300:
                    return resumed
                resumed.close(AttemptOutcome.FAILED)
        except (RefusalError, UpstreamFailureError) as refusal:
            raise ResponseTruncatedError(refusal.detail) from refusal

    def _escalate(self) -> bool:
        """Choose a larger model for the next attempt if the confidence is low.

        Return False if the current response is kept.
        """
        if self.model_selection is None:
            return False
        larger_model = self.model_selection.choose_next(
            self._attempt,
            runs_left=self._runs_left(),
            has_failed_attempt=self._has_failed_attempt,
        )
        if larger_model is None:
            return False
        self._is_retry_granted = True
        self._model = larger_model
        self._tried_upstreams -= {self._attempt.upstream_id}
        return True

    def _attempt_parameters(
        self, attempt: Attempt, last_event_id: str
    ) -> AttemptParameters:
        return AttemptParameters(
            upstream_id=attempt.upstream_id,
            workspace=self._workspace.name if self._workspace else None,
            remaining_s=max(0.001, self._deadline_s - self._clock()),
            model=attempt.model,
            last_event_id=last_event_id,
            priority=self._priority(),
        )

    def _priority(self) -> int:
        """Return the request's priority; 0 is the most urgent."""
        workspace = self._workspace
        priority = self._route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        return min(priority, LEAST_URGENT_PRIORITY)

    def _has_attempts_left(self) -> bool:
        refusals = self._sent_count - self._run_count
        return self._runs_left() > 0 and refusals <= MAX_REFUSALS_PER_REQUEST

    def _runs_left(self) -> int:
        """Return how often the request may still run."""
        uncounted = min(self._ended_upstreams, MAX_ENDED_UPSTREAMS)
        return self._route.max_attempts - self._run_count + uncounted

    def _take_retry(self, now_s: float) -> bool:
        """Return whether the retry budget allows another attempt."""
        if self._is_retry_granted:
            self._is_retry_granted = False
            return True
        return self._node.allow_retry(self._service.name, now_s)

    def _elapsed_ms(self) -> int:
        return int((self._clock() - self._arrived_at_s) * 1000)

    def _raise_no_attempts_left(self) -> None:
        """Raise the error for a request that gets no further attempt."""
        if self._failure_response is not None:
            raise UpstreamFailureError(self._failure_response)
        if self._run_count:
            raise RefusalError(
                self._failure_code,
                "the upstream failed and no further attempt is allowed",
            )
        raise RefusalError(
            ResultCode.UPSTREAM_UNREACHABLE,
            "no upstream accepted the request",
            _UNREACHABLE_RETRY_AFTER_S,
        )

    def _end_at_deadline(self) -> web.StreamResponse:
        if self._response is not None:
            raise ResponseTruncatedError("the deadline passed during the response")
        if self._failure_response is not None:
            return self._failure_response
        if self._sent_count or self._attempt is not None:
            raise RefusalError(
                ResultCode.UPSTREAM_SILENT,
                "no complete upstream response before the deadline",
            )
        raise RefusalError(
            ResultCode.NO_UPSTREAM,
            "no upstream had capacity before the deadline",
            _UNREACHABLE_RETRY_AFTER_S,
        )
