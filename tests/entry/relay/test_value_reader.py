"""Reading of values on their own, apart from the store's other changes."""

import asyncio

import pytest

from cardamomnotch_core.change_feed.models import StoreChange
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.store_changes import changes
from cardamomnotch_entry.relay.composition import boot_clock
from cardamomnotch_entry.relay.coordinator import StoreCoordinator
from cardamomnotch_entry.relay.value_reader import ValueReader
from cardamomnotch_platform.exceptions import StoreError

from tests.fixtures.positions import at

INTERVAL_S = 0.1
KEY = "document"


def omitted(revision):
    """Return a change of the value that leaves it out."""
    return StoreChange(key=KEY, position=at(revision), is_omitted=True)


class ChangingValue:
    """A store whose value changes at each read."""

    document_key = KEY

    def __init__(self) -> None:
        self.revision = 1
        self.reads = 0
        self.failures = 0
        self.applied = []
        self.reader = ValueReader(
            self, boot_clock, lambda: 0.0, lambda: INTERVAL_S, self._record_value
        )

    async def async_read_value(self, key):
        """Return the value, and announce its next change; fails at first if so set."""
        self.reads += 1
        if self.reads <= self.failures:
            raise StoreError("busy")
        change = StoreChange(key=key, position=at(self.revision), value=b"v")
        self.announce()
        return change

    def announce(self):
        """Change the value."""
        self.revision += 1
        self.reader.read_omitted([omitted(self.revision)])

    def _record_value(self, key, change, asked_at_s):
        self.applied.append(change.position.revision)


@pytest.fixture
async def value():
    """Yield a value that is read."""
    value = ChangingValue()
    yield value
    await value.reader.async_unload()


async def test_value_that_changes_often_is_read_without_a_pause(value):
    """Reads are the interval apart, however often the value changes."""
    value.announce()
    await asyncio.sleep(10.5 * INTERVAL_S)
    assert 3 <= value.reads <= 11
    assert value.applied == sorted(set(value.applied))


@pytest.mark.parametrize("failures", [0, 2])
async def test_single_change_waits_for_the_interval(value, failures):
    """A change after a pause is read at once, and again if the read has failed."""
    value.failures = failures
    value.announce()
    await asyncio.sleep(INTERVAL_S / 2)
    assert len(value.applied) == 1


@pytest.mark.parametrize(
    ("entries", "activation_ms"), [(5, 2_000.0), (68, 2_000.0), (670, 13_000.0)]
)
def test_reads_of_the_document_grow_with_entries_and_changes(entries, activation_ms):
    """All entries together read the document at a rate that the store allows.

    One entry reads it often enough for a change to be in force in time.
    """
    identity = RelayIdentity(name="entry-0", zone="zone-a", incarnation="1")
    node = RelayNode(identity, RelayLimits(activation_ms=activation_ms))
    for number in range(1, entries):
        record = changes.EntryRecord(entry=f"entry-{number}", incarnation="1")
        node.apply(changes.EntryReported(record=record), 0.0)
    coordinator = StoreCoordinator(node, ChangingValue(), boot_clock)
    interval_s = coordinator._value_interval_s
    assert interval_s <= 0.25 * activation_ms / 1000
    assert entries / interval_s <= 220.0
