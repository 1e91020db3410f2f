"""Following the store and writing to it, with a clock of the test's own."""

import pytest

from cardamomnotch_core.relay import changes
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.models import RolloutOrder
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.rollout import RolloutState
from cardamomnotch_entry.relay import coordinator as module
from cardamomnotch_entry.relay.coordinator import StoreCoordinator
from cardamomnotch_platform.exceptions import StoreConflictError, StoreError

STEP_S = 0.1


class FeedStandIn:
    """Notes what is written, and fails when told to."""

    def __init__(self) -> None:
        self.failure: Exception | None = None
        self.calls: list[str] = []
        self.reports: list[RolloutState] = []
        self.waits_s: list[float] = []
        self.found: list[changes.Change] = []

    def _note(self, call: str) -> None:
        self.calls.append(call)
        if self.failure is not None:
            raise self.failure

    async def async_read_all(self):
        """Return nothing."""
        return [], 1

    async def async_wait(self, cursor, wait_s):
        """Note how long the watch would wait."""
        self.waits_s.append(wait_s)
        self._note("watch")
        return self.found, cursor

    async def async_write_record(self, record, ttl_s):
        """Note a write."""
        self._note("write")

    async def async_keep_record(self):
        """Note a renewal."""
        self._note("keep")
        return True

    async def async_report_rollout(self, rollout, state):
        """Note a report."""
        self._note("report")
        self.reports.append(state)


class Clock:
    """A clock that the test moves."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        """Return the time in seconds."""
        return self.now_s


@pytest.fixture
def clock():
    """Return a clock."""
    return Clock()


@pytest.fixture
def feed():
    """Return a feed."""
    return FeedStandIn()


@pytest.fixture
def node():
    """Return an entry that is the second of two by name."""
    identity = RelayIdentity(name="entry-b", zone="zone-a", incarnation="1")
    found = RelayNode(identity, RelayLimits())
    record = changes.EntryRecord(entry="entry-a", incarnation="1")
    found.apply(changes.EntryReported(record=record), 100.0)
    return found


@pytest.fixture
def coordinator(node, feed, clock):
    """Return a coordinator."""
    return StoreCoordinator(node, feed, clock)


def async_note(slept_s):
    """Return a sleep that only notes how long it should last."""

    async def async_sleep(seconds):
        slept_s.append(seconds)

    return async_sleep


async def async_run(coordinator, clock, seconds):
    """Let the coordinator write for a while."""
    for _ in range(round(seconds / STEP_S)):
        await coordinator.async_publish()
        clock.now_s += STEP_S


async def test_quiet_entry_writes_once_and_renews(coordinator, clock, feed):
    """Without news a record is written once and kept alive."""
    await async_run(coordinator, clock, 20)
    assert feed.calls.count("write") == 1
    assert feed.calls.count("keep") <= 11


async def test_refusing_store_is_not_pressed(coordinator, clock, feed, caplog):
    """Refused writes are tried again about once a second, and logged once."""
    caplog.set_level("INFO")
    feed.failure = StoreError("status 429")
    await async_run(coordinator, clock, 10)
    assert 5 <= len(feed.calls) <= 16
    feed.failure = None
    await async_run(coordinator, clock, 3)
    assert [record.message for record in caplog.records] == [
        "record is not written",
        "record is written again",
    ]


async def test_report_is_left_to_the_first_entry_for_a_moment(
    coordinator, clock, feed, node
):
    """The second entry reports only if the first has not."""
    order = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
    node.apply(changes.RolloutOrdered(order=order, order_id=5), clock())
    await async_run(coordinator, clock, 0.3)
    assert feed.reports == []
    await async_run(coordinator, clock, 1.0)
    assert feed.reports == [RolloutState.IN_PROGRESS]


async def test_report_of_another_entry_is_enough(coordinator, clock, feed, node):
    """What stands is not reported again."""
    order = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
    node.apply(changes.RolloutOrdered(order=order, order_id=5), clock())
    reverted = changes.RolloutReported(
        service="drafts", target="v2", state=RolloutState.REVERTED, revision=6
    )
    node.apply(reverted, clock())
    await async_run(coordinator, clock, 25.0)
    assert feed.reports == []


async def test_finished_rollout_is_told_no_more(coordinator, clock, feed, node):
    """Once a roll-out has ended, its evidence wakes no other entry."""
    order = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
    node.apply(changes.RolloutOrdered(order=order, order_id=5), clock())
    await async_run(coordinator, clock, 1.0)
    completed = changes.RolloutReported(
        service="drafts", target="v2", state=RolloutState.COMPLETED, revision=6
    )
    node.apply(completed, clock())
    await async_run(coordinator, clock, 5.0)
    written = feed.calls.count("write")
    for _ in range(5):
        node.versions.get("drafts").record_answer("v2", False, 0.1)
        await async_run(coordinator, clock, 5.0)
    assert feed.calls.count("write") == written


@pytest.mark.parametrize(
    ("entries", "pause_s"), [(1, 0.2), (7, 0.2), (20, 0.4), (300, 0.6)]
)
async def test_larger_fleets_let_changes_gather(
    coordinator, feed, node, monkeypatch, entries, pause_s
):
    """The pause after a change grows with the entries that a change wakes."""
    await coordinator.async_follow()
    for number in range(entries - len(node.entries)):
        record = changes.EntryRecord(entry=f"more-{number}", incarnation="1")
        node.apply(changes.EntryReported(record=record), 100.0)
    slept_s = []
    monkeypatch.setattr(module.asyncio, "sleep", async_note(slept_s))
    feed.found = [changes.ZoneDisabled(zone="zone-z")]
    await coordinator.async_follow()
    assert slept_s == pytest.approx([pause_s])


async def test_lost_race_is_no_failure(coordinator, clock, feed, node, caplog):
    """An entry that another was ahead of goes on as before."""
    caplog.set_level("INFO")
    order = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
    node.apply(changes.RolloutOrdered(order=order, order_id=5), clock())
    await async_run(coordinator, clock, 0.2)
    feed.failure = StoreConflictError("another entry")
    await async_run(coordinator, clock, 1.0)
    assert "record is not written" not in caplog.text


async def test_silent_store_is_asked_for_answers_at_once(
    coordinator, feed, monkeypatch
):
    """While the store is away no call waits, so its return is noticed soon."""
    monkeypatch.setattr(module, "STORE_RETRY_S", 0.0)
    await coordinator.async_follow()
    await coordinator.async_follow()
    feed.failure = StoreError("silent")
    await coordinator.async_follow()
    await coordinator.async_follow()
    feed.failure = None
    await coordinator.async_follow()
    await coordinator.async_follow()
    assert [wait_s > 0 for wait_s in feed.waits_s] == [True, True, False, False, True]
