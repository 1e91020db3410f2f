"""Passing the configuration in force to sidecars."""

import logging

import aiohttp
from aiohttp import web

from cardamomnotch_core.configuration.document import message_from_record
from cardamomnotch_core.configuration.holder import ConfigurationHolder
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_protocol.const import PATH_CONFIGURATION
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import ConfigurationMessage, ConfigurationReply
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.auth import inner_key_middleware
from cardamomnotch_runtime.frames import async_call, frame_response
from cardamomnotch_runtime.responses import error_response
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

_LOGGER = logging.getLogger(__name__)
_TIMEOUT_S = 2.0


class ConfigurationSender:
    """Answers whoever is behind, and sends to sidecars that are."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        runner: NodeRunner,
        tasks: TaskGroup,
        holder: ConfigurationHolder,
    ) -> None:
        self._session = session
        self._runner = runner
        self._tasks = tasks
        self._holder = holder
        self._message: ConfigurationMessage | None = None
        runner.register(actions.SendConfiguration, self._send)

    def create_app(self, inner_keys: tuple[str, ...]) -> web.Application:
        """Return the application that sidecars fetch from."""
        app = web.Application(middlewares=[inner_key_middleware(inner_keys)])
        app.router.add_get(PATH_CONFIGURATION, self._async_get)
        return app

    def current_message(self) -> ConfigurationMessage | None:
        """Return the configuration in force as a message, encoded once."""
        record = self._holder.record
        if record is None:
            return None
        if self._message is None or self._message.revision != record.revision:
            self._message = message_from_record(record)
        return self._message

    async def _async_get(self, _: web.Request) -> web.Response:
        message = self.current_message()
        if message is None:
            return error_response(
                CardamomnotchError(code=ResultCode.NOT_READY, retry_after_s=1.0)
            )
        return frame_response(message)

    def _send(self, action: actions.SendConfiguration) -> None:
        self._tasks.start(self._async_send(action))

    async def _async_send(self, action: actions.SendConfiguration) -> None:
        message = self.current_message()
        if message is None:
            return
        url = f"http://{action.address}{PATH_CONFIGURATION}"
        try:
            reply = await async_call(self._session, url, message, _TIMEOUT_S)
        except CardamomnotchError as error:
            _LOGGER.debug("configuration not sent: %s", error)
            return
        if isinstance(reply, ConfigurationReply):
            self._runner.dispatch(
                events.ConfigurationTaken(vm_id=action.vm_id, revision=reply.revision)
            )
