"""Polls the VM list and sends heartbeats to sidecars."""

import asyncio
import logging
import random
from collections.abc import Callable

import aiohttp

from cardamomnotch_core.membership.models import Upstream, Vm
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_core.nodes.entry_node import EntryNode
from cardamomnotch_core.nodes.identity import EntryIdentity
from cardamomnotch_platform.exceptions import VmListError
from cardamomnotch_platform.vm_list.client import ListedVm, VmListClient
from cardamomnotch_protocol.const import PATH_HEARTBEAT
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import HeartbeatReply, HeartbeatRequest
from cardamomnotch_runtime.frames import async_call
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.tasks import TaskGroup

from ..const import HEARTBEAT_TIMEOUT_S
from ..peers.const import MAX_NOTIFY_DELAY_S

_LOGGER = logging.getLogger(__name__)
_STATE_LEAVING = "leaving"


class MembershipCoordinator:
    """Dispatches the VM list and heartbeat replies to the node."""

    def __init__(
        self,
        *,
        node: EntryNode,
        identity: EntryIdentity,
        runner: NodeRunner,
        vm_list: VmListClient,
        session: aiohttp.ClientSession,
        tasks: TaskGroup,
        random_source: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._node = node
        self._identity = identity
        self._runner = runner
        self._vm_list = vm_list
        self._session = session
        self._tasks = tasks
        self._random = random_source
        self._clock = clock
        self._vm_list_available = True
        self._vms_awaiting_reply: set[str] = set()
        runner.register(actions.SendHeartbeat, self._send_heartbeat)

    async def async_read_vm_list(self) -> None:
        """Read the VM list once."""
        try:
            listed = await self._vm_list.async_read()
        except VmListError as error:
            self._log_vm_list_availability(available=False, detail=error.detail)
            return
        self._log_vm_list_availability(available=True)
        if listed is None:
            return
        vms = tuple(_vm_from_listed(vm) for vm in listed)
        self._runner.dispatch(events.VmListReceived(vms=vms))

    async def async_send_heartbeats(self) -> None:
        """Send a heartbeat to every upstream that is due for one."""
        for upstream in self._node.heartbeats_due(self._clock()):
            if upstream.vm_id not in self._vms_awaiting_reply:
                self._tasks.start(self._async_heartbeat(upstream, delay_s=0.0))

    def _send_heartbeat(self, action: actions.SendHeartbeat) -> None:
        upstream = self._node.upstream(action.vm_id)
        if upstream is None:
            return
        # A change reaches many entries at once; the delay keeps them from all
        # calling the same sidecar at the same moment.
        delay_s = self._random.uniform(0, MAX_NOTIFY_DELAY_S)
        self._tasks.start(self._async_heartbeat(upstream, delay_s))

    async def _async_heartbeat(self, upstream: Upstream, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._vms_awaiting_reply.add(upstream.vm_id)
        try:
            await self._async_exchange_heartbeat(upstream)
        finally:
            self._vms_awaiting_reply.discard(upstream.vm_id)

    async def _async_exchange_heartbeat(self, upstream: Upstream) -> None:
        asked_at_s = self._clock()
        message = HeartbeatRequest(
            entry_id=self._identity.vm_id,
            entry_address=self._identity.inner_address,
            revision=self._node.configuration.revision,
            entry_epoch=self._node.rating_handler.epoch,
            ratings=self._node.rating_handler.totals_for(upstream.vm_id),
            placement=self._node.placement_for(upstream.vm_id),
        )
        url = f"http://{upstream.address}{PATH_HEARTBEAT}"
        try:
            reply = await async_call(self._session, url, message, HEARTBEAT_TIMEOUT_S)
        except CardamomnotchError:
            self._runner.dispatch(events.HeartbeatFailed(vm_id=upstream.vm_id))
            return
        if isinstance(reply, HeartbeatReply):
            self._runner.dispatch(
                events.HeartbeatAnswered(
                    vm_id=upstream.vm_id,
                    reply=reply,
                    asked_at_s=asked_at_s,
                    told_revision=message.revision,
                )
            )

    def _log_vm_list_availability(self, *, available: bool, detail: str = "") -> None:
        if available == self._vm_list_available:
            return
        self._vm_list_available = available
        state = "available again" if available else "unavailable"
        _LOGGER.warning("VM list %s %s", state, detail)


def _vm_from_listed(vm: ListedVm) -> Vm:
    return Vm(
        vm_id=vm.vm_id,
        address=vm.address,
        zone=vm.zone,
        role=vm.role,
        leaving=vm.state == _STATE_LEAVING,
        serves=vm.serves,
    )
