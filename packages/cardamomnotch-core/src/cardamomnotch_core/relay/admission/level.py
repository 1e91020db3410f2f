"""Order of the waiting requests of one priority.

Start-time fair queueing over workspaces (Goyal, Vin and Cheng, 1996) with equal
weights, and within a workspace the earliest deadline first.
"""

import math
from bisect import bisect_left, insort
from collections.abc import Iterator

import attrs

from .const import MAX_IDLE_WORKSPACES
from .models import WaitingRequest, WaitReason

# Deadline and sequence number, which is unique, then the request.
_Item = tuple[float, int, WaitingRequest]


@attrs.define
class _WorkspaceQueue:
    """The waiting requests of a workspace, and the virtual start of the next one."""

    start: float
    items: list[_Item] = attrs.field(factory=list)


class PriorityLevel:
    """The waiting requests of one priority, in the order in which they get slots.

    Requests that continue go first, and those that returned too early last.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._continued: list[_Item] = []
        self._workspaces: dict[str, _WorkspaceQueue] = {}
        self._early: list[_Item] = []
        # Virtual times at which workspaces without waiting requests may go on.
        self._finishes: dict[str, float] = {}
        self._places: dict[int, WaitReason] = {}

    def __len__(self) -> int:
        return len(self._places)

    @property
    def kept_workspaces(self) -> int:
        """Return how many workspaces have a virtual time."""
        return len(self._workspaces) + len(self._finishes)

    def add(self, sequence: int, request: WaitingRequest, reason: WaitReason) -> None:
        """Add a request in the place of ``reason``."""
        insort(self._items_for(request, reason), _item(sequence, request))
        self._places[sequence] = reason

    def remove(self, sequence: int, request: WaitingRequest) -> None:
        """Remove a request that gets no slot."""
        reason = self._places.pop(sequence)
        items = self._items_for(request, reason)
        del items[bisect_left(items, _item(sequence, request))]
        if reason is WaitReason.NO_SLOT and not items:
            queue = self._workspaces.pop(request.workspace)
            self._keep_finish(request.workspace, queue.start)

    def take(self, sequence: int, request: WaitingRequest, cost: float) -> None:
        """Remove a request that gets a slot, which costs its workspace ``cost``."""
        name = request.workspace
        if self._places[sequence] is WaitReason.NO_SLOT:
            start = self._workspaces[name].start
            self._virtual_time = max(self._virtual_time, start)
        else:
            start = self._start_of(name)
        self.remove(sequence, request)
        if name in self._workspaces:
            self._workspaces[name].start = start + cost
        else:
            self._keep_finish(name, start + cost)

    def ordered(self) -> Iterator[_Item]:
        """Yield the requests in the order in which they get slots.

        Each slot is taken to cost 1, whatever later decisions say.
        """
        yield from self._continued
        ranked = sorted(
            (queue.start + index, item[1], item)
            for queue in self._workspaces.values()
            for index, item in enumerate(queue.items)
        )
        for _, _, item in ranked:
            yield item
        yield from self._early

    def first(self) -> _Item:
        """Return the request that gets the next slot."""
        if self._continued:
            return self._continued[0]
        if self._workspaces:
            queue = min(
                self._workspaces.values(),
                key=lambda queue: (queue.start, queue.items[0][1]),
            )
            return queue.items[0]
        return self._early[0]

    def last(self) -> _Item:
        """Return the request that would get a slot last."""
        if self._early:
            return self._early[-1]
        if self._workspaces:
            queue = max(
                self._workspaces.values(),
                key=lambda queue: (queue.start + len(queue.items), queue.items[-1][1]),
            )
            return queue.items[-1]
        return self._continued[-1]

    def position(self, sequence: int, request: WaitingRequest) -> int:
        """Return how many requests of the priority are before a waiting one."""
        reason = self._places[sequence]
        items = self._items_for(request, reason)
        index = bisect_left(items, _item(sequence, request))
        if reason is WaitReason.CONTINUED:
            return index
        if reason is WaitReason.EARLY_RETURN:
            return len(self) - len(items) + index
        own = self._workspaces[request.workspace]
        tag = own.start + index
        before = sum(
            min(len(queue.items), max(0, math.ceil(tag - queue.start)))
            for queue in self._workspaces.values()
            if queue is not own
        )
        return len(self._continued) + index + before

    def _items_for(self, request: WaitingRequest, reason: WaitReason) -> list[_Item]:
        if reason is WaitReason.CONTINUED:
            return self._continued
        if reason is WaitReason.EARLY_RETURN:
            return self._early
        queue = self._workspaces.get(request.workspace)
        if queue is None:
            queue = _WorkspaceQueue(self._start_of(request.workspace))
            self._finishes.pop(request.workspace, None)
            self._workspaces[request.workspace] = queue
        return queue.items

    def _start_of(self, workspace: str) -> float:
        queue = self._workspaces.get(workspace)
        if queue is not None:
            return queue.start
        return max(self._virtual_time, self._finishes.get(workspace, 0.0))

    def _keep_finish(self, workspace: str, finish: float) -> None:
        """Keep when a workspace without waiting requests may go on."""
        if not self._places:
            # Nothing waits, so what was used before gives no right to the others.
            self._virtual_time = 0.0
            self._finishes.clear()
            return
        self._finishes.pop(workspace, None)
        self._finishes[workspace] = finish
        if len(self._finishes) <= MAX_IDLE_WORKSPACES:
            return
        self._finishes = {
            name: value
            for name, value in self._finishes.items()
            if value > self._virtual_time
        }
        while len(self._finishes) > MAX_IDLE_WORKSPACES:
            del self._finishes[next(iter(self._finishes))]


def _item(sequence: int, request: WaitingRequest) -> _Item:
    return (request.latest_start_s, sequence, request)
