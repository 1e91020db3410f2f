"""Fetching a newer configuration from the entry that has it."""

import logging

import aiohttp

from cardamomnotch_core.configuration.document import record_from_message
from cardamomnotch_core.configuration.holder import ConfigurationHolder
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_protocol import codec
from cardamomnotch_protocol.const import PATH_CONFIGURATION
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import ConfigurationMessage
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

_LOGGER = logging.getLogger(__name__)
_TIMEOUT = aiohttp.ClientTimeout(total=2.0)


class ConfigurationFetcher:
    """Asks an entry for its configuration and offers it to the node."""

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
        runner.register(actions.FetchConfiguration, self._start)

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self._holder.revision

    def _start(self, action: actions.FetchConfiguration) -> None:
        # An attempt that waits for the fetch does it itself.
        if action.retry is None:
            self._tasks.start(self.async_fetch(action.address))

    async def async_fetch(self, address: str) -> None:
        """Fetch from the entry at ``address``; a failure is left to the next."""
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
