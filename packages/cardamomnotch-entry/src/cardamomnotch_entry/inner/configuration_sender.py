"""Sends the active configuration to sidecars."""

import logging

import aiohttp

from cardamomnotch_core.nodes import actions, events
from cardamomnotch_protocol.const import PATH_CONFIGURATION
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import ConfigurationReply
from cardamomnotch_runtime.configuration import ConfigurationSource
from cardamomnotch_runtime.frames import async_call
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

_LOGGER = logging.getLogger(__name__)
_TIMEOUT_S = 2.0


class ConfigurationSender:
    """Sends the active configuration to sidecars with an older revision."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        runner: NodeRunner,
        tasks: TaskGroup,
        source: ConfigurationSource,
    ) -> None:
        self._session = session
        self._runner = runner
        self._tasks = tasks
        self._source = source
        runner.register(actions.SendConfiguration, self._send)

    def _send(self, action: actions.SendConfiguration) -> None:
        self._tasks.start(self._async_send(action))

    async def _async_send(self, action: actions.SendConfiguration) -> None:
        message = self._source.current_message()
        if message is None:
            return
        url = f"http://{action.address}{PATH_CONFIGURATION}"
        try:
            reply = await async_call(self._session, url, message, _TIMEOUT_S)
        except CardamomnotchError as error:
            _LOGGER.debug("cannot send the configuration to a sidecar: %s", error)
            return
        if isinstance(reply, ConfigurationReply):
            self._runner.dispatch(
                events.ConfigurationAcknowledged(
                    vm_id=action.vm_id, revision=reply.revision
                )
            )
