"""Exchange of configuration revisions with a few other entries."""

import asyncio
import random
from collections.abc import Callable

import aiohttp
from aiohttp import web

from cardamomnotch_core.nodes import actions, events
from cardamomnotch_core.nodes.entry_node import EntryNode
from cardamomnotch_core.nodes.identity import EntryIdentity
from cardamomnotch_protocol.const import PATH_PEERS
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import PeerRevision
from cardamomnotch_runtime.frames import (
    async_call,
    async_read_frame,
    frame_response,
)
from cardamomnotch_runtime.responses import error_response
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

from .const import EXCHANGE_INTERVAL_S, EXCHANGE_TIMEOUT_S, MAX_NOTIFY_DELAY_S


class PeerRevisionCoordinator:
    """Sends this entry's revision to peers and dispatches their revisions."""

    def __init__(
        self,
        *,
        node: EntryNode,
        identity: EntryIdentity,
        runner: NodeRunner,
        session: aiohttp.ClientSession,
        tasks: TaskGroup,
        random_source: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._identity = identity
        self._runner = runner
        self._session = session
        self._tasks = tasks
        self._random = random_source
        self._clock = clock
        runner.register(actions.ExchangeRevision, self._start_exchange)

    def add_routes(self, app: web.Application) -> None:
        """Add the route that peers call."""
        app.router.add_post(PATH_PEERS, self._async_handle_exchange)

    def interval_s(self) -> float:
        """Return the seconds to the next exchange, with jitter."""
        return EXCHANGE_INTERVAL_S * self._random.uniform(0.8, 1.2)

    async def async_exchange(self) -> None:
        """Exchange revisions with every peer once."""
        await asyncio.gather(
            *(
                self._async_exchange_with(peer.address)
                for peer in self._node.follower.peers
            )
        )

    def _start_exchange(self, action: actions.ExchangeRevision) -> None:
        self._tasks.start(self._async_exchange_after_delay(action.address))

    async def _async_exchange_after_delay(self, address: str) -> None:
        await asyncio.sleep(self._random.uniform(0, MAX_NOTIFY_DELAY_S))
        await self._async_exchange_with(address)

    async def _async_exchange_with(self, address: str) -> None:
        asked_at_s = self._clock()
        url = f"http://{address}{PATH_PEERS}"
        try:
            reply = await async_call(
                self._session, url, self._own_revision(), EXCHANGE_TIMEOUT_S
            )
        except CardamomnotchError:
            return
        if isinstance(reply, PeerRevision):
            self._dispatch_revision(reply, asked_at_s)

    async def _async_handle_exchange(self, request: web.Request) -> web.Response:
        try:
            frame = await async_read_frame(request, PeerRevision)
        except CardamomnotchError as error:
            return error_response(error)
        # The request may have waited while this process was paused, so the
        # age of its content is unknown.
        self._dispatch_revision(frame.message, asked_at_s=float("-inf"))
        return frame_response(self._own_revision())

    def _dispatch_revision(self, message: PeerRevision, asked_at_s: float) -> None:
        self._runner.dispatch(
            events.PeerRevisionReceived(
                vm_id=message.entry_id,
                address=message.entry_address,
                revision=message.revision,
                asked_at_s=asked_at_s,
            )
        )

    def _own_revision(self) -> PeerRevision:
        return PeerRevision(
            entry_id=self._identity.vm_id,
            entry_address=self._identity.inner_address,
            revision=self._node.configuration.revision,
        )
