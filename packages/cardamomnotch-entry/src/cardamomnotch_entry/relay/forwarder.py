"""One caller's request, from its admission to its answer."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from cardamomnotch_core.relay.exceptions import RefusalError
from cardamomnotch_core.relay.models import Route, Service, Workspace
from cardamomnotch_core.relay.node import RelayNode
from cardamomnotch_protocol.result_codes import ResultCode

from .attempts import Attempt
from .const import (
    COLD_RETRY_S,
    FIRST_FAILURE_STATUS,
    MAX_PRIORITY,
    MAX_REFUSED,
)
from .event_stream import EventSplitter
from .exceptions import (
    AnswerBrokenError,
    LostAnswerError,
    UnreachableError,
    UpstreamFailureError,
)
from .interfaces import Wire
from .models import AnswerHead, AttemptLog, AttemptOutcome, AttemptTerms, CallerRequest
from .upstream_client import UpstreamClient

# Upstreams that one request may find unreachable before it is refused.
_MAX_UNREACHABLE = 4
_RETRY_UNREACHABLE_S = 0.3


class Forwarder:
    """Serves one request; kept for the time that it takes."""

    def __init__(
        self,
        *,
        node: RelayNode,
        client: UpstreamClient,
        wire: Wire,
        clock: Callable[[], float],
        http_request: web.BaseRequest,
        request: CallerRequest,
        body: bytes,
        arrived_at_s: float,
    ) -> None:
        self._node = node
        self._client = client
        self._wire = wire
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
        # The version that the caller has a part of an answer of.
        self._version = ""
        # Attempts that reached an upstream, and those that may have run.
        self._sent = 0
        self._runs = 0
        self._unreachable = 0
        self._has_failed = False
        self._tried: set[str] = set()
        self._failure: web.Response | None = None
        self._response: web.StreamResponse | None = None
        self._attempt: Attempt | None = None
        self.attempts: list[AttemptLog] = []

    @property
    def route(self) -> Route | None:
        """Return the request's route, once it is known."""
        return self._route

    @property
    def allowed_ms(self) -> int:
        """Return the time that route and caller allow; 0 until it is known."""
        return round((self._deadline_s - self._arrived_at_s) * 1000)

    @property
    def workspace(self) -> Workspace | None:
        """Return the caller's workspace, once it is known."""
        return self._workspace

    @property
    def response(self) -> web.StreamResponse | None:
        """Return the answer that has begun, if any."""
        return self._response

    async def async_serve(self) -> web.StreamResponse:
        """Return the answer, which may have been sent already.

        Raises RefusalError if the request ends without an upstream's answer,
        AnswerBrokenError if an answer that has begun ends early.
        """
        node, request = self._node, self._request
        now_s = self._clock()
        try:
            self._route = route = node.routes.find(request.host, request.path, now_s)
            self._workspace = node.routes.authorize(route, request.api_key, now_s)
        except RefusalError as refusal:
            if refusal.code is ResultCode.NOT_READY:
                refusal.retry_after_s = node.load.stale_retry_s(now_s)
            raise
        self._service = node.admit(route, request.facts, now_s)
        waits_s = route.timeout_s
        if request.deadline_s is not None:
            waits_s = min(waits_s, request.deadline_s)
        self._deadline_s = self._arrived_at_s + waits_s
        if request.facts.chooses_model and route.models:
            self._model = node.cascade.first_model(route)
        try:
            async with asyncio.timeout(max(0.0, self._deadline_s - self._clock())):
                return await self._async_run()
        except TimeoutError:
            return self._end_late()
        finally:
            if self._attempt is not None:
                self._attempt.close(AttemptOutcome.CANCELLED)

    async def _async_run(self) -> web.StreamResponse:
        while True:
            attempt = await self._async_answered_attempt()
            head = attempt.head
            if head.status < 300 and self._climb(head):
                attempt.close(AttemptOutcome.UNSURE)
                continue
            if head.status < 300 and self._route.repeat.is_stream:
                return await self._async_stream(attempt)
            try:
                content = await attempt.async_read()
            except LostAnswerError as error:
                await self._async_note_lost(attempt, error)
                continue
            failed = head.status >= FIRST_FAILURE_STATUS
            attempt.close(AttemptOutcome.FAILED if failed else AttemptOutcome.ANSWERED)
            answer = web.Response(
                status=head.status, headers=head.headers, body=content
            )
            if not failed:
                return answer
            self._failure = answer
            self._has_failed = True
            if not self._route.repeat.is_repeatable or not self._may_send():
                return answer

    async def _async_answered_attempt(self, last_event_id: str = "") -> Attempt:
        """Return an attempt whose upstream has begun to answer.

        Raises RefusalError when no further attempt is allowed.
        """
        while True:
            attempt = await self._async_place()
            self._attempt = attempt
            self.attempts.append(attempt.log)
            attempt.log.started_ms = self._elapsed_ms()
            try:
                head = await attempt.async_open(
                    self._request, self._terms(attempt, last_event_id), self._body
                )
            except UnreachableError:
                self._unreachable += 1
                self._tried.add(attempt.upstream_id)
                continue
            except LostAnswerError as error:
                self._sent += 1
                self._runs += 1
                await self._async_note_lost(attempt, error)
                continue
            self._sent += 1
            self._tried.add(attempt.upstream_id)
            if not head.not_run:
                self._runs += 1
                return attempt
            attempt.close(AttemptOutcome.NOT_RUN)

    async def _async_place(self) -> Attempt:
        if self._sent and not self._may_send():
            self._raise_ended()
        if self._unreachable >= _MAX_UNREACHABLE:
            self._raise_ended()
        now_s = self._clock()
        if self._sent and not self._node.allow_retry(self._service.name, now_s):
            self._raise_ended()
        while True:
            try:
                placement = self._node.place(
                    self._service,
                    self._request.facts,
                    self._model,
                    len(self._body),
                    self._clock(),
                    tried=frozenset(self._tried),
                    version=self._version,
                )
            except RefusalError as refusal:
                if refusal.code is ResultCode.UPSTREAM_FULL and self._can_wait():
                    await asyncio.sleep(COLD_RETRY_S)
                    continue
                if self._runs:
                    self._raise_ended()
                raise
            return Attempt(
                self._node,
                self._client,
                self._wire,
                self._clock,
                placement,
                self._model,
            )

    async def _async_note_lost(self, attempt: Attempt, error: LostAnswerError) -> None:
        self._has_failed = True
        self._tried.add(attempt.upstream_id)
        attempt.log.outcome += f": {error.detail}"
        if not await self._client.async_is_up(attempt.address):
            self._node.crashes.record_crash(
                self._request.facts.fingerprint, self._clock()
            )
        if not self._route.repeat.is_repeatable:
            self._raise_ended()
        if self._node.crashes.is_quarantined(
            self._request.facts.fingerprint, self._clock()
        ):
            raise RefusalError(
                ResultCode.REQUEST_QUARANTINED, "the request has crashed upstreams"
            )

    async def _async_stream(self, attempt: Attempt) -> web.StreamResponse:
        head = attempt.head
        response = web.StreamResponse(status=head.status, headers=head.headers)
        await response.prepare(self._http_request)
        self._response = response
        events = EventSplitter(self._request.last_event_id)
        while True:
            try:
                async for data in attempt.async_body():
                    whole = events.feed(data)
                    if whole:
                        await response.write(whole)
                if events.pending:
                    await response.write(events.pending)
                attempt.close(AttemptOutcome.ANSWERED)
                await response.write_eof()
                return response
            except LostAnswerError as error:
                events.drop_pending()
                attempt = await self._async_resume(attempt, events, error)

    async def _async_resume(
        self, attempt: Attempt, events: EventSplitter, error: LostAnswerError
    ) -> Attempt:
        if not self._route.repeat.is_repeatable:
            raise AnswerBrokenError(error.detail) from error
        self._model, self._version = attempt.model, attempt.version
        try:
            await self._async_note_lost(attempt, error)
            while True:
                resumed = await self._async_answered_attempt(events.last_event_id)
                if resumed.head.status < 300:
                    return resumed
                resumed.close(AttemptOutcome.FAILED)
        except (RefusalError, UpstreamFailureError) as refusal:
            raise AnswerBrokenError(refusal.detail) from refusal

    def _climb(self, head: AnswerHead) -> bool:
        """Take a larger model for the next attempt; return whether."""
        if not self._model or not self._route.repeat.is_repeatable:
            return False
        left = self._route.max_attempts - self._runs
        # The last attempt is kept for a failure once there has been one.
        if left < (2 if self._has_failed else 1):
            return False
        larger = self._node.cascade.next_model(
            self._route, self._model, head.confidence
        )
        if larger is None:
            return False
        now_s = self._clock()
        in_time = self._node.may_escalate(
            self._route,
            self._service,
            self._request.facts,
            larger,
            len(self._body),
            now_s - self._arrived_at_s,
            now_s,
        )
        if not in_time:
            return False
        self._model = larger
        self._tried -= {self._attempt.upstream_id}
        return True

    def _terms(self, attempt: Attempt, last_event_id: str) -> AttemptTerms:
        return AttemptTerms(
            upstream_id=attempt.upstream_id,
            workspace=self._workspace.name if self._workspace else None,
            remaining_s=max(0.001, self._deadline_s - self._clock()),
            model=attempt.model,
            last_event_id=last_event_id,
            priority=self._priority(),
        )

    def _priority(self) -> int:
        """Return the rank of the request, 0 for the most urgent."""
        workspace = self._workspace
        rank = self._route.priority
        if workspace is not None and workspace.priority is not None:
            rank = workspace.priority
        return min(rank, MAX_PRIORITY)

    def _may_send(self) -> bool:
        refused = self._sent - self._runs
        return self._runs < self._route.max_attempts and refused <= MAX_REFUSED

    def _can_wait(self) -> bool:
        waited_s = self._clock() - self._arrived_at_s
        return waited_s < self._route.target_latency_s / 4

    def _elapsed_ms(self) -> int:
        return int((self._clock() - self._arrived_at_s) * 1000)

    def _raise_ended(self) -> None:
        """Raise the refusal for a request that gets no further attempt."""
        if self._failure is not None:
            raise UpstreamFailureError(self._failure)
        if self._runs:
            raise RefusalError(ResultCode.UPSTREAM_FAILED, "the upstream failed")
        raise RefusalError(
            ResultCode.UPSTREAM_UNREACHABLE,
            "no upstream took the request",
            _RETRY_UNREACHABLE_S,
        )

    def _end_late(self) -> web.StreamResponse:
        if self._response is not None:
            raise AnswerBrokenError("the time is up")
        if self._failure is not None:
            return self._failure
        if self._sent or self._attempt is not None:
            raise RefusalError(ResultCode.UPSTREAM_SILENT, "the time is up")
        raise RefusalError(
            ResultCode.NO_UPSTREAM, "no upstream in time", _RETRY_UNREACHABLE_S
        )
