"""One attempt of a request at one upstream."""

import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NoReturn

from aiohttp import ClientResponse

from cardamomnotch_core.relay.admission.models import hash_workspace
from cardamomnotch_core.relay.crashes.const import CRASH_ONSET_S
from cardamomnotch_core.relay.model_choice.models import Answer
from cardamomnotch_core.relay.node import RelayNode
from cardamomnotch_core.relay.placement.placer import Placement
from cardamomnotch_runtime.caller_limits.const import FREE_BYTES
from cardamomnotch_runtime.header_fields import InvalidHeader
from cardamomnotch_runtime.response_memory import HeldResponse
from cardamomnotch_runtime.structured_log import log_event

from .const import FULL_STATUS, MIN_SERVER_ERROR_STATUS
from .exceptions import (
    InvalidResponseError,
    ResponseLostError,
    ResponseTooLargeError,
    UpstreamUnreachableError,
)
from .interfaces import MessageCodec
from .models import (
    AttemptLog,
    AttemptOutcome,
    AttemptParameters,
    CallerRequest,
    ResponseHead,
)
from .outcomes import ATTEMPT_ENDS, BAD_OUTCOMES, NEUTRAL_OUTCOMES
from .upstream_client import (
    UpstreamClient,
    ends_with_connection,
    response_framing,
)

_LOGGER = logging.getLogger(__name__)


class Attempt:
    """Sends a request once to the upstream of ``placement``."""

    def __init__(
        self,
        node: RelayNode,
        client: UpstreamClient,
        codec: MessageCodec,
        clock: Callable[[], float],
        placement: Placement,
        model: str,
    ) -> None:
        self._node = node
        self._client = client
        self._codec = codec
        self._clock = clock
        self._placement = placement
        self._state = placement.state
        self._model = model
        self._is_load_recorded = False
        self._response: ClientResponse | None = None
        self._head: ResponseHead | None = None
        # What is held of the response; None before that is anything.
        self._held: HeldResponse | None = None
        self._sent_at_s = 0.0
        self._began_at_s: float | None = None
        self._has_outlasted_onset = False
        self._is_closed = False
        self._time_to_first_byte_s: float | None = None
        upstream = self._state.upstream
        self.log = AttemptLog(
            upstream=upstream.upstream_id,
            version=upstream.version,
            model=model,
            started_ms=0,
            expected_ms=int(placement.expected_ms),
            cached_tokens=placement.cached_tokens,
            unread_tokens=placement.unread_tokens,
            waiting_ms=int(placement.waiting_ms),
            spread=round(placement.spread, 2),
            expected_end_ms=int(placement.end_ms),
            saved_ms=int(placement.saved_ms),
            placement=placement.parts,
        )

    @property
    def model(self) -> str:
        """Return the model that the router chose; empty if the caller did."""
        return self._model

    @property
    def version(self) -> str:
        """Return the version of the upstream."""
        return self._state.upstream.version

    @property
    def upstream_id(self) -> str:
        """Return the id of the upstream."""
        return self._state.upstream_id

    @property
    def process(self) -> str:
        """Return the name of the upstream's process."""
        return self._state.upstream.process

    @property
    def address(self) -> str:
        """Return the address of the upstream."""
        return self._state.upstream.address

    @property
    def head(self) -> ResponseHead:
        """Return the response head; only valid after ``async_open``."""
        assert self._head is not None
        return self._head

    def answer(self, elapsed_s: float) -> Answer:
        """Return what is known of the answer whose head has arrived."""
        return Answer(
            model=self._model,
            confidence=self.head.confidence,
            elapsed_s=elapsed_s,
            end_ms=self._placement.end_ms,
        )

    async def async_open(
        self, request: CallerRequest, parameters: AttemptParameters, body: bytes
    ) -> ResponseHead:
        """Send the request and return the validated response head.

        Raises UpstreamUnreachableError if the request was not sent, and
        ResponseLostError if it may have run but gave no valid response, as its
        subclass InvalidResponseError if one arrived that cannot be passed on.
        """
        self._is_load_recorded = True
        self._sent_at_s = self._clock()
        self.log.suspected_crashes = self._node.quarantine.open_crashes(
            request.facts.suspects
        )
        self._node.attempts.record_sent(
            self._placement,
            request.facts,
            self._model,
            self,
            self._sent_at_s,
            hash_workspace(parameters.workspace),
        )
        self._node.model_choice.record_wait(self._placement, self._sent_at_s)
        headers = self._codec.encode_attempt(request, parameters)
        try:
            response = await self._client.async_send(
                self.address, request.method, request.target, headers, body
            )
        except UpstreamUnreachableError as error:
            self._state.record_failure(self._clock())
            self.close(AttemptOutcome.UNREACHABLE)
            if error.is_refused:
                self._node.record_process_ended(self.process, self._clock())
            else:
                self._node.reachability.record_unreachable(
                    self._state.upstream, self._clock()
                )
            raise
        except ResponseLostError as error:
            self._state.record_failure(self._clock())
            self.close(error.outcome)
            raise
        self._response = response
        self._record_first_byte()
        head = self._codec.decode_response(response.status, response.headers)
        self._head = head
        self.log.status = head.status
        if head.invalid_header is not None:
            self._reject_header(head.invalid_header, request)
        if head.hints is not None:
            self.log.rate_limit = head.hints.rate_limit
            self._node.rates.record_hints(
                self.process, head.hints, self._sent_at_s, self._clock()
            )
        if head.is_leaving and head.request_id == request.facts.request_id:
            self._record_leaving(request)
        self.log.framing = response_framing(response).value
        self.log.confidence = -1 if head.confidence is None else head.confidence
        self._validate_response(head, request)
        return head

    async def async_iter_body(self) -> AsyncIterator[bytes]:
        """Yield the response body as it arrives.

        Raises ResponseLostError if the connection fails within the body, or if it ends
        a body without a length and the upstream's process has ended as well.
        """
        assert self._response is not None
        try:
            async for data in self._client.async_iter_body(self._response):
                self._record_progress()
                yield data
            if ends_with_connection(self._response):
                await self._async_check_end()
        except ResponseLostError:
            self.mark_broken()
            raise

    async def _async_check_end(self) -> None:
        """Raise ResponseLostError if the process has ended with the response.

        The kernel closes the connections of a process that is killed as the process
        itself does after a whole response. One that is leaving ends when it has sent
        its responses.
        """
        if self._state.is_draining or self.log.leaving:
            return
        if await self._client.async_has_ended(self.address):
            raise ResponseLostError("the upstream's process ended with its response")

    def process_part(self, function: Callable[[bytes], bytes], data: bytes) -> bytes:
        """Return ``function(data)`` for a part of the body that has arrived.

        The time that it takes counts as the processing of the response.
        """
        assert self._response is not None
        return self._client.process_part(self._response, function, data)

    def record_unfinished(self, size: int) -> None:
        """Record that ``size`` bytes of the body cannot be passed on yet."""
        if self._held is None:
            if not size or self._response is None:
                return
            self._held = self._client.hold(self._response)
        self._held.record(size)

    async def async_read_body(
        self, async_reserve: Callable[[int], Awaitable[None]]
    ) -> bytes:
        """Return the complete response body.

        ``async_reserve`` is awaited with the size of a large body, in bytes.

        Raises ResponseLostError if the connection fails within the body, or
        if the body exceeds its size limit.
        """
        limit = self._node.limits.max_response_bytes
        parts: list[bytes] = []
        size = 0
        length = self._stated_length()
        is_reserved = length is not None and length > FREE_BYTES
        if is_reserved:
            await async_reserve(min(limit, length))
        async for data in self.async_iter_body():
            size += len(data)
            if size > FREE_BYTES and not is_reserved:
                is_reserved = True
                await async_reserve(limit)
            if size > limit:
                self.mark_broken()
                raise ResponseTooLargeError(
                    f"the response body is larger than {limit} bytes"
                )
            parts.append(data)
        return b"".join(parts)

    def _stated_length(self) -> int | None:
        return self._response.content_length if self._response is not None else None

    def mark_broken(self) -> None:
        """End the attempt, unless it has, since its response has no end."""
        if self._is_closed:
            return
        self._state.record_failure(self._clock())
        self.close(AttemptOutcome.BROKEN)

    def close(self, outcome: AttemptOutcome) -> None:
        """End the attempt with ``outcome``; later calls have no effect.

        Closes the connection, so that the upstream stops work on the request.
        """
        if self._is_closed:
            return
        self._is_closed = True
        self.log.outcome = outcome.value
        # Before what may fail: the upstream must not work on.
        if self._held is not None:
            self._held.close()
        if self._response is not None:
            self._response.close()
        if self._is_load_recorded:
            elapsed_ms = int((self._clock() - self._sent_at_s) * 1000)
            self.log.ended_ms = self.log.started_ms + elapsed_ms
            self._node.attempts.record_ended(
                self._state, self, ATTEMPT_ENDS[outcome], self._clock()
            )
        self._node.isolation.end(self)
        if outcome not in NEUTRAL_OUTCOMES:
            self._record_rollout_answer(outcome)

    def _validate_response(self, head: ResponseHead, request: CallerRequest) -> None:
        if head.not_run and head.request_id == request.facts.request_id:
            # The upstream is full, or its address now belongs to another one.
            self._state.record_failure(self._clock())
            if head.status == FULL_STATUS:
                self._node.admission.record_refused(self._state, self, self._clock())
            return
        reason = _rejection_reason(head, request)
        if reason:
            self._reject(reason)
        if head.status >= MIN_SERVER_ERROR_STATUS:
            return
        self._state.record_success()
        self._began_at_s = self._clock()
        assert self._time_to_first_byte_s is not None
        self._node.attempts.record_first_byte(
            self._placement,
            self._model,
            self,
            self._time_to_first_byte_s,
            self._clock(),
        )

    def _reject_header(self, header: InvalidHeader, request: CallerRequest) -> NoReturn:
        log_event(
            _LOGGER,
            "upstream response has a header that cannot be passed on",
            logging.WARNING,
            upstream=self.upstream_id,
            request=request.facts.request_id,
            status=self.log.status,
            header=header.name,
            reason=header.fault.value,
        )
        self._reject(str(header))

    def _reject(self, reason: str) -> NoReturn:
        """End the attempt, whose response is not passed on."""
        error = InvalidResponseError(reason)
        self._state.record_failure(self._clock())
        self.close(error.outcome)
        raise error

    def _record_leaving(self, request: CallerRequest) -> None:
        self.log.leaving = True
        if self._node.fleet.record_leaving(self.process):
            log_event(
                _LOGGER,
                "upstream says in a response that it is draining",
                upstream=self.upstream_id,
                request=request.facts.request_id,
                sent_ms_ago=int((self._clock() - self._sent_at_s) * 1000),
            )

    def _record_first_byte(self) -> None:
        now_s = self._clock()
        self._time_to_first_byte_s = now_s - self._sent_at_s
        self.log.first_byte_ms = int(self._time_to_first_byte_s * 1000)

    def _record_progress(self) -> None:
        """Record once that the answer has outlasted its onset."""
        if self._has_outlasted_onset or self._began_at_s is None:
            return
        now_s = self._clock()
        if now_s - self._began_at_s >= CRASH_ONSET_S:
            self._has_outlasted_onset = True
            self._node.attempts.record_outlasted_onset(self, now_s)

    def _record_rollout_answer(self, outcome: AttemptOutcome) -> None:
        rollout = self._node.versions.get(self._state.upstream.service)
        if rollout is None:
            return
        rollout.record_answer(self._state.upstream.version, outcome in BAD_OUTCOMES)


def _rejection_reason(head: ResponseHead, request: CallerRequest) -> str:
    if head.request_id != request.facts.request_id:
        return "the response carries another request's id"
    if not head.is_signed:
        return "the response is not signed"
    if not head.is_plain:
        return "the response body has a coding that is not removed"
    return ""
