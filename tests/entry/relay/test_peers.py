"""Exchange of load notices between entries."""

import itertools
import socket

import attrs
import orjson
import pytest

from cardamomnotch_core.change_feed.models import FeedPart, FeedRequest, StoreChange
from cardamomnotch_core.relay.crashes.detection import Crash, Suspicion
from cardamomnotch_core.relay.crashes.evidence import Refutation
from cardamomnotch_core.relay.crashes.isolation import RunNotice
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.models import PromptPart, Upstream, UpstreamHints
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.notices.models import LoadKind, LoadNotice
from cardamomnotch_core.relay.rollouts.answer_times import AnswerTimes
from cardamomnotch_core.relay.rollouts.reports import RolloutsMessage
from cardamomnotch_core.relay.rollouts.rollout import AnswerStats, RolloutReport
from cardamomnotch_core.relay.store_changes import changes
from cardamomnotch_entry.relay.const import MAX_SUSPECT_DATAGRAMS_AT_ONCE
from cardamomnotch_entry.relay.peer_messages import (
    decode_feed_part,
    decode_feed_request,
    decode_notices,
    decode_reports,
    decode_rollouts,
    decode_unreachable,
    encode_feed_part,
    encode_feed_request,
    encode_notices,
    encode_reports,
    encode_rollouts,
    encode_unreachable,
)
from cardamomnotch_entry.relay.peers import PeerExchange
from cardamomnotch_runtime.tasks import async_wait_until

from tests.fixtures.positions import at

NOTICES = [
    LoadNotice(
        kind=LoadKind.STARTED,
        upstream_id="up-1",
        attempt=7,
        prefill_ms=400,
        model="m",
        prompt=(PromptPart(part_id="5c1e", tokens=800),),
        session="s-1",
    ),
    LoadNotice(kind=LoadKind.ANSWERED, attempt=7),
    LoadNotice(kind=LoadKind.ENDED, attempt=7),
]

REPORT = changes.CrashesReported(
    crashes=(
        Crash(suspect="r1", process="up-1@0", suspicion=Suspicion.BEGINNING),
        Crash(suspect="part:a", process="up-1@0"),
    ),
    refutations=(Refutation("r2", "up-2@0"),),
)
RUNS = [
    RunNotice(run=3, process="up-1@0", suspects=frozenset({"r1"}), is_alone=True),
    RunNotice(run=2),
]


@pytest.mark.parametrize("is_relayed", [False, True])
def test_notices_round_trip(is_relayed):
    """Encoded notices are decoded to equal ones."""
    data = encode_notices("entry-a", NOTICES, is_relayed=is_relayed)
    assert decode_notices(orjson.loads(data)) == ("entry-a", NOTICES, is_relayed)


def test_unreachable_upstreams_round_trip():
    """Encoded processes are decoded to equal ones."""
    message = orjson.loads(encode_unreachable("entry-a", ["up-1@0", "up-2@7"]))
    assert decode_unreachable(message) == ("entry-a", ["up-1@0", "up-2@7"])


def test_rollouts_round_trip():
    """Encoded rollout statistics are decoded to equal ones."""
    times = AnswerTimes(counts=list(range(12)))
    report = RolloutReport(
        order_id=at(5, 2),
        share=0.3,
        passed_s=4.5,
        new=AnswerStats(answers=7, bad=2, in_flight=1, times=times),
        old=AnswerStats(answers=9),
    )
    message = RolloutsMessage(
        entry="entry-a", incarnation="2", resumed="1", reports={"drafts": report}
    )
    assert decode_rollouts(orjson.loads(encode_rollouts(message))) == message


def test_reports_round_trip():
    """Encoded crashes and suspected runs are decoded to equal ones."""
    message = orjson.loads(encode_reports("entry-a", REPORT, RUNS))
    assert decode_reports(message) == ("entry-a", REPORT, RUNS)


def test_store_changes_round_trip():
    """Requests and parts are decoded to equal ones; binary values are left out."""
    request = FeedRequest(token=9, position=at(4))
    message = orjson.loads(encode_feed_request("entry-a", request))
    assert decode_feed_request(message) == request
    kept = (
        StoreChange(key="a", position=at(5), value=b"{}"),
        StoreChange(key="b", position=at(6)),
        StoreChange(key="c", position=at(7), is_omitted=True),
    )
    part = FeedPart(token=9, after=at(4), position=at(8), age_s=0.25, changes=kept)
    assert decode_feed_part(orjson.loads(encode_feed_part("entry-a", part))) == part
    binary = attrs.evolve(
        part, changes=(StoreChange(key="c", position=at(7), value=b"\xff"),)
    )
    decoded = decode_feed_part(orjson.loads(encode_feed_part("entry-a", binary)))
    assert decoded.changes == kept[2:]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b'{"feed": "a"}',
        b'{"feed": "a", "ask": [1]}',
        b'{"feed": "a", "part": [1, 2, 3, "old", false, []]}',
        b'{"feed": "a", "part": [1, 2, 3, 0.1, false, [["key"]]]}',
        b"{}",
        b'{"entry": "a", "crashes": [["s"]], "refuted": [], "runs": []}',
        b'{"entry": "a", "crashes": [["s", "p", 9]], "refuted": [], "runs": []}',
        b'{"entry": "a", "crashes": [], "refuted": [], "runs": [["x", "p", [], 0]]}',
        b"[1, []]",
        b'["a", [["z", 7, "up-1"]]]',
        b'["a", [["s"]]]',
        b'["a", 3]',
        b'["a", [], false]',
        b'["a", [], true, true]',
        b'{"entry": "a", "rates": {"up-1@0": "fast"}}',
        b'{"entry": "a", "rates": []}',
        b"\xff",
    ],
)
async def test_malformed_datagram_is_counted(data):
    """A malformed datagram is counted and changes no load."""
    exchange, node = make_exchange("entry-b")
    exchange.datagram_received(data, ("127.0.0.1", 9))
    assert exchange.malformed_datagrams == 1
    assert node.fleet.get("up-1").running(0.0) == 0
    await exchange.async_unload()


def make_exchange(name, zone="zone-a"):
    """Return a loopback exchange and its node, which lists one upstream."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(("127.0.0.1", 0))
    host, port = bound.getsockname()
    identity = RelayIdentity(
        name=name, zone=zone, incarnation="1", address=f"{host}:{port}"
    )
    node = RelayNode(identity, RelayLimits())
    upstream = Upstream(
        upstream_id="up-1",
        service="drafts",
        address="10.0.0.1:80",
        zone="zone-a",
        version="v1",
        slots=64,
    )
    node.apply(changes.UpstreamListed(upstream=upstream), 0.0)
    return PeerExchange(node, lambda: 0.0, bound), node


@pytest.fixture
async def exchanges():
    """Yield two exchanges that know each other, with their nodes."""
    made = [make_exchange(name) for name in ("entry-a", "entry-b")]
    (_, first_node), (_, second_node) = made
    for node, other in ((first_node, second_node), (second_node, first_node)):
        node.apply(changes.EntryReported(record=other.entry_record(0.0)), 0.0)
    for exchange, _ in made:
        await exchange.async_setup()
    yield made
    for exchange, _ in made:
        await exchange.async_unload()


async def test_notices_reach_the_other_entry(exchanges):
    """A request sent by one entry counts as load at the other."""
    (first, first_node), (_, second_node) = exchanges
    first_node.attempts._queue_notice(NOTICES[0], 0.0)
    await first.async_send()
    state = second_node.fleet.get("up-1")
    assert await async_wait_until(lambda: state.running(0.0) == 1, 5.0)
    assert state.queue.waiting_ms(0.0) == 400


async def test_notices_cross_between_zones_once(monkeypatch):
    """Each entry of another zone counts a request that one of them was told of."""
    made = [make_exchange("entry-0"), make_exchange("entry-1")]
    made += [make_exchange(f"entry-{n}", "zone-b") for n in range(2, 6)]
    nodes = [node for _, node in made]
    for node, other in itertools.permutations(nodes, 2):
        node.apply(changes.EntryReported(record=other.entry_record(0.0)), 0.0)
    for exchange, _ in made:
        await exchange.async_setup()
    sender = made[0][0]
    sent_to = []
    send_to = sender._send_to
    monkeypatch.setattr(
        sender, "_send_to", lambda to, data: sent_to.append(to) or send_to(to, data)
    )
    relays = set()
    for number in range(4):
        notice = attrs.evolve(NOTICES[0], attempt=number)
        nodes[0].attempts._queue_notice(notice, 0.0)
        sent_to.clear()
        await sender.async_send()
        states = [node.fleet.get("up-1") for node in nodes[1:]]
        assert await async_wait_until(
            lambda states=states, count=number + 1: (
                [state.running(0.0) for state in states] == [count] * 5
            ),
            5.0,
        )
        assert len(sent_to) == 2
        relays.update(set(sent_to) - {nodes[1].identity.address})
    assert relays == {node.identity.address for node in nodes[2:]}
    for exchange, _ in made:
        await exchange.async_unload()


async def test_named_rate_limits_reach_the_other_entry(exchanges):
    """A limit that one entry has read, and its end, hold at the other."""
    (first, first_node), (_, second_node) = exchanges
    for rate in (1.5, None):
        hints = UpstreamHints(rate_limit=rate)
        first_node.rates.record_hints("up-1@0", hints, 1.0, 1.0)
        expected = {} if rate is None else {"up-1@0": rate}
        await first.async_send()
        assert await async_wait_until(
            lambda expected=expected: second_node.rates.named == expected, 5.0
        )


async def test_crashes_reach_the_other_entry_without_the_store(exchanges):
    """A crash seen by one entry, and its suspects' runs, count at the other."""
    (first, first_node), (_, second_node) = exchanges
    for number in range(30):
        crash = Crash(suspect=f"r{number}", process="up-1@0")
        first_node.quarantine.record_crash(crash, 0.0)
    first_node.isolation.begin("key", "up-2@0", {"r1"}, 0.0, is_alone=True)
    await first.async_send()
    totals = second_node.quarantine.totals
    assert await async_wait_until(
        lambda: len(second_node.quarantine.totals) == 30, 5.0
    ), totals
    assert second_node.isolation.processes == {"up-2@0"}
    assert second_node.fleet.get("up-1").has_ended(0.0)


async def test_crash_with_many_suspects_floods_the_other_entries(exchanges):
    """Thousands of suspects are sent in few datagrams, and in several steps."""
    (first, first_node), (_, second_node) = exchanges
    quarantine = first_node.quarantine
    suspects = [f"part:{number:x}" for number in range(2_290)]
    quarantine.record_crashes(
        [Crash(suspect=suspect, process="up-1@0") for suspect in suspects], 0.0
    )
    sent = []
    send = first._send
    first._send = lambda data: sent.append(data) or send(data)
    await first.async_send()
    assert len(sent) <= MAX_SUSPECT_DATAGRAMS_AT_ONCE
    for _ in range(4):
        await first.async_send()
    assert max(map(len, sent)) < 1_500
    assert len(sent) < len(suspects) / 50
    assert await async_wait_until(
        lambda: second_node.quarantine.suspect_count == len(suspects), 5.0
    )
    # Two crashes of a suspect make its refutations matter to the other entries.
    for process in ("up-2@0", "up-3@0"):
        quarantine.record_crashes(
            [Crash(suspect=suspect, process=process) for suspect in suspects], 0.0
        )
    quarantine.record_completed(frozenset(suspects), 1.0)
    for _ in range(12):
        await first.async_send()
    assert await async_wait_until(
        lambda: second_node.quarantine.suspect_count == 0, 5.0
    )
