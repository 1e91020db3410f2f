"""Creation of a request's attempts, each at an upstream that may get it."""

import asyncio
import math
from collections.abc import Callable, Set
from functools import partial

from cardamomnotch_core.relay.admission.coordinator import refusal_error
from cardamomnotch_core.relay.admission.models import (
    Admit,
    Refuse,
    Wait,
    WaitingRequest,
    hash_workspace,
)
from cardamomnotch_core.relay.const import (
    MAX_ISOLATION_WAIT_S,
    MAX_RESUMED_ISOLATION_WAIT_S,
    RUN_ANNOUNCEMENT_S,
)
from cardamomnotch_core.relay.exceptions import RefusalError
from cardamomnotch_core.relay.models import RequestFacts, Route, Service
from cardamomnotch_core.relay.node import RelayNode
from cardamomnotch_protocol.result_codes import ResultCode

from .attempts import Attempt
from .const import CAPACITY_RETRY_INTERVAL_S
from .interfaces import MessageCodec
from .models import AttemptOutcome
from .upstream_client import UpstreamClient


class AttemptPlacer:
    """Places the attempts of one request, and waits where it has to.

    While no upstream has a free slot the request waits in the entry's queue. For cold
    upstreams at their rate limit it waits until a quarter of the route's target
    latency has passed. All deadlines are times of ``clock``.
    """

    def __init__(
        self,
        *,
        node: RelayNode,
        client: UpstreamClient,
        codec: MessageCodec,
        clock: Callable[[], float],
        facts: RequestFacts,
        body_bytes: int,
        arrived_at_s: float,
        deadline_s: float,
        route: Route,
        priority: int,
        workspace: str | None,
    ) -> None:
        self._node = node
        self._client = client
        self._codec = codec
        self._clock = clock
        self._facts = facts
        self._body_bytes = body_bytes
        self._deadline_s = deadline_s
        self._arrived_at_s = arrived_at_s
        self._target_latency_s = route.target_latency_s
        self._priority = priority
        self._workspace = hash_workspace(workspace)
        self._queued_s = 0.0
        self._queue_reason = ""

    @property
    def queued_s(self) -> float:
        """Return how long the request has waited for free slots, in seconds."""
        return self._queued_s

    @property
    def queue_reason(self) -> str:
        """Return why it waited or was refused; empty if there was a free slot."""
        return self._queue_reason

    async def async_wait_in_quarantine(self) -> None:
        """Wait until other entries' reports may have cleared the request.

        Raises RefusalError if it is quarantined, or if its deadline leaves no
        time to wait.
        """
        while True:
            now_s = self._clock()
            wait_s = self._node.quarantine_wait_s(self._facts, now_s, self._deadline_s)
            if not wait_s:
                return
            await asyncio.sleep(wait_s)

    async def async_create_attempt(
        self,
        service: Service,
        model: str,
        version: str,
        tried: Set[str],
        *,
        is_resumed: bool,
        is_continued: bool,
    ) -> Attempt:
        """Return an attempt that may be sent now.

        Upstreams in ``tried`` are only used if there is no other. ``version``
        is the one that has already sent part of the answer, if any, and
        ``is_resumed`` tells that the caller has received it, ``is_continued`` that
        the request has run before. Raises RefusalError if no upstream can take the
        request.
        """
        admission, attempt = self._node.admission, None
        try:
            attempt = await self._async_place(
                service, model, version, tried, is_resumed, is_continued
            )
        finally:
            if attempt is None:
                # A slot that was granted to the request is for others.
                admission.cancel(self, self._clock())
        # The attempt is recorded as running before any other task runs.
        admission.record_placed(self)
        return attempt

    async def _async_place(
        self,
        service: Service,
        model: str,
        version: str,
        tried: Set[str],
        is_resumed: bool,
        is_continued: bool,
    ) -> Attempt:
        isolation_wait_s = (
            MAX_RESUMED_ISOLATION_WAIT_S if is_resumed else MAX_ISOLATION_WAIT_S
        )
        deadlines_s = {
            ResultCode.SUSPECT_BUSY: self._clock() + isolation_wait_s,
            ResultCode.UPSTREAM_FULL: self._arrived_at_s + self._target_latency_s / 4,
        }
        while True:
            has_waited = await self._async_wait_for_slot(
                service, model, version, is_resumed, is_continued
            )
            try:
                placement = self._node.place(
                    service,
                    self._facts,
                    model,
                    self._body_bytes,
                    self._clock(),
                    tried=frozenset(tried),
                    version=version,
                    is_resumed=is_resumed,
                    needs_slot=has_waited,
                )
            except RefusalError as refusal:
                if self._clock() >= deadlines_s.get(refusal.code, -math.inf):
                    raise
                self._node.admission.cancel(self, self._clock())
                await asyncio.sleep(CAPACITY_RETRY_INTERVAL_S)
            else:
                attempt = Attempt(
                    self._node, self._client, self._codec, self._clock, placement, model
                )
                if await self._async_announce(attempt):
                    return attempt
                self._node.admission.cancel(self, self._clock())
            await self.async_wait_in_quarantine()

    async def _async_wait_for_slot(
        self,
        service: Service,
        model: str,
        version: str,
        is_resumed: bool,
        is_continued: bool,
    ) -> bool:
        """Wait until an upstream has a free slot; return whether that was necessary.

        Raises RefusalError if the request cannot be served in its time.
        """
        node, began_at_s = self._node, self._clock()
        decided: asyncio.Future[Admit | Refuse] = (
            asyncio.get_running_loop().create_future()
        )
        request = WaitingRequest(
            request_id=self,
            service=service.name,
            workspace=self._workspace,
            priority=self._priority,
            arrived_at_s=self._arrived_at_s,
            latest_start_s=self._deadline_s - node.least_first_token_s(model),
            target_latency_s=self._target_latency_s,
            body_bytes=self._body_bytes,
            fingerprint=self._facts.fingerprint,
            is_continued=is_continued,
        )
        decision = node.request_slot(
            service,
            self._facts,
            request,
            partial(_set_decision, decided),
            began_at_s,
            version=version,
            is_resumed=is_resumed,
        )
        if isinstance(decision, Admit):
            return False
        if isinstance(decision, Wait):
            self._queue_reason = decision.reason.value
            try:
                decision = await decided
            finally:
                self._queued_s += self._clock() - began_at_s
        if isinstance(decision, Refuse):
            self._queue_reason = decision.reason.value
            raise refusal_error(decision)
        return True

    async def _async_announce(self, attempt: Attempt) -> bool:
        """Announce a request that may crash its upstream to the other entries.

        Returns whether it may be sent.
        """
        runs, now_s = self._node.suspect_runs, self._clock()
        if not runs.announce(attempt, attempt.process, self._facts, now_s):
            return True
        may_run = False
        try:
            await asyncio.sleep(RUN_ANNOUNCEMENT_S)
            may_run = runs.may_run(attempt, self._facts, self._clock())
        finally:
            if not may_run:
                attempt.close(AttemptOutcome.CANCELLED)
        return may_run


def _set_decision(
    decided: asyncio.Future[Admit | Refuse], decision: Admit | Refuse
) -> None:
    if not decided.done():
        decided.set_result(decision)
