"""Exchange of load notices between entries."""

import socket

import pytest

from cardamomnotch_core.relay import changes
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.models import PromptPart, Upstream
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.notices import LoadKind, LoadNotice
from cardamomnotch_entry.relay.peers import (
    PeerExchange,
    decode_notices,
    encode_notices,
)
from cardamomnotch_runtime.tasks import async_wait_until

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


def test_notices_round_trip():
    """Encoded notices are decoded to equal ones."""
    assert decode_notices(encode_notices("entry-a", NOTICES)) == ("entry-a", NOTICES)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{}",
        b"[1, []]",
        b'["a", [["z", 7, "up-1"]]]',
        b'["a", [["s"]]]',
        b'["a", 3]',
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


def make_exchange(name):
    """Return a loopback exchange and its node, which lists one upstream."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.bind(("127.0.0.1", 0))
    host, port = bound.getsockname()
    identity = RelayIdentity(
        name=name, zone="zone-a", incarnation="1", address=f"{host}:{port}"
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


async def test_notices_reach_the_other_entry():
    """A request sent by one entry counts as load at the other."""
    first, first_node = make_exchange("entry-a")
    second, second_node = make_exchange("entry-b")
    for node, other in ((first_node, second_node), (second_node, first_node)):
        node.apply(changes.EntryReported(record=other.entry_record(0.0)), 0.0)
    await first.async_setup()
    await second.async_setup()
    first_node.attempts._queue_notice(NOTICES[0], 0.0)
    await first.async_send()
    state = second_node.fleet.get("up-1")
    assert await async_wait_until(lambda: state.running(0.0) == 1, 5.0)
    assert state.queue.waiting_ms(0.0) == 400
    await first.async_unload()
    await second.async_unload()
