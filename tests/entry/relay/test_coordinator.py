"""StoreCoordinator with a stand-in store and a manual clock."""

import asyncio
from collections.abc import Callable

import attrs
import pytest

from cardamomnotch_core.change_feed.models import FeedPart, StoreChange
from cardamomnotch_core.relay.crashes.detection import Crash
from cardamomnotch_core.relay.crashes.evidence import Refutation
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.models import RolloutOrder, RouteDocument, Upstream
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.rollouts.rollout import RolloutState
from cardamomnotch_core.relay.store_changes import changes
from cardamomnotch_entry.relay import coordinator as module
from cardamomnotch_entry.relay.coordinator import StoreCoordinator
from cardamomnotch_entry.relay.relay_store import StoreReading
from cardamomnotch_platform.exceptions import StoreConflictError, StoreError
from cardamomnotch_platform.store.budget import StoreBudgetError

from tests.fixtures.positions import at

STEP_S = 0.1


class RelayStoreStandIn:
    """Records all calls, and raises ``failure`` if it is set."""

    def __init__(self) -> None:
        self.failure: Exception | None = None
        self.calls: list[str] = []
        self.reports: list[RolloutState] = []
        self.crash_reports: list[
            tuple[str, tuple[Crash, ...], tuple[Refutation, ...]]
        ] = []
        self.waits_s: list[float] = []
        self.found: list[changes.Change] = []
        self.may_reply = asyncio.Event()
        self.value: StoreChange | None = None
        # Called while a watch waits for its reply.
        self.during_watch: Callable[[], None] = lambda: None

    def _record_call(self, call: str) -> None:
        self.calls.append(call)
        if self.failure is not None:
            raise self.failure

    # Whether watches leave the route document out.
    reads_document_apart = False

    @property
    def document_key(self):
        """Return the key of the route document."""
        return "document"

    async def async_read_value(self, key):
        """Record the read of a value and return the prepared one."""
        self._record_call(f"value of {key}")
        await self.may_reply.wait()
        return self.value

    async def async_read_all(self, *, skips_document):
        """Return no changes."""
        return StoreReading(changes=[], position=at(1), began_at_s=100.0)

    async def async_wait_for_changes(self, cursor, wait_s):
        """Record the watch's wait time and return the prepared changes."""
        self.waits_s.append(wait_s)
        self._record_call("watch")
        self.during_watch()
        count = len(self.found)
        end = at(cursor.revision + count)
        return [StoreChange(key="key", position=end)] * count, end

    def decode(self, store_changes):
        """Return the prepared changes for those of a watch."""
        return self.found if store_changes else []

    async def async_write_record(self, record, ttl_s):
        """Record a write."""
        self._record_call("write")

    async def async_renew_record(self):
        """Record a lease renewal."""
        self._record_call("keep")
        return True

    async def async_write_crashes(self, name, crashes, refutations, ttl_s):
        """Record a report of crashes."""
        self._record_call("crashes")
        self.crash_reports.append((name, crashes, refutations))

    async def async_report_rollout(self, rollout, state):
        """Record a roll-out report."""
        self._record_call("report")
        self.reports.append(state)


class Clock:
    """A clock that the test advances."""

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
def relay_store():
    """Return a stand-in for the relay's store."""
    return RelayStoreStandIn()


@pytest.fixture
def node():
    """Return an entry that is the second of two by name."""
    identity = RelayIdentity(name="entry-b", zone="zone-b", incarnation="1")
    second_node = RelayNode(identity, RelayLimits())
    record = changes.EntryRecord(entry="entry-a", incarnation="1")
    second_node.apply(changes.EntryReported(record=record), 100.0)
    return second_node


@pytest.fixture
def coordinator(node, relay_store, clock):
    """Return a coordinator."""
    return StoreCoordinator(node, relay_store, clock)


def recording_sleep(slept_s):
    """Return a sleep that only appends its duration to ``slept_s``."""

    async def async_sleep(seconds):
        slept_s.append(seconds)

    return async_sleep


async def run_coordinator(coordinator, clock, seconds):
    """Publish repeatedly for ``seconds`` of the manual clock."""
    for _ in range(round(seconds / STEP_S)):
        await coordinator.async_publish()
        clock.now_s += STEP_S


async def test_unchanged_record_is_written_once_and_renewed(
    coordinator, clock, relay_store
):
    """An unchanged record is written once; only its lease is renewed."""
    await run_coordinator(coordinator, clock, 20)
    assert relay_store.calls.count("write") == 1
    assert relay_store.calls.count("keep") <= 11


async def test_failed_writes_are_rate_limited(coordinator, clock, relay_store, caplog):
    """Failed writes are retried about once a second, and logged once."""
    caplog.set_level("INFO")
    relay_store.failure = StoreError("status 429")
    await run_coordinator(coordinator, clock, 10)
    assert 5 <= len(relay_store.calls) <= 16
    relay_store.failure = None
    await run_coordinator(coordinator, clock, 3)
    assert [record.message for record in caplog.records] == [
        "entry record or report could not be written",
        "entry record and reports are written again",
    ]


async def test_crashes_are_stored_until_the_store_accepts_them(
    coordinator, clock, relay_store, node
):
    """Crashes seen in a store outage are reported together after it, once."""
    first, second = (
        Crash(suspect="print", process=f"up-{number}@1") for number in range(2)
    )
    relay_store.failure = StoreError("status 503")
    node.quarantine.record_crash(first, clock())
    await run_coordinator(coordinator, clock, 3)
    node.quarantine.record_crash(second, clock())
    relay_store.crash_reports.clear()
    relay_store.failure = None
    await run_coordinator(coordinator, clock, 3)
    assert relay_store.crash_reports == [("entry-b-1-0", (first, second), ())]


async def test_refutations_are_stored_until_the_store_accepts_them(
    coordinator, clock, relay_store, node
):
    """A refutation that another entry needs is stored, once."""
    crashes = [Crash(suspect="print", process=f"up-{number}@1") for number in range(2)]
    node.quarantine.add_reported(crashes, (), clock())
    node.quarantine.record_completed({"print"}, clock())
    relay_store.failure = StoreError("status 503")
    await run_coordinator(coordinator, clock, 3)
    relay_store.crash_reports.clear()
    relay_store.failure = None
    await run_coordinator(coordinator, clock, 3)
    refutations = (Refutation("print", "up-0@1"), Refutation("print", "up-1@1"))
    assert relay_store.crash_reports == [("entry-b-1-0", (), refutations)]


async def test_report_is_delayed_on_the_second_entry(
    coordinator, clock, relay_store, node
):
    """The second entry reports only after its delay."""
    order = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
    node.apply(changes.RolloutOrdered(order=order, order_id=at(4)), clock())
    await run_coordinator(coordinator, clock, 0.3)
    assert relay_store.reports == []
    await run_coordinator(coordinator, clock, 1.0)
    assert relay_store.reports == [RolloutState.IN_PROGRESS]


@pytest.mark.parametrize("lost", [0, 16, 64])
async def test_report_does_not_wait_for_entries_that_are_lost(clock, lost):
    """Some entry reports within seconds, whichever part of them is cut off."""
    names = [f"entry-{number:02}" for number in range(68)]
    reported_s = []
    for name in names[lost:]:
        identity = RelayIdentity(name=name, zone="zone-a", incarnation="1")
        node = RelayNode(identity, RelayLimits())
        for other in names:
            record = changes.EntryRecord(entry=other, incarnation="1")
            if other != name:
                node.apply(changes.EntryReported(record=record), 100.0)
        order = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
        node.apply(changes.RolloutOrdered(order=order, order_id=at(5)), 100.0)
        relay_store, started = RelayStoreStandIn(), Clock()
        writer = StoreCoordinator(node, relay_store, started)
        while not relay_store.reports:
            await run_coordinator(writer, started, STEP_S)
        reported_s.append(started.now_s - 100.0)
    reported_s.sort()
    assert reported_s[0] <= 2.5
    assert reported_s[-1] <= 3.0
    if not lost:
        assert [at_s <= 0.2 for at_s in reported_s[:2]] == [True, False]


async def test_state_reported_by_another_entry_is_not_reported_again(
    coordinator, clock, relay_store, node
):
    """A state that the store already has is not reported again."""
    order = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
    node.apply(changes.RolloutOrdered(order=order, order_id=at(5)), clock())
    reverted = changes.RolloutReported(
        service="drafts", target="v2", state=RolloutState.REVERTED, position=at(6)
    )
    node.apply(reverted, clock())
    await run_coordinator(coordinator, clock, 25.0)
    assert relay_store.reports == []


async def test_evidence_of_a_finished_rollout_is_not_written(
    coordinator, clock, relay_store, node
):
    """Evidence after the end of a roll-out causes no record write."""
    order = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
    node.apply(changes.RolloutOrdered(order=order, order_id=at(5)), clock())
    await run_coordinator(coordinator, clock, 1.0)
    completed = changes.RolloutReported(
        service="drafts", target="v2", state=RolloutState.COMPLETED, position=at(6)
    )
    node.apply(completed, clock())
    await run_coordinator(coordinator, clock, 5.0)
    written = relay_store.calls.count("write")
    for _ in range(5):
        node.versions.get("drafts").record_answer("v2", False)
        await run_coordinator(coordinator, clock, 5.0)
    assert relay_store.calls.count("write") == written


@pytest.mark.parametrize(
    ("entries", "pause_s"), [(1, 0.2), (7, 0.2), (20, 0.4), (300, 0.6)]
)
async def test_watch_pause_grows_with_the_number_of_entries(
    coordinator, relay_store, node, monkeypatch, entries, pause_s
):
    """The pause after a change depends on how many entries it wakes."""
    await coordinator.async_apply_changes()
    for number in range(entries - len(node.entries)):
        record = changes.EntryRecord(entry=f"more-{number}", incarnation="1")
        node.apply(changes.EntryReported(record=record), 100.0)
    slept_s = []
    monkeypatch.setattr(module.asyncio, "sleep", recording_sleep(slept_s))
    relay_store.found = [changes.ZoneDisabled(zone="zone-z")]
    await coordinator.async_apply_changes()
    assert slept_s == pytest.approx([pause_s])


async def test_store_conflict_is_not_a_failure(
    coordinator, clock, relay_store, node, caplog
):
    """A write conflict with another entry is not logged as a failure."""
    caplog.set_level("INFO")
    order = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
    node.apply(changes.RolloutOrdered(order=order, order_id=at(5)), clock())
    await run_coordinator(coordinator, clock, 0.2)
    relay_store.failure = StoreConflictError("another entry")
    await run_coordinator(coordinator, clock, 1.0)
    assert "entry record or report could not be written" not in caplog.text


async def test_unavailable_store_is_watched_without_waiting(
    coordinator, relay_store, monkeypatch
):
    """Watches of an unavailable store do not wait, to detect recovery soon."""
    monkeypatch.setattr(module, "STORE_RETRY_DELAY_S", 0.0)
    await coordinator.async_apply_changes()
    await coordinator.async_apply_changes()
    relay_store.failure = StoreError("silent")
    await coordinator.async_apply_changes()
    await coordinator.async_apply_changes()
    relay_store.failure = None
    await coordinator.async_apply_changes()
    await coordinator.async_apply_changes()
    assert [wait_s > 0 for wait_s in relay_store.waits_s] == [
        True,
        True,
        False,
        False,
        True,
    ]


async def test_own_limit_on_calls_counts_as_an_unavailable_store(
    coordinator, relay_store, monkeypatch, caplog
):
    """A call that was not made says nothing of the store: watches wait as before."""
    monkeypatch.setattr(module, "STORE_RETRY_DELAY_S", 0.0)
    await coordinator.async_apply_changes()
    relay_store.failure = StoreBudgetError("over the rate")
    await coordinator.async_apply_changes()
    relay_store.failure = None
    await coordinator.async_apply_changes()
    assert all(wait_s > 0 for wait_s in relay_store.waits_s)
    assert "store is unavailable" not in caplog.text
    assert "limit on calls is used up" in caplog.text


async def test_document_after_an_unconfirmed_one_stops_the_watch(
    coordinator, relay_store, node, clock, caplog
):
    """The delay of a document is unknown if the one before was never confirmed."""
    caplog.set_level("INFO")
    node.routes.require_version(3)
    await coordinator.async_apply_changes()
    for version in (2, 3):
        document = RouteDocument(
            version=version, routes=(), services={}, workspaces=None
        )
        relay_store.found = [changes.DocumentWritten(document=document)]
        clock.now_s += 1.0
        await coordinator.async_apply_changes()
    delays = [
        record.fields["delay_ms"]
        for record in caplog.records
        if record.message == "routes in force"
    ]
    assert delays == [-1, -1]


async def test_rollout_is_completed_by_an_entry_that_was_suspended(
    coordinator, clock, relay_store, node
):
    """An entry whose data is old reports no roll-out as completed."""
    await coordinator.async_apply_changes()
    order = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
    node.apply(changes.RolloutOrdered(order=order, order_id=at(5)), clock())
    await run_coordinator(coordinator, clock, 1.0)
    assert relay_store.reports == [RolloutState.IN_PROGRESS]
    clock.now_s += 19.0
    await run_coordinator(coordinator, clock, 1.5)
    assert relay_store.reports == [RolloutState.IN_PROGRESS]
    await coordinator.async_apply_changes()
    await run_coordinator(coordinator, clock, 0.5)
    assert relay_store.reports == [RolloutState.IN_PROGRESS, RolloutState.COMPLETED]


async def test_conflict_on_one_rollout_stops_the_reports_of_others(
    coordinator, clock, relay_store, node
):
    """A report that is refused is retried after a pause, and holds up no other."""
    for service in ("drafts", "views"):
        order = RolloutOrder(service=service, target="v2", duration_s=20.0)
        node.apply(changes.RolloutOrdered(order=order, order_id=at(5)), clock())
    refused = []

    async def async_report(rollout, state):
        if rollout.order.service == "drafts":
            refused.append(clock())
            raise StoreConflictError("the order has changed")
        relay_store.reports.append(state)

    relay_store.async_report_rollout = async_report
    await run_coordinator(coordinator, clock, 3.0)
    assert relay_store.reports == [RolloutState.IN_PROGRESS]
    assert 1 <= len(refused) <= 5


@pytest.fixture
async def reader(coordinator, clock, node):
    """Return a coordinator whose entry is not one of its zone's sources."""
    await coordinator.async_apply_changes()
    for number in range(40):
        record = changes.EntryRecord(
            entry=f"other-{number}", incarnation="1", zone="zone-b", address="h:1"
        )
        node.apply(changes.EntryReported(record=record), clock())
    assert not node.feed.is_source(clock())
    return coordinator


async def test_confirmed_entry_does_not_ask_the_store(
    reader, clock, node, relay_store, monkeypatch
):
    """An entry asks the store only when no other entry confirms its data."""
    monkeypatch.setattr(module, "MAX_FEED_WAIT_S", 0.0)
    max_age_s = node.limits.feed_max_age_s
    for _ in range(20):
        clock.now_s += max_age_s / 2
        _, request = next(iter(node.feed.requests(clock())))
        clock.now_s += 0.1
        part = FeedPart(token=request.token, after=at(1), position=at(1), age_s=0.2)
        reader.apply_part("other-1", part)
        await reader.async_apply_changes()
        assert node.routes.confirmed_at_s == pytest.approx(clock() - 0.3)
    assert "watch" not in relay_store.calls
    clock.now_s += max_age_s
    await reader.async_apply_changes()
    assert relay_store.calls == ["watch"]


@pytest.mark.parametrize(
    "part",
    [
        FeedPart(token=1, after=at(1), position=at(9), is_gap=True),
        FeedPart(token=1, after=at(5), position=at(9)),
    ],
    ids=["older than the log", "an earlier part is lost"],
)
async def test_entry_that_lacks_changes_asks_the_store(
    reader, clock, relay_store, monkeypatch, part
):
    """An entry reads from the store what others could not pass on."""
    monkeypatch.setattr(module.asyncio, "sleep", recording_sleep([]))
    reader.apply_part("other-1", part)
    await reader.async_apply_changes()
    assert relay_store.calls == ["watch"]


async def test_store_outage_is_watched_by_the_sources(
    reader, clock, node, relay_store, monkeypatch
):
    """In an outage the sources of a zone call the store, the others seldom."""
    slept_s = []
    monkeypatch.setattr(module.asyncio, "sleep", recording_sleep(slept_s))
    relay_store.failure = StoreError("status 503")
    clock.now_s += node.limits.feed_max_age_s
    await reader.async_apply_changes()
    for number in range(40):
        node.apply(changes.EntryExpired(entry=f"other-{number}"), clock())
    await reader.async_apply_changes()
    assert slept_s == [module.READER_RETRY_DELAY_S, module.STORE_RETRY_DELAY_S]


async def test_source_that_alone_is_turned_away_calls_the_store_seldom(
    coordinator, clock, node, relay_store, monkeypatch
):
    """A source whose data the other one confirms does not retry often."""
    slept_s = []
    monkeypatch.setattr(module.asyncio, "sleep", recording_sleep(slept_s))
    await coordinator.async_apply_changes()
    record = changes.EntryRecord(
        entry="other", incarnation="1", zone="zone-b", address="h:1"
    )
    node.apply(changes.EntryReported(record=record), clock())
    relay_store.failure = StoreError("status 503")
    clock.now_s += 0.1
    await coordinator.async_apply_changes()
    _, request = next(iter(node.feed.requests(clock())))
    clock.now_s += 0.3
    part = FeedPart(token=request.token, after=at(1), position=at(1), age_s=0.0)
    coordinator.apply_part("other", part)
    await coordinator.async_apply_changes()
    clock.now_s += node.limits.feed_max_age_s
    await coordinator.async_apply_changes()
    assert slept_s == [
        module.STORE_RETRY_DELAY_S,
        module.READER_RETRY_DELAY_S,
        module.STORE_RETRY_DELAY_S,
    ]


OUTAGE_S = 4.0


@pytest.mark.parametrize(
    "is_outage", [False, True], ids=["slow replies", "failed calls"]
)
async def test_deleted_upstream_is_kept_after_a_slow_reply(
    coordinator, clock, node, relay_store, monkeypatch, is_outage
):
    """Only upstreams that were lost in an outage of the store are kept."""
    monkeypatch.setattr(module.asyncio, "sleep", recording_sleep([]))
    upstream = Upstream(
        upstream_id="up",
        service="drafts",
        address="h:1",
        zone="zone-b",
        version="v1",
        slots=1,
    )
    await coordinator.async_apply_changes()
    await coordinator.async_apply_changes()
    node.apply(changes.UpstreamListed(upstream=upstream), clock())
    for _ in range(2):
        if is_outage:
            relay_store.failure = StoreError("status 503")
            await coordinator.async_apply_changes()
            clock.now_s += OUTAGE_S
            relay_store.failure = None
        else:
            relay_store.during_watch = lambda: setattr(
                clock, "now_s", clock.now_s + OUTAGE_S
            )
        relay_store.found = [changes.UpstreamUnlisted(upstream_id="up")]
        await coordinator.async_apply_changes()
        assert (node.fleet.get("up") is not None) == is_outage


def part_with_omitted_value(node, clock, key, **fields):
    """Return a part with a value left out and another change behind it."""
    _, request = next(iter(node.feed.requests(clock())))
    omitted = StoreChange(key=key, position=at(2), is_omitted=True)
    small = StoreChange(key="key", position=at(3))
    return FeedPart(
        token=request.token,
        after=at(1),
        position=at(3),
        changes=(omitted, small),
        age_s=0.0,
        **fields,
    )


async def test_changes_wait_for_a_value_that_was_left_out(
    reader, clock, node, relay_store, monkeypatch
):
    """A value is read on its own; the routes are not confirmed before."""
    real_sleep = asyncio.sleep
    clock.now_s += 0.5
    confirmed_at_s = node.routes.confirmed_at_s
    relay_store.found = [changes.ZoneDisabled(zone="zone-z")]
    reader.apply_part(
        "other-1", part_with_omitted_value(node, clock, relay_store.document_key)
    )
    assert node.fleet.zones_out == {"zone-z"}
    assert not node.feed.needs_store(clock())
    assert node.feed.confirmed_at_s == clock()
    monkeypatch.setattr(module.asyncio, "sleep", recording_sleep([]))
    await real_sleep(0)
    clock.now_s += 1.0
    assert relay_store.calls == ["value of document"]
    assert node.routes.confirmed_at_s == confirmed_at_s
    relay_store.value = StoreChange(key="document", position=at(2), value=b"{}")
    relay_store.may_reply.set()
    for _ in range(3):
        await real_sleep(0)
    assert node.routes.confirmed_at_s == clock() - 1.0


async def test_earlier_small_document_hides_the_omitted_newest_one(
    reader, clock, node, relay_store, monkeypatch
):
    """The routes are not confirmed until the newest document has been read."""
    real_sleep = asyncio.sleep
    clock.now_s += 0.5
    confirmed_at_s = node.routes.confirmed_at_s
    part = part_with_omitted_value(node, clock, relay_store.document_key)
    earlier = StoreChange(key=relay_store.document_key, position=at(2), value=b"{}")
    newest = StoreChange(key=relay_store.document_key, position=at(3), is_omitted=True)
    reader.apply_part(
        "other-1", attrs.evolve(part, changes=(newest, earlier), position=at(3))
    )
    assert node.feed.confirmed_at_s == clock()
    monkeypatch.setattr(module.asyncio, "sleep", recording_sleep([]))
    await real_sleep(0)
    assert relay_store.calls == ["value of document"]
    assert node.routes.confirmed_at_s == confirmed_at_s
