"""Values of a reader whose sources tell it of changes out of order."""

import random

import attrs
import pytest

from cardamomnotch_core.change_feed.const import MAX_INLINE_BYTES
from cardamomnotch_core.change_feed.feed import ChangeFeed
from cardamomnotch_core.change_feed.models import FeedRequest, StoreChange
from cardamomnotch_core.change_feed.omitted_values import OmittedValues
from cardamomnotch_protocol.store_position import StorePosition

from tests.fixtures.positions import at

KEYS = ("document", "order", "state")
SIZES = (None, 20, MAX_INLINE_BYTES, MAX_INLINE_BYTES + 1)
BEGIN = at(10)


@attrs.define
class History:
    """The writes of the store."""

    changes: list[StoreChange] = attrs.field(factory=list)

    @property
    def position(self) -> StorePosition:
        """Return the last position."""
        return self.changes[-1].position if self.changes else BEGIN

    def last(self, key: str) -> StoreChange | None:
        """Return the last write or deletion of a key; None if it has none."""
        of_key = [change for change in self.changes if change.key == key]
        return of_key[-1] if of_key else None


class Source:
    """An entry that watches the store, at times by the keys of the changes."""

    def __init__(self, history: History) -> None:
        self._history = history
        self.feed = ChangeFeed("source", "a", 1.8)
        self.feed.record_read(BEGIN, 0.0)

    def watch(self, *, is_by_keys: bool) -> None:
        """Read what is new; ``is_by_keys`` names a later position of large values."""
        last = self._history.position
        found = []
        for change in self._history.changes:
            is_large = len(change.value or b"") > MAX_INLINE_BYTES
            if change.position <= self.feed.position:
                continue
            if is_by_keys and is_large:
                change = StoreChange(key=change.key, position=last, is_omitted=True)
            found.append(change)
        found.sort(key=lambda change: change.position)
        self.feed.record_watched(found, last, 0.0)


class Reader:
    """An entry that gets changes from sources, and reads what they leave out."""

    def __init__(self, history: History) -> None:
        self._history = history
        self.feed = ChangeFeed("reader", "a", 1.8)
        self.feed.record_read(BEGIN, 0.0)
        self.values = OmittedValues()
        self.applied: dict[str, StoreChange] = {}
        # Reads that have been sent: key, known position and the store's reply.
        self._reads: dict[str, tuple[StorePosition, StoreChange]] = {}

    def receive(self, part) -> None:
        """Apply what a source has sent."""
        update = self.feed.handle_part("source", part)
        complete, _ = self.values.record_changes(update.changes if update else ())
        for change in complete:
            self._apply(change)
        self.values.forget_until(self.feed.position, self._reads)

    def send_reads(self) -> None:
        """Ask the store for the values that are still to be read."""
        for key in KEYS:
            if key in self.values and key not in self._reads:
                known = self.values.position(key)
                self._reads[key] = known, self._history.last(key)

    def end_read(self, key: str) -> None:
        """Apply the reply to a read, if one was sent."""
        if key not in self._reads:
            return
        known, found = self._reads.pop(key)
        is_found = found.value is not None
        position = found.position if is_found else known
        if self.values.record_read(key, known, position) and is_found:
            self._apply(found)

    def _apply(self, change: StoreChange) -> None:
        previous = self.applied.get(change.key)
        assert previous is None or previous.position <= change.position
        self.applied[change.key] = change


def written(random_source, revision):
    """Return a change with a value of a random size."""
    size = random_source.choice(SIZES)
    return StoreChange(
        key=random_source.choice(KEYS),
        position=at(revision),
        value=None if size is None else b"v" * size,
    )


@pytest.mark.parametrize("seed", range(300))
def test_older_value_replaces_a_newer_one_after_lost_messages(seed):
    """A reader has the newest value of each key, and never goes back to an older one.

    Sources name omitted values first and some of them with a late position; messages
    and replies are lost or late.
    """
    random_source = random.Random(seed)
    history = History()
    sources = [Source(history) for _ in range(2)]
    reader = Reader(history)
    revision = BEGIN.revision
    loss = random_source.choice((0.0, 0.4))
    for step in range(120):
        is_writing = step < 60
        if is_writing and random_source.random() < 0.5:
            revision += 1
            history.changes.append(written(random_source, revision))
        source = random_source.choice(sources)
        if random_source.random() < 0.3:
            source.watch(is_by_keys=random_source.random() < 0.5)
        request = FeedRequest(token=step, position=reader.feed.position)
        for part in source.feed.handle_request("reader", "h:1", request, 0.0):
            if not is_writing or random_source.random() >= loss:
                reader.receive(part)
        reader.send_reads()
        if random_source.random() < 0.4:
            reader.end_read(random_source.choice(KEYS))
    for source in sources:
        source.watch(is_by_keys=False)
    request = FeedRequest(token=1, position=reader.feed.position)
    for part in sources[0].feed.handle_request("reader", "h:1", request, 0.0):
        reader.receive(part)
    for _ in range(2):
        reader.send_reads()
        for key in KEYS:
            reader.end_read(key)
    assert reader.feed.position == history.position
    assert not reader.values
    for key in KEYS:
        last = history.last(key)
        if last is None:
            continue
        applied = reader.applied.get(key)
        assert applied == last or (applied is None and last.value is None)
