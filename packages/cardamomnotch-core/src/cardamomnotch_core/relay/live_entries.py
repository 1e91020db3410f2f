"""The live entries, and this entry's part of what they share."""

from bisect import bisect_left, insort
from collections.abc import Iterable

from ..membership.rendezvous import rendezvous_hash
from .const import RECORD_LOST_MARGIN_S

# Owner of the hashes by which entries are placed on the ring.
_RING = "ring"


class LiveEntries:
    """Names of the live entries, with a part of each limit for this one.

    A part takes the same time to find whatever the number of entries: they are
    kept on a ring, in the order of a hash (consistent hashing, Karger and others,
    1997), and what does not divide evenly goes to those that follow the owner of
    the limit. Where two entries know different entries, few parts differ.
    """

    def __init__(self, name: str, others: Iterable[str] = ()) -> None:
        self._name = name
        self._names: set[str] = set()
        self._ring: list[tuple[int, str]] = []
        self._sorted: tuple[str, ...] | None = None
        self._position = 0
        self._changes = 0
        self._recorded_until_s = float("inf")
        for entry in (name, *others):
            self.add(entry)

    @property
    def own(self) -> str:
        """Return this entry's name."""
        return self._name

    @property
    def names(self) -> tuple[str, ...]:
        """Return the sorted names, including this entry's."""
        if self._sorted is None:
            self._sorted = tuple(sorted(self._names))
        return self._sorted

    @property
    def changes(self) -> int:
        """Return how often an entry was added or removed."""
        return self._changes

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: object) -> bool:
        return name in self._names

    def add(self, name: str) -> None:
        """Add a live entry."""
        if name in self._names:
            return
        self._names.add(name)
        insort(self._ring, (rendezvous_hash(_RING, name), name))
        self._handle_change()

    def discard(self, name: str) -> None:
        """Remove an entry that is gone, other than this one."""
        if name not in self._names or name == self._name:
            return
        self._names.discard(name)
        self._ring.remove((rendezvous_hash(_RING, name), name))
        self._handle_change()

    def set_recorded_until(self, until_s: float) -> None:
        """Set until when the store surely has this entry's record.

        After that the others may have removed this entry and use its parts.
        """
        self._recorded_until_s = until_s

    def is_recorded(self, now_s: float) -> bool:
        """Return whether the others surely count this entry."""
        return now_s < self._recorded_until_s - RECORD_LOST_MARGIN_S

    def part(self, limit: int, owner: str, now_s: float) -> int:
        """Return this entry's part of ``limit``; all parts sum up to it."""
        if not self.is_recorded(now_s):
            return 0
        count = len(self._ring)
        each, rest = divmod(limit, count)
        if not rest:
            return each
        first = bisect_left(self._ring, (rendezvous_hash(_RING, owner), ""))
        return each + ((self._position - first) % count < rest)

    def _handle_change(self) -> None:
        self._sorted = None
        self._changes += 1
        if self._name in self._names:
            own = (rendezvous_hash(_RING, self._name), self._name)
            self._position = bisect_left(self._ring, own)
