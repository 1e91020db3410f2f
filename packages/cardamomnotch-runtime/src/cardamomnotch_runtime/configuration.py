"""Passing the configuration in force from process to process."""

import logging
import time
from collections.abc import Callable

import aiohttp
from aiohttp import web

from cardamomnotch_core.configuration.deltas import ChangeLog, message_from_changes
from cardamomnotch_core.configuration.document import (
    message_from_record,
    record_from_message,
)
from cardamomnotch_core.configuration.holder import ConfigurationHolder
from cardamomnotch_core.configuration.models import ConfigurationRecord
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_core.nodes.events import Event
from cardamomnotch_protocol import codec
from cardamomnotch_protocol.const import PATH_CONFIGURATION
from cardamomnotch_protocol.exceptions import CardamomnotchError, ProtocolError
from cardamomnotch_protocol.models import (
    ConfigurationChanges,
    ConfigurationMessage,
    ConfigurationReply,
    Message,
)
from cardamomnotch_protocol.result_codes import ResultCode

from .frames import frame_response
from .responses import error_response
from .runner import NodeRunner
from .tasks import TaskGroup

_LOGGER = logging.getLogger(__name__)
_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
_QUERY_REVISION = "revision"


class ConfigurationSource:
    """Answers whoever is behind, with no more than it lacks."""

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._message: ConfigurationMessage | None = None
        self._log = ChangeLog()
        self.unsubscribe = holder.subscribe(self._take)

    def _take(self, record: ConfigurationRecord) -> None:
        former, self._message = self._message, message_from_record(record)
        if former is not None:
            self._log.append(former, self._message)

    def current_message(self) -> ConfigurationMessage | None:
        """Return the configuration in force as a message."""
        return self._message

    def answer(self, known_revision: int) -> Message | None:
        """Return what a process at ``known_revision`` lacks."""
        if self._message is None:
            return None
        if known_revision >= self._message.revision:
            return ConfigurationReply(revision=self._message.revision)
        changes = self._log.changes_since(known_revision, self._message)
        return changes or self._message

    def add_routes(self, app: web.Application) -> None:
        """Serve the configuration in force."""
        app.router.add_get(PATH_CONFIGURATION, self._async_get)

    async def _async_get(self, request: web.Request) -> web.Response:
        known = request.query.get(_QUERY_REVISION, "0")
        message = self.answer(int(known) if known.isdecimal() else 0)
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
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._session = session
        self._runner = runner
        self._tasks = tasks
        self._holder = holder
        self._clock = clock
        self._busy = False
        runner.register(actions.FetchConfiguration, self._start)

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self._holder.revision

    def _start(self, action: actions.FetchConfiguration) -> None:
        # An attempt that waits for the fetch does it itself. One fetch at a
        # time is enough: whoever else is ahead will say so again.
        if action.retry is None and not self._busy:
            self._busy = True
            self._tasks.start(self._async_fetch_alone(action.address))

    async def _async_fetch_alone(self, address: str) -> None:
        try:
            await self.async_fetch(address)
        finally:
            self._busy = False

    async def async_fetch(self, address: str) -> None:
        """Fetch from the process at ``address``; a failure is left to the next."""
        asked_at_s = self._clock()
        try:
            event = await self._async_changes(address, asked_at_s)
            if event is None:
                event = await self._async_whole(address, asked_at_s)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            CardamomnotchError,
        ) as error:
            _LOGGER.debug("no configuration from %s: %s", address, error)
            return
        self._runner.dispatch(event)

    async def _async_changes(self, address: str, asked_at_s: float) -> Event | None:
        """Return what a question for changes led to; None if all is needed."""
        known = self._holder.record
        if known is None:
            return None
        message = await self._async_get(address, known.revision)
        if isinstance(message, ConfigurationReply):
            return events.ConfigurationConfirmed(
                revision=message.revision, source=address, asked_at_s=asked_at_s
            )
        if isinstance(message, ConfigurationChanges):
            whole = message_from_changes(message_from_record(known), message)
            return _offered(whole, address, asked_at_s) if whole else None
        return _offered(message, address, asked_at_s)

    async def _async_whole(self, address: str, asked_at_s: float) -> Event:
        message = await self._async_get(address, 0)
        event = _offered(message, address, asked_at_s)
        if event is None:
            raise ProtocolError(f"{address}: no configuration")
        return event

    async def _async_get(self, address: str, revision: int) -> Message:
        async with self._session.get(
            f"http://{address}{PATH_CONFIGURATION}",
            params={_QUERY_REVISION: str(revision)},
            timeout=_TIMEOUT,
        ) as response:
            if response.status != 200:
                raise ProtocolError(f"{address}: status {response.status}")
            return codec.decode(await response.read()).message


def _offered(message: Message, source: str, asked_at_s: float) -> Event | None:
    if not isinstance(message, ConfigurationMessage):
        return None
    try:
        record = record_from_message(message)
    except CardamomnotchError as error:
        _LOGGER.debug("configuration from %s left out: %s", source, error)
        return None
    return events.ConfigurationOffered(
        record=record, source=source, asked_at_s=asked_at_s
    )
