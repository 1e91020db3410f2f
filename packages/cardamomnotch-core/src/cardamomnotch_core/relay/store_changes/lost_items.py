"""Items that the store has lost by coming back from a copy of itself."""

from collections.abc import Hashable
from functools import singledispatch

from . import changes


@singledispatch
def _item_of(change: object) -> Hashable | None:
    """Return the item that a change is about; None if its loss needs no delay."""
    return None


@_item_of.register
def _(change: changes.ZoneDisabled | changes.ZoneEnabled) -> Hashable | None:
    return "zone", change.zone


@_item_of.register
def _(change: changes.UpstreamListed) -> Hashable | None:
    return "upstream", change.upstream.upstream_id


@_item_of.register
def _(change: changes.UpstreamUnlisted) -> Hashable | None:
    return "upstream", change.upstream_id


@_item_of.register
def _(change: changes.RolloutOrdered) -> Hashable | None:
    return "rollout", change.order.service


@_item_of.register
def _(change: changes.RolloutWithdrawn) -> Hashable | None:
    return "rollout", change.service


@_item_of.register
def _(change: changes.EntryReported) -> Hashable | None:
    return "entry", change.record.entry


@_item_of.register
def _(change: changes.EntryExpired) -> Hashable | None:
    return "entry", change.entry


class LostItems:
    """Puts off what a restored store would take back.

    What its listing lacks may have been written after the copy was made, and its
    writer writes it again; what is listed may have been deleted since. Until then, or
    until a time limit, what was known stays in force. All times are in seconds.
    """

    def __init__(self) -> None:
        # The change that takes an item back, and when it is due, by item.
        self._put_off: dict[Hashable, tuple[float, changes.Change]] = {}

    @property
    def pending(self) -> tuple[changes.Change, ...]:
        """Return the changes that are put off."""
        return tuple(change for _, change in self._put_off.values())

    def put_off(self, change: changes.Change, until_s: float) -> None:
        """Put off a change that takes an item back."""
        self._put_off[_item_of(change)] = until_s, change

    def is_put_off(self, change: changes.Change) -> bool:
        """Return whether a change of the same item is put off."""
        return _item_of(change) in self._put_off

    def record_change(self, change: object) -> None:
        """Record that the item of ``change`` has been written or deleted since."""
        self._put_off.pop(_item_of(change), None)

    def take_due(self, now_s: float) -> list[changes.Change]:
        """Return the changes whose time limit has passed, each once."""
        due = [
            (item, change)
            for item, (until_s, change) in self._put_off.items()
            if now_s >= until_s
        ]
        for item, _ in due:
            del self._put_off[item]
        return [change for _, change in due]
