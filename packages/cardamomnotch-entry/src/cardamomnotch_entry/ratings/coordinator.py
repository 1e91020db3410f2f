"""Has a sample of the answers rated, without delaying any answer."""

import logging
import random

import attrs
import orjson

from cardamomnotch_core.nodes import actions, events
from cardamomnotch_core.nodes.entry_node import EntryNode
from cardamomnotch_platform.rating.client import RatingClient, RatingError
from cardamomnotch_platform.rating.models import RatingRequest
from cardamomnotch_protocol.models import AttemptRequest
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

from ..caller.exchange import CallerExchange
from ..caller.server import CallerServer
from .const import MAX_PENDING_RATINGS

_LOGGER = logging.getLogger(__name__)


@attrs.frozen
class _SampledAttempt:
    vm_id: str
    message: AttemptRequest


class RatingCoordinator:
    """Samples requests, has their answers rated and dispatches the scores."""

    def __init__(
        self,
        *,
        client: RatingClient,
        node: EntryNode,
        runner: NodeRunner,
        callers: CallerServer,
        tasks: TaskGroup,
        random_source: random.Random,
        share: float,
    ) -> None:
        self._client = client
        self._node = node
        self._runner = runner
        self._callers = callers
        self._tasks = tasks
        self._random = random_source
        self._default_share = share
        self._sampled: dict[str, _SampledAttempt] = {}
        self._pending_count = 0
        self._is_service_available = True
        self._unsubscribe_callbacks = (
            runner.observe(actions.StartAttempt, self._maybe_sample),
            runner.observe(actions.CompleteRequest, self._start_rating),
            runner.observe(actions.RefuseRequest, self._discard_sample),
        )

    def unload(self) -> None:
        """Stop sampling requests."""
        for unsubscribe in self._unsubscribe_callbacks:
            unsubscribe()

    def _maybe_sample(self, action: actions.StartAttempt) -> None:
        message = action.message
        exchange = self._callers.exchange(message.request_id)
        if not message.model or exchange is None:
            return
        if self._random.random() >= self._sampling_share(message):
            return
        exchange.retain_answer_start()
        self._sampled[message.request_id] = _SampledAttempt(action.vm_id, message)

    def _sampling_share(self, message: AttemptRequest) -> float:
        """Return the share of answers to rate; 1 if every rating is needed."""
        version = f"{message.model}/{message.version}"
        if self._node.rating_handler.needs_every_rating(version):
            return 1.0
        return self._default_share

    def _discard_sample(self, action: actions.RefuseRequest) -> None:
        self._sampled.pop(action.request_id, None)

    def _start_rating(self, action: actions.CompleteRequest) -> None:
        sampled = self._sampled.pop(action.request_id, None)
        exchange = self._callers.exchange(action.request_id)
        if (
            sampled is None
            or exchange is None
            or self._pending_count >= MAX_PENDING_RATINGS
        ):
            return
        request = _rating_request(sampled.message, exchange)
        self._pending_count += 1
        self._tasks.start(self._async_rate(sampled, request))

    async def _async_rate(
        self, sampled: _SampledAttempt, request: RatingRequest
    ) -> None:
        try:
            score = await self._client.async_rate(request)
        except RatingError as error:
            self._log_availability_change(available=False, detail=error.detail)
            return
        finally:
            self._pending_count -= 1
        self._log_availability_change(available=True)
        self._runner.dispatch(
            events.AnswerRated(
                request_id=request.request_id,
                vm_id=sampled.vm_id,
                version=request.version,
                request_class=request.request_class,
                score=score,
            )
        )

    def _log_availability_change(self, *, available: bool, detail: str = "") -> None:
        if available == self._is_service_available:
            return
        self._is_service_available = available
        state = "available again" if available else "unavailable"
        _LOGGER.warning("rating service %s %s", state, detail)


def _rating_request(message: AttemptRequest, exchange: CallerExchange) -> RatingRequest:
    return RatingRequest(
        request_id=message.request_id,
        version=f"{message.model}/{message.version}",
        request_class=message.request_class,
        request=orjson.loads(exchange.body),
        answer=exchange.answer_start.decode(errors="replace"),
    )
