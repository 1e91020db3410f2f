"""Passing on of store changes and their confirmed age, without I/O."""

from collections.abc import Iterable, Iterator, Sequence
from itertools import count

import attrs

from cardamomnotch_protocol.store_position import StorePosition

from .change_log import ChangeLog
from .const import (
    MAX_FIRST_PART_BYTES,
    MAX_PART_BYTES,
    MAX_PARTS,
    READER_EXPIRY_S,
    REQUEST_EXPIRY_S,
    REQUEST_INTERVAL_S,
)
from .models import FeedMember, FeedPart, FeedRequest, FeedUpdate, StoreChange
from .sources import FeedSources


@attrs.define
class _Reader:
    """An entry that asks this one for changes."""

    address: str
    token: int
    position: StorePosition
    asked_at_s: float


class ChangeFeed:
    """Gets changes from the zone's sources, and passes them on to its readers.

    Every entry answers requests. Only the sources, and entries that get no
    recent confirmation from others, watch the store themselves.

    A confirmation is passed on with its age. The receiver counts the age from
    the time at which it sent the request that is answered, on its own clock, so
    delays on the way, suspensions and different clocks make a confirmation older
    than it is, never younger. It holds within one era of the store: an entry of
    another era has to ask the store itself. All times are in seconds, on a clock that
    continues while the machine is suspended.
    """

    def __init__(
        self, name: str, zone: str, max_age_s: float, first_token: int = 1
    ) -> None:
        self._zone = zone
        self._max_age_s = max_age_s
        self._log = ChangeLog()
        self._sources = FeedSources(name, zone)
        self._readers: dict[str, _Reader] = {}
        # Unique over restarts, so that a late reply to an earlier process is not
        # taken for one to this process.
        self._tokens = count(first_token)
        # Send times of this entry's requests by token.
        self._requested_at_s: dict[int, float] = {}
        self._next_request_at_s = float("-inf")
        self._confirmed_at_s = float("-inf")
        self._has_gap = False

    @property
    def position(self) -> StorePosition | None:
        """Return the position up to which changes are known; None before any."""
        return self._log.position

    @property
    def confirmed_at_s(self) -> float:
        """Return when the last query was sent that found nothing newer."""
        return self._confirmed_at_s

    def set_max_age(self, max_age_s: float) -> None:
        """Set the age of the last confirmation at which the store is asked."""
        self._max_age_s = max_age_s

    def put_member(self, name: str, zone: str, address: str) -> None:
        """Add another entry; those of other zones are ignored."""
        if zone == self._zone and address:
            self._sources.put(FeedMember(name=name, address=address))

    def remove_member(self, name: str) -> None:
        """Remove an entry that is gone."""
        self._sources.remove(name)
        self._readers.pop(name, None)

    def is_source(self, now_s: float) -> bool:
        """Return whether this entry watches the store for its zone."""
        return self._sources.is_source(now_s)

    def is_first_source(self, now_s: float) -> bool:
        """Return whether this entry reports for its zone."""
        return self._sources.is_first(now_s)

    def other_sources(self, now_s: float) -> Sequence[FeedMember]:
        """Return the zone's sources other than this entry."""
        return self._sources.others(now_s)

    @property
    def member_count(self) -> int:
        """Return the number of the zone's other entries."""
        return len(self._sources)

    def needs_store(self, now_s: float) -> bool:
        """Return whether this entry has to ask the store itself."""
        return (
            self.position is None
            or self._has_gap
            or self.store_needed_in_s(now_s) <= 0.0
            or self._sources.is_source(now_s)
        )

    def store_needed_in_s(self, now_s: float) -> float:
        """Return after how many seconds the last confirmation is too old."""
        return self._confirmed_at_s + self._max_age_s - now_s

    def record_read(self, position: StorePosition, asked_at_s: float) -> None:
        """Record that everything was read, by a query sent at ``asked_at_s``."""
        self._log.reset(position)
        self._has_gap = False
        self._confirm(asked_at_s)

    def record_watched(
        self, changes: Iterable[StoreChange], position: StorePosition, asked_at_s: float
    ) -> tuple[StoreChange, ...]:
        """Record the reply to a watch that was sent at ``asked_at_s``.

        Values that are too large to be read with it may be left out. Returns the
        changes that no other entry has passed on meanwhile.
        """
        new = self._newer(changes)
        self._log.append(new, position)
        self._has_gap = False
        self._confirm(asked_at_s)
        return new

    def forget(self) -> None:
        """Forget what is known, since the store's history is lost."""
        self._log = ChangeLog()

    def requests(self, now_s: float) -> Iterator[tuple[str, FeedRequest]]:
        """Yield the requests that are due, with the addresses to send them to."""
        if now_s < self._next_request_at_s or self.position is None:
            return
        self._next_request_at_s = now_s + REQUEST_INTERVAL_S
        self._expire(now_s)
        for member in self._sources.due(now_s):
            token = next(self._tokens)
            self._requested_at_s[token] = now_s
            yield member.address, FeedRequest(token=token, position=self.position)

    def handle_request(
        self, name: str, address: str, request: FeedRequest, now_s: float
    ) -> Sequence[FeedPart]:
        """Return the parts that answer another entry's request."""
        if self.position is not None and request.position.era > self.position.era:
            self._has_gap = True
        reader = _Reader(address, request.token, request.position, now_s)
        self._readers[name] = reader
        return self._parts(reader, now_s)

    def pushes(self, now_s: float) -> Iterator[tuple[str, FeedPart]]:
        """Yield what is new to readers, with their addresses."""
        for reader in self._readers.values():
            if self.position is not None and reader.position < self.position:
                for part in self._parts(reader, now_s):
                    yield reader.address, part

    def handle_part(self, name: str, part: FeedPart) -> FeedUpdate | None:
        """Return what is new in another entry's reply; None if nothing is.

        A reply that lacks changes, or is of a later era, makes this entry ask the
        store; one of an earlier era has nothing. Values that are left out are read one
        by one.
        """
        self._sources.record_reply(name)
        if self.position is None:
            return None
        if part.is_gap or not part.after.is_continued_by(self.position):
            self._has_gap = self._has_gap or part.position > self.position
            return None
        new = self._newer(part.changes)
        self._log.append(new, part.position)
        confirmed_at_s = None
        requested_at_s = self._requested_at_s.get(part.token)
        if part.age_s is not None and requested_at_s is not None:
            confirmed_at_s = requested_at_s - max(0.0, part.age_s)
            self._confirm(confirmed_at_s)
        return FeedUpdate(changes=new, confirmed_at_s=confirmed_at_s)

    def _parts(self, reader: _Reader, now_s: float) -> Sequence[FeedPart]:
        """Return the changes that a reader lacks, and record that it has them."""
        if self.position is None:
            return ()
        changes = self._log.since(reader.position)
        parts = list(_split(changes)) if changes is not None else []
        if (
            changes is None
            or len(parts) > MAX_PARTS
            or _size(parts[0]) > MAX_FIRST_PART_BYTES
        ):
            gap = FeedPart(
                token=reader.token,
                after=self.position,
                position=self.position,
                is_gap=True,
            )
            # It reads the rest from the store, and tells so with its next request.
            reader.position = max(reader.position, self.position)
            return (gap,)
        after = reader.position
        found = []
        for number, part in enumerate(parts):
            is_last = number == len(parts) - 1
            position = max(after, self.position) if is_last else _end_of(part, after)
            found.append(
                FeedPart(
                    token=reader.token,
                    after=after,
                    position=position,
                    changes=tuple(part),
                    age_s=now_s - self._confirmed_at_s if is_last else None,
                )
            )
            after = position
        reader.position = after
        return found

    def _newer(self, changes: Iterable[StoreChange]) -> tuple[StoreChange, ...]:
        """Return the changes that this entry does not know yet."""
        known = self.position
        return tuple(
            change for change in changes if known is None or change.position > known
        )

    def _confirm(self, confirmed_at_s: float) -> None:
        self._confirmed_at_s = max(self._confirmed_at_s, confirmed_at_s)

    def _expire(self, now_s: float) -> None:
        for token, requested_at_s in tuple(self._requested_at_s.items()):
            if requested_at_s < now_s - REQUEST_EXPIRY_S:
                del self._requested_at_s[token]
        for name, reader in tuple(self._readers.items()):
            if reader.asked_at_s < now_s - READER_EXPIRY_S:
                del self._readers[name]


def _end_of(part: Sequence[StoreChange], after: StorePosition) -> StorePosition:
    """Return the position up to which a reader that gets ``part`` has all changes."""
    positions = (change.position for change in part if not change.is_omitted)
    return max(positions, default=after)


def _split(changes: Iterable[StoreChange]) -> Iterator[list[StoreChange]]:
    """Yield the changes in groups that fit into a datagram; at least one group.

    A group without a change that has a value would not move its reader on, so that
    nobody would notice its loss. The first group may therefore be larger.
    """
    group: list[StoreChange] = []
    for change in changes:
        is_full = _size(group) + change.size > MAX_PART_BYTES
        if is_full and not all(other.is_omitted for other in group):
            yield group
            group = []
        group.append(change)
    yield group


def _size(group: Iterable[StoreChange]) -> int:
    return sum(change.size for change in group)
