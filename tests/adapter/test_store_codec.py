"""Tests of decoding and encoding the items of the platform's store."""

import json

import attrs
import orjson
import pytest

from cardamomnotch_adapter.store_codec import PlatformStoreCodec, decode_record
from cardamomnotch_core.relay.crashes.detection import Crash, Suspicion
from cardamomnotch_core.relay.crashes.evidence import Refutation
from cardamomnotch_core.relay.models import RepeatRule, Service
from cardamomnotch_core.relay.rollouts.answer_times import AnswerTimes
from cardamomnotch_core.relay.rollouts.rollout import (
    AnswerStats,
    RolloutReport,
    RolloutState,
)
from cardamomnotch_core.relay.store_changes import changes
from cardamomnotch_platform.store.models import StoreEntry

from tests.fixtures.positions import at
from tests.fixtures.relay_system import document, route, service

CODEC = PlatformStoreCodec()

REGISTRATION = {
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


def store_entry(key, value):
    """Return a stored item; values other than bytes are encoded as JSON."""
    raw = value if isinstance(value, bytes) else orjson.dumps(value)
    return StoreEntry(key=key, value=raw, mod_revision=12)


def test_upstream_registration_is_decoded():
    """An upstream's registration is decoded into an Upstream."""
    change = CODEC.decode(store_entry("servers/i-1", REGISTRATION))
    upstream = change.upstream
    assert (upstream.upstream_id, upstream.service) == ("i-1", "drafts")
    assert (upstream.cold_left_s, upstream.is_draining) == (1.5, False)
    assert upstream.started_ms == REGISTRATION["born"]


MALFORMED_REGISTRATIONS = {
    "not JSON": b"{",
    "list instead of object": [],
    "missing address": {
        key: REGISTRATION[key] for key in REGISTRATION if key != "address"
    },
    "address is a number": {**REGISTRATION, "address": 7},
    "unknown state": {**REGISTRATION, "state": "asleep"},
    "state is a list": {**REGISTRATION, "state": ["ready"]},
    "slots are a string": {**REGISTRATION, "slots": "64"},
    "slots are a boolean": {**REGISTRATION, "slots": True},
    "service is null": {**REGISTRATION, "service": None},
    "not UTF-8": b"\xff\xfe\x00",
    "deeply nested": b"[" * 100_000 + b"]" * 100_000,
    "deeply nested field": (
        orjson.dumps(REGISTRATION)[:-1] + b',"more":' + b"[" * 9_999 + b"]" * 9_999
    )
    + b"}",
    "number of 400 digits": orjson.dumps(REGISTRATION).replace(b"1500", b"9" * 400),
    **{
        f"{field} is {value!r}": {**REGISTRATION, field: value}
        for field, values in {
            "address": (
                "10.128.0.9:99999",
                "10.128.0.9:-1",
                "10.128.0.9:0",
                "10.128.0.9:+80",
                "10.128.0.9:\u0668\u0660",
                "10.128.0.9",
                "10.128.0:80",
                "somewhere:80",
                ":80",
                "",
            ),
            "slots": (-3, 0, 2**64 - 1, 1.5),
            "cold_left_ms": (-1, 2**64 - 1, 1e300),
            "born": ("1700000000000", -1, 1e300, None, 2**64 - 1),
            "sequence": ("4", -1, [4]),
            "zone": ("",),
            "service": ("",),
        }.items()
        for value in values
    },
}


@pytest.mark.parametrize(
    "value", MALFORMED_REGISTRATIONS.values(), ids=MALFORMED_REGISTRATIONS
)
def test_malformed_registration_unregisters_the_upstream(value):
    """A malformed registration is decoded as the upstream's removal."""
    change = CODEC.decode(store_entry("servers/i-1", value))
    assert change == changes.UpstreamUnlisted(upstream_id="i-1")


@pytest.mark.parametrize("value", [b"{", {"version": 3}, []], ids=str)
def test_malformed_route_document_is_ignored(value):
    """A route document that cannot be decoded causes no change."""
    assert CODEC.decode(store_entry("op/config", value)) is None


def test_route_document_is_decoded():
    """Routes, services, API keys and limits of a document are decoded."""
    decoded = CODEC.decode(store_entry("op/config", document(7))).document
    routes_by_name = {route.name: route for route in decoded.routes}
    assert decoded.version == 7
    assert routes_by_name["draft"].repeat is RepeatRule.RESUMABLE_STREAM
    assert routes_by_name["answer"].repeat is RepeatRule.STREAM
    assert routes_by_name["book"].repeat is RepeatRule.NON_IDEMPOTENT
    assert routes_by_name["open"].is_public
    assert routes_by_name["draft"].timeout_s == 5.0
    assert decoded.services["drafts"].cold_rate == 4.0
    assert decoded.workspaces["key-one"].name == "firm-one"
    assert decoded.limits.max_body_bytes == 100_000


def test_capacity_of_a_service_is_decoded():
    """Memory, tokens per event, prices and the longest pause are decoded."""
    engine = {
        "kv_capacity": 90_000,
        "stride": 5,
        "models": [{"name": "small", "cost": 0.01}, {"name": "large"}],
    }
    value = document(
        routes=[route("draft", "streaming", gap_target_ms=1_200)],
        services=[service("drafts", engine=engine), service("bookings")],
    )
    decoded = CODEC.decode(store_entry("op/config", value)).document
    assert decoded.routes[0].max_pause_s == 1.2
    assert decoded.services["drafts"] == Service(
        name="drafts",
        token_capacity=90_000,
        tokens_per_event=5,
        model_costs={"small": 0.01, "large": 0.0},
    )
    assert decoded.services["bookings"] == Service(name="bookings")


def test_document_without_workspaces_needs_no_key():
    """A route document without tenants requires no API keys."""
    value = document()
    del value["tenants"]
    assert CODEC.decode(store_entry("op/config", value)).document.workspaces is None


def test_split_route_has_a_share_per_service():
    """A split route has a weighted share for each service."""
    value = document()
    value["routes"][0]["split"] = [
        {"service": "drafts", "weight": 90},
        {"service": "bookings", "weight": 10},
    ]
    route = CODEC.decode(store_entry("op/config", value)).document.routes[0]
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
def test_deletions_are_decoded(key, expected):
    """A deletion is decoded as the reverse change, or as no change."""
    item = StoreEntry(key=key, mod_revision=5, is_deleted=True)
    assert CODEC.decode(item) == expected


def test_rollout_order_and_status():
    """A rollout order has its revision as id; a status names its target."""
    order = CODEC.decode(
        store_entry(
            "op/rollout/drafts",
            {"service": "drafts", "target": "v2", "duration_s": 12},
        )
    )
    assert (order.order_id, order.order.target, order.order.duration_s) == (
        at(12),
        "v2",
        12.0,
    )
    status = CODEC.decode(
        store_entry(
            "status/rollout/drafts",
            CODEC.encode_status("v2", RolloutState.REVERTED),
        )
    )
    assert (status.target, status.state) == ("v2", RolloutState.REVERTED)


def test_entry_record_round_trip():
    """A decoded record equals the record that was encoded."""
    own = RolloutReport(
        order_id=at(3, 2),
        share=0.3,
        new=AnswerStats(
            answers=4,
            bad=1,
            in_flight=2,
            times=AnswerTimes(counts=[0, 1, 2, *[0] * 9]),
        ),
        old=AnswerStats(),
    )
    record = changes.EntryRecord(
        entry="entry-a",
        incarnation="1",
        rollouts={"drafts": attrs.evolve(own, zone="zone-a", entries=2)},
        own_rollouts={"drafts": own},
    )
    assert decode_record(orjson.loads(CODEC.encode_record(record))) == record


def test_crash_report_round_trip():
    """A decoded report of crashes equals the one that was encoded."""
    crashes = (
        Crash(suspect="print", process="up@1", suspicion=Suspicion.BEGINNING),
        Crash(suspect="part:aa", process="up@1", suspicion=Suspicion.ANSWERING),
    )
    refutations = (Refutation("part:bb", "up@1"),)
    entry = store_entry(
        CODEC.crashes_key("entry-a-1-0"), CODEC.encode_crashes(crashes, refutations)
    )
    assert CODEC.decode(entry) == changes.CrashesReported(
        crashes=crashes, refutations=refutations
    )


def test_crash_report_of_an_earlier_build_is_decoded():
    """A report without suspicions and refutations counts its crashes."""
    entry = store_entry("crashes/entry-a-1-0", b'[["print", "up@1"]]')
    crashes = (Crash(suspect="print", process="up@1"),)
    assert CODEC.decode(entry) == changes.CrashesReported(crashes=crashes)


@pytest.mark.parametrize(
    "value",
    [
        b"{}",
        b"[1]",
        b"[[1, 2, 3]]",
        b"[",
        b'{"crashes": [["print", "up@1"]], "refuted": []}',
        b'{"crashes": [["print", "up@1", 9]], "refuted": []}',
        b'{"crashes": [], "refuted": [1]}',
    ],
)
def test_unreadable_crash_report_is_ignored(value):
    """A report that another writer has spoiled reports nothing."""
    change = CODEC.decode(store_entry(CODEC.crashes_key("entry-a-1-0"), value))
    assert change is None or not change.crashes


def nested(key, value):
    """Return an entry's record with one field changed, also within statistics."""
    record = {
        "entry": "entry-a",
        "incarnation": "1",
        "address": "10.0.0.1:7000",
        "zone": "zone-a",
        "rollouts": {
            "drafts": {
                "order_id": 3,
                "share": 0.5,
                "passed_s": 1.5,
                "entries": 2,
                "zone": "zone-a",
                "new": {"answers": 1, "bad": 0, "in_flight": 2},
                "old": {"answers": 1, "bad": 0, "in_flight": 2},
                "new_times": [1] * 12,
                "old_times": [1] * 12,
            }
        },
    }
    target = record
    *path, last = key.split(".")
    for name in path:
        target = target[name]
    target[last] = value
    return record


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("entry", ["entry-a"]),
        ("incarnation", 7),
        ("address", 7),
        ("address", "10.0.0.1:99999"),
        ("address", "10.0.0.1"),
        ("zone", {}),
        ("rollouts.drafts.order_id", "3"),
        ("rollouts.drafts.share", "half"),
        ("rollouts.drafts.passed_s", None),
        ("rollouts.drafts.entries", 1e300),
        ("rollouts.drafts.new.answers", "1"),
        ("rollouts.drafts.old.bad", -1),
        ("rollouts.drafts.new_times", [1] * 11 + ["2"]),
        ("rollouts.drafts.new_times", [1] * 11),
    ],
)
def test_record_with_a_malformed_field_reaches_the_node(key, value):
    """A record of an entry is used only if each of its fields is."""
    whole = CODEC.decode(store_entry("entries/entry-a", nested("zone", "zone-b")))
    assert whole.record.rollouts["drafts"].entries == 2
    assert CODEC.decode(store_entry("entries/entry-a", nested(key, value))) is None


@pytest.mark.parametrize(
    "changed",
    [{"duration_s": value} for value in (-1, 0, "x", None, 10**400)]
    + [{"target": 7}, {"service": ["drafts"]}],
    ids=str,
)
def test_malformed_rollout_order_reaches_the_node(changed):
    """An order without a usable target and duration causes no change."""
    order = {"service": "drafts", "target": "v2", "duration_s": 20.0, **changed}
    value = json.dumps(order).encode()
    assert CODEC.decode(store_entry("op/rollout/drafts", value)) is None
