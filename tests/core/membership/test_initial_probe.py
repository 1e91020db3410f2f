"""Tests of the readiness of an entry that starts."""

import random

import pytest

from cardamomnotch_core.configuration.models import Configuration, ConfigurationRecord
from cardamomnotch_core.membership.models import Vm
from cardamomnotch_core.nodes import events
from cardamomnotch_core.nodes.entry_node import EntryNode
from cardamomnotch_core.nodes.identity import EntryIdentity
from cardamomnotch_protocol.models import HeartbeatReply

_UPSTREAMS = tuple(
    Vm(vm_id=vm_id, address=f"10.0.0.{number}:1", zone="a", role="upstream")
    for number, vm_id in enumerate(("engine-0", "engine-1"), start=1)
)


@pytest.fixture
def entry():
    """Return an entry that has a configuration, but no VM list yet."""
    node = EntryNode(
        EntryIdentity(vm_id="entry-0", zone="a", inner_address="10.0.0.8:1"),
        random.Random(1),
    )
    record = ConfigurationRecord(
        revision=1, change_id="c", configuration=Configuration()
    )
    node.handle(events.ConfigurationOffered(record=record, source="the store"), 0.0)
    return node


def _heartbeat_answered(vm_id: str) -> events.HeartbeatAnswered:
    reply = HeartbeatReply(
        vm_id=vm_id, zone="a", incarnation="i", revision=1, accepting=True
    )
    return events.HeartbeatAnswered(vm_id=vm_id, reply=reply)


def test_entry_is_ready_when_every_upstream_was_probed(entry):
    """Each upstream must have answered or failed a heartbeat."""
    assert not entry.is_ready
    entry.handle(events.VmListReceived(vms=_UPSTREAMS), 0.0)
    assert not entry.is_ready
    entry.handle(_heartbeat_answered("engine-0"), 0.1)
    assert not entry.is_ready
    entry.handle(events.HeartbeatFailed(vm_id="engine-1"), 0.1)
    assert entry.is_ready


def test_upstreams_that_join_later_leave_the_entry_ready(entry):
    """An entry without upstreams is ready, and stays so when some join."""
    entry.handle(events.VmListReceived(vms=()), 0.0)
    assert entry.is_ready
    entry.handle(events.VmListReceived(vms=_UPSTREAMS), 1.0)
    assert entry.is_ready
