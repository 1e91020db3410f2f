"""Sends the node's placement orders to the engine."""

import logging

from cardamomnotch_core.nodes import actions, events
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

from ..upstream.engine import EngineClient
from ..upstream.models import UpstreamError

_LOGGER = logging.getLogger(__name__)


class PlacementOrderSender:
    """Handles ``SendPlacementOrder``.

    The engine's next load report shows whether it has followed an order.
    """

    def __init__(
        self, runner: NodeRunner, client: EngineClient, tasks: TaskGroup
    ) -> None:
        self._runner = runner
        self._client = client
        self._tasks = tasks
        runner.register(actions.SendPlacementOrder, self._start_sending)

    def _start_sending(self, action: actions.SendPlacementOrder) -> None:
        self._tasks.start(self._async_send(action))

    async def _async_send(self, action: actions.SendPlacementOrder) -> None:
        placement = action.placement
        _LOGGER.info(
            "sending placement order %d: load %s",
            placement.fencing,
            ", ".join(placement.versions),
        )
        try:
            await self._client.async_send_order(placement)
        except UpstreamError as error:
            _LOGGER.warning(
                "no response to placement order %d: %s", placement.fencing, error
            )
        self._runner.dispatch(events.OrderCallEnded())
