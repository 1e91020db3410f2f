"""Passing the configuration in force from process to process."""

import logging

import aiohttp
from aiohttp import web

from cardamomnotch_core.configuration.document import (
    message_from_record,
    record_from_message,
)
from cardamomnotch_core.configuration.holder import ConfigurationHolder
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_protocol import codec
from cardamomnotch_protocol.const import PATH_CONFIGURATION
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import ConfigurationMessage
from cardamomnotch_protocol.result_codes import ResultCode

from .frames import frame_response
from .responses import error_response
from .runner import NodeRunner
from .tasks import TaskGroup

_LOGGER = logging.getLogger(__name__)
_TIMEOUT = aiohttp.ClientTimeout(total=2.0)


class ConfigurationSource:
    """Answers whoever is behind."""

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._holder = holder
        self._message: ConfigurationMessage | None = None

    def current_message(self) -> ConfigurationMessage | None:
        """Return the configuration in force as a message, made once."""
        record = self._holder.record
        if record is None:
            return None
        if self._message is None or self._message.revision != record.revision:
            self._message = message_from_record(record)
        return self._message

    def add_routes(self, app: web.Application) -> None:
        """Serve the configuration in force."""
        app.router.add_get(PATH_CONFIGURATION, self._async_get)

    async def _async_get(self, _: web.Request) -> web.Response:
        message = self.current_message()
        if message is None:
            return error_response(
                CardamomnotchError(code=ResultCode.NOT_READY, retry_after_s=1.0)
            )
        return frame_response(message)


class ConfigurationFetcher:
    """Asks a process that is ahead, and offers its answer to the node."""

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
        self._addresses: set[str] = set()
        runner.register(actions.FetchConfiguration, self._start)

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self._holder.revision

    def _start(self, action: actions.FetchConfiguration) -> None:
        # An attempt that waits for the fetch does it itself.
        if action.retry is None and action.address not in self._addresses:
            self._tasks.start(self._async_fetch_once(action.address))

    async def _async_fetch_once(self, address: str) -> None:
        self._addresses.add(address)
        try:
            await self.async_fetch(address)
        finally:
            self._addresses.discard(address)

    async def async_fetch(self, address: str) -> None:
        """Fetch from the process at ``address``; a failure is left to the next."""
        try:
            async with self._session.get(
                f"http://{address}{PATH_CONFIGURATION}", timeout=_TIMEOUT
            ) as response:
                frame = codec.decode(await response.read())
            if not isinstance(frame.message, ConfigurationMessage):
                return
            record = record_from_message(frame.message)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            CardamomnotchError,
        ) as error:
            _LOGGER.debug("no configuration from %s: %s", address, error)
            return
        self._runner.dispatch(
            events.ConfigurationOffered(record=record, source=address)
        )
