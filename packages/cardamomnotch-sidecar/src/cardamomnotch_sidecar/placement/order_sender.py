"""Gives the node's orders to the engine."""

import logging

from cardamomnotch_core.nodes import actions, events
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

from ..upstream.engine import EngineClient
from ..upstream.models import UpstreamError

_LOGGER = logging.getLogger(__name__)


class OrderSender:
    """Carries out ``SendPlacementOrder``; the next report tells what came of it."""

    def __init__(
        self, runner: NodeRunner, client: EngineClient, tasks: TaskGroup
    ) -> None:
        self._runner = runner
        self._client = client
        self._tasks = tasks
        runner.register(actions.SendPlacementOrder, self._give)

    def _give(self, action: actions.SendPlacementOrder) -> None:
        self._tasks.start(self._async_give(action))

    async def _async_give(self, action: actions.SendPlacementOrder) -> None:
        placement = action.placement
        _LOGGER.info(
            "order %d to load %s", placement.fencing, ", ".join(placement.versions)
        )
        try:
            await self._client.async_order(placement)
        except UpstreamError as error:
            _LOGGER.warning("order %d not answered: %s", placement.fencing, error)
        self._runner.dispatch(events.OrderCallEnded())
