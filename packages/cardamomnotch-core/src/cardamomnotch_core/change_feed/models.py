"""Messages and changes of the change feed."""

import attrs

from cardamomnotch_protocol.store_position import StorePosition

from .const import CHANGE_OVERHEAD_BYTES


@attrs.frozen(kw_only=True)
class StoreChange:
    """A write or deletion of one key, at a position of the store."""

    key: str
    position: StorePosition
    # None if the key was deleted, or if the value is left out.
    value: bytes | None = None
    # Whether the value is too large to be passed on.
    is_omitted: bool = False

    @property
    def size(self) -> int:
        """Return about how many bytes the change takes in a message."""
        return len(self.key) + len(self.value or b"") + CHANGE_OVERHEAD_BYTES


@attrs.frozen(kw_only=True)
class FeedRequest:
    """Asks another entry for the changes after ``position``."""

    # Number of the request at its sender, which a reply repeats.
    token: int
    position: StorePosition


@attrs.frozen(kw_only=True)
class FeedPart:
    """One datagram with changes for an entry that has asked.

    The changes are all that the store has between the positions ``after`` and
    ``position``, in order, but omitted values first, which may be of a later position.
    All positions are of one era.
    """

    # The last request of the receiver.
    token: int
    after: StorePosition
    position: StorePosition
    changes: tuple[StoreChange, ...] = ()
    # Time since the query was sent that confirmed ``position`` as the newest one,
    # in seconds; None if further parts follow, or if it is not known.
    age_s: float | None = None
    # Whether the sender lacks changes after the receiver's position.
    is_gap: bool = False


@attrs.frozen(kw_only=True)
class FeedUpdate:
    """What an entry learns from a part."""

    changes: tuple[StoreChange, ...]
    # When a query was sent that found nothing newer, on the receiver's clock;
    # None if that is not known.
    confirmed_at_s: float | None


@attrs.frozen(kw_only=True)
class FeedMember:
    """Another entry of the availability zone."""

    name: str
    # Address of its datagram socket, "ip:port".
    address: str
