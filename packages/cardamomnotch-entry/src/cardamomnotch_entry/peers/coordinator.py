"""The exchange of revisions with a few other entries."""

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

from .const import MAX_NOTIFY_DELAY_S, PEER_INTERVAL_S, PEER_TIMEOUT_S


class PeerRevisionCoordinator:
    """Tells peers this entry's revision, and the node what they answer."""

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
        runner.register(actions.ExchangeRevision, self._tell)

    def add_routes(self, app: web.Application) -> None:
        """Serve the exchange."""
        app.router.add_post(PATH_PEERS, self._async_answer)

    def interval_s(self) -> float:
        """Return the time to the next round, which differs between entries."""
        return PEER_INTERVAL_S * self._random.uniform(0.8, 1.2)

    async def async_exchange(self) -> None:
        """Tell every peer once."""
        await asyncio.gather(
            *(self._async_exchange(peer.address) for peer in self._node.follower.peers)
        )

    def _tell(self, action: actions.ExchangeRevision) -> None:
        self._tasks.start(self._async_tell(action.address))

    async def _async_tell(self, address: str) -> None:
        await asyncio.sleep(self._random.uniform(0, MAX_NOTIFY_DELAY_S))
        await self._async_exchange(address)

    async def _async_exchange(self, address: str) -> None:
        asked_at_s = self._clock()
        url = f"http://{address}{PATH_PEERS}"
        try:
            reply = await async_call(
                self._session, url, self._message(), PEER_TIMEOUT_S
            )
        except CardamomnotchError:
            return
        if isinstance(reply, PeerRevision):
            self._take(reply, asked_at_s)

    async def _async_answer(self, request: web.Request) -> web.Response:
        try:
            frame = await async_read_frame(request, PeerRevision)
        except CardamomnotchError as error:
            return error_response(error)
        # It may have waited here for as long as this process was paused.
        self._take(frame.message, asked_at_s=float("-inf"))
        return frame_response(self._message())

    def _take(self, message: PeerRevision, asked_at_s: float) -> None:
        self._runner.dispatch(
            events.PeerRevisionReceived(
                vm_id=message.entry_id,
                address=message.entry_address,
                revision=message.revision,
                asked_at_s=asked_at_s,
            )
        )

    def _message(self) -> PeerRevision:
        return PeerRevision(
            entry_id=self._identity.vm_id,
            entry_address=self._identity.inner_address,
            revision=self._node.configuration.revision,
        )
