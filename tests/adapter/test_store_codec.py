"""Decoding of what lies in the store."""

import orjson
import pytest

from cardamomnotch_adapter.store_codec import PlatformStoreCodec, decode_record
from cardamomnotch_core.relay import changes
from cardamomnotch_core.relay.models import RepeatRule
from cardamomnotch_core.relay.rollout import AnswerStats, RolloutReport, RolloutState
from cardamomnotch_platform.store.models import StoreEntry

from tests.fixtures.relay_system import document

DOCUMENTS = PlatformStoreCodec()

ENTRY = {
    "service": "drafts",
    "address": "10.128.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 1500,
    "sequence": 4,
    "born": 1_700_000_000_000,
}


def stored(key, value):
    """Return a stored item; bytes stay as they are."""
    raw = value if isinstance(value, bytes) else orjson.dumps(value)
    return StoreEntry(key=key, value=raw, mod_revision=12)


def test_upstream():
    """An upstream's entry becomes the product's own type."""
    change = DOCUMENTS.decode(stored("servers/i-1", ENTRY))
    upstream = change.upstream
    assert (upstream.upstream_id, upstream.service) == ("i-1", "drafts")
    assert (upstream.cold_left_s, upstream.is_draining) == (1.5, False)
    assert upstream.started_ms == ENTRY["born"]


UNREADABLE = {
    "no JSON": b"{",
    "a list": [],
    "no address": {key: ENTRY[key] for key in ENTRY if key != "address"},
    "address is a number": {**ENTRY, "address": 7},
    "unknown state": {**ENTRY, "state": "asleep"},
    "state is a list": {**ENTRY, "state": ["ready"]},
    "slots are text": {**ENTRY, "slots": "64"},
    "slots are true": {**ENTRY, "slots": True},
    "service is missing": {**ENTRY, "service": None},
    "bytes": b"\xff\xfe\x00",
}


@pytest.mark.parametrize("value", UNREADABLE.values(), ids=UNREADABLE)
def test_malformed_registration_unregisters_the_upstream(value):
    """A malformed entry takes the upstream off the list, and harms no other."""
    change = DOCUMENTS.decode(stored("servers/i-1", value))
    assert change == changes.UpstreamUnlisted(upstream_id="i-1")


@pytest.mark.parametrize("value", [b"{", {"version": 3}, []], ids=str)
def test_malformed_route_document_is_ignored(value):
    """The routes in force stay when a newer document cannot be read."""
    assert DOCUMENTS.decode(stored("op/config", value)) is None


def test_document():
    """The operators' document keeps its routes, services and keys."""
    found = DOCUMENTS.decode(stored("op/config", document(7))).document
    by_name = {route.name: route for route in found.routes}
    assert found.version == 7
    assert by_name["draft"].repeat is RepeatRule.RESUMABLE_STREAM
    assert by_name["answer"].repeat is RepeatRule.STREAM
    assert by_name["book"].repeat is RepeatRule.NON_IDEMPOTENT
    assert by_name["open"].is_public
    assert by_name["draft"].timeout_s == 5.0
    assert found.services["drafts"].cold_rate == 4.0
    assert found.workspaces["key-one"].name == "firm-one"
    assert found.limits.max_body_bytes == 100_000


def test_document_without_workspaces_needs_no_key():
    """Without a list of tenants, callers need no key."""
    value = document()
    del value["tenants"]
    assert DOCUMENTS.decode(stored("op/config", value)).document.workspaces is None


def test_split_route():
    """A split route has a share for each service."""
    value = document()
    value["routes"][0]["split"] = [
        {"service": "drafts", "weight": 90},
        {"service": "bookings", "weight": 10},
    ]
    route = DOCUMENTS.decode(stored("op/config", value)).document.routes[0]
    assert [share.weight for share in route.shares] == [90.0, 10.0]


@pytest.mark.parametrize(
    ("key", "expected"),
    [
        ("servers/i-1", changes.UpstreamUnlisted(upstream_id="i-1")),
        ("op/evacuate/zone-a", changes.ZoneEnabled(zone="zone-a")),
        ("op/rollout/drafts", changes.RolloutWithdrawn(service="drafts")),
        ("entries/entry-a", changes.EntryExpired(entry="entry-a")),
        ("op/config", None),
        ("status/rollout/drafts", None),
        ("other/key", None),
    ],
)
def test_deleted_items(key, expected):
    """A deletion means the opposite of a write, or nothing."""
    item = StoreEntry(key=key, mod_revision=5, is_deleted=True)
    assert DOCUMENTS.decode(item) == expected


def test_rollout_order_and_status():
    """An order carries its revision, a status names its target."""
    order = DOCUMENTS.decode(
        stored(
            "op/rollout/drafts",
            {"service": "drafts", "target": "v2", "duration_s": 12},
        )
    )
    assert (order.order_id, order.order.target, order.order.duration_s) == (
        12,
        "v2",
        12.0,
    )
    status = DOCUMENTS.decode(
        stored(
            "status/rollout/drafts",
            DOCUMENTS.encode_status("v2", RolloutState.REVERTED),
        )
    )
    assert (status.target, status.state) == ("v2", RolloutState.REVERTED)


def test_entry_record_round_trip():
    """What one entry writes, another reads as it was."""
    record = changes.EntryRecord(
        entry="entry-a",
        incarnation="1",
        rollouts={
            "drafts": RolloutReport(
                order_id=3,
                share=0.3,
                new=AnswerStats(
                    answers=4, bad=1, log_time_sum=0.5, timed=3, in_flight=2
                ),
                old=AnswerStats(),
            )
        },
        crashes={"print": 1},
    )
    assert decode_record(orjson.loads(DOCUMENTS.encode_record(record))) == record
