"""Distribution of the active configuration between processes."""

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
from cardamomnotch_protocol.timeouts import longest_reply_s

from .frames import frame_response
from .responses import error_response
from .runner import NodeRunner
from .tasks import TaskGroup

_LOGGER = logging.getLogger(__name__)
# Time without a byte after which a configuration is not fetched, in seconds.
_SILENCE_S = 2.0
_FETCH_TIMEOUT = aiohttp.ClientTimeout(
    total=longest_reply_s(_SILENCE_S), sock_connect=_SILENCE_S, sock_read=_SILENCE_S
)
_QUERY_REVISION = "revision"


class ConfigurationSource:
    """Serves the active configuration to other processes.

    A process that sends the revision it has gets only the changes since then,
    as far back as they are kept.
    """

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._message: ConfigurationMessage | None = None
        self._change_log = ChangeLog()
        self.unsubscribe = holder.subscribe(self._record_change)

    def _record_change(self, record: ConfigurationRecord) -> None:
        previous, self._message = self._message, message_from_record(record)
        if previous is not None:
            self._change_log.append(previous, self._message)

    def current_message(self) -> ConfigurationMessage | None:
        """Return the active configuration as a message, None without one."""
        return self._message

    def message_for_revision(self, known_revision: int) -> Message | None:
        """Return the reply to a process that has ``known_revision``.

        The reply is a confirmation, the changes, or the whole configuration.
        Returns None if there is no active configuration.
        """
        if self._message is None:
            return None
        if known_revision >= self._message.revision:
            return ConfigurationReply(revision=self._message.revision)
        changes = self._change_log.changes_since(known_revision, self._message)
        return changes or self._message

    def add_routes(self, app: web.Application) -> None:
        """Add the route that serves the active configuration."""
        app.router.add_get(PATH_CONFIGURATION, self._async_handle_get)

    async def _async_handle_get(self, request: web.Request) -> web.Response:
        revision = request.query.get(_QUERY_REVISION, "0")
        message = self.message_for_revision(
            int(revision) if revision.isdecimal() else 0
        )
        if message is None:
            return error_response(
                CardamomnotchError(code=ResultCode.NOT_READY, retry_after_s=1.0)
            )
        return frame_response(message)


class ConfigurationFetcher:
    """Fetches a newer configuration from another process for the node."""

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
        self._is_fetching = False
        runner.register(actions.FetchConfiguration, self._start_fetch)

    @property
    def revision(self) -> int:
        """Return the revision of the active configuration."""
        return self._holder.revision

    def _start_fetch(self, action: actions.FetchConfiguration) -> None:
        # A fetch that an attempt waits for is run by the code that serves the
        # attempt. One background fetch at a time is enough: any other process
        # with a newer revision announces it again.
        if action.retry is None and not self._is_fetching:
            self._is_fetching = True
            self._tasks.start(self._async_fetch_in_background(action.address))

    async def _async_fetch_in_background(self, address: str) -> None:
        try:
            await self.async_fetch(address)
        finally:
            self._is_fetching = False

    async def async_fetch(self, address: str) -> None:
        """Fetch the configuration from the process at ``address``.

        A failure is logged only; the next announcement starts a new fetch.
        """
        asked_at_s = self._clock()
        try:
            event = await self._async_fetch_changes(address, asked_at_s)
            if event is None:
                event = await self._async_fetch_document(address, asked_at_s)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            CardamomnotchError,
        ) as error:
            _LOGGER.debug("configuration fetch from %s failed: %s", address, error)
            return
        self._runner.dispatch(event)

    async def _async_fetch_changes(
        self, address: str, asked_at_s: float
    ) -> Event | None:
        """Ask for the changes only; return None if they cannot be used.

        The whole configuration must be fetched then.
        """
        current = self._holder.record
        if current is None:
            return None
        message = await self._async_get_message(address, current.revision)
        if isinstance(message, ConfigurationReply):
            return events.ConfigurationConfirmed(
                revision=message.revision, source=address, asked_at_s=asked_at_s
            )
        if isinstance(message, ConfigurationChanges):
            updated = message_from_changes(message_from_record(current), message)
            return (
                _configuration_offered_event(updated, address, asked_at_s)
                if updated
                else None
            )
        return _configuration_offered_event(message, address, asked_at_s)

    async def _async_fetch_document(self, address: str, asked_at_s: float) -> Event:
        message = await self._async_get_message(address, 0)
        event = _configuration_offered_event(message, address, asked_at_s)
        if event is None:
            raise ProtocolError(f"{address}: response holds no valid configuration")
        return event

    async def _async_get_message(self, address: str, revision: int) -> Message:
        async with self._session.get(
            f"http://{address}{PATH_CONFIGURATION}",
            params={_QUERY_REVISION: str(revision)},
            timeout=_FETCH_TIMEOUT,
        ) as response:
            if response.status != 200:
                raise ProtocolError(
                    f"{address}: expected HTTP status 200, got {response.status}"
                )
            return codec.decode(await response.read()).message


def _configuration_offered_event(
    message: Message, source: str, asked_at_s: float
) -> Event | None:
    if not isinstance(message, ConfigurationMessage):
        return None
    try:
        record = record_from_message(message)
    except CardamomnotchError as error:
        _LOGGER.debug("ignoring invalid configuration from %s: %s", source, error)
        return None
    return events.ConfigurationOffered(
        record=record, source=source, asked_at_s=asked_at_s
    )
