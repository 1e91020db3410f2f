"""Tests of an entry's upstream table and a sidecar's entry table."""

import itertools

import attrs
import pytest

from cardamomnotch_core.membership.entries import EntryTable
from cardamomnotch_core.membership.models import Vm
from cardamomnotch_core.membership.states import (
    TRANSITIONS,
    MemberSignal,
    MemberState,
)
from cardamomnotch_core.membership.table import UpstreamTable
from cardamomnotch_protocol.models import HeartbeatReply, Load

_VM = Vm(vm_id="u", address="10.0.0.1:1", zone="a", role="upstream")
_REPLY = HeartbeatReply(
    vm_id="u", zone="a", incarnation="i", revision=1, accepting=True
)
_STEP_S = 0.2
_STEP_COUNT = 500
_MAX_HEARTBEATS_PER_S = 19
_MAX_JITTER_SHARE = 0.2


@pytest.fixture
def table():
    """Return a table with one live upstream, which responded at 10 s."""
    upstreams = UpstreamTable("entry-0", "a")
    upstreams.update_from_vm_list([_VM])
    upstreams.record_heartbeat_reply("u", _REPLY, 10.0)
    return upstreams


def test_every_state_has_a_transition_for_every_signal():
    """TRANSITIONS has an entry for each pair of state and signal."""
    assert set(TRANSITIONS) == set(itertools.product(MemberState, MemberSignal))


@pytest.mark.parametrize(
    ("steps", "state", "usable"),
    [
        pytest.param((), MemberState.LIVE, True, id="answers"),
        pytest.param(("fail",), MemberState.SUSPECT, False, id="does not answer"),
        pytest.param(("fail", "answer"), MemberState.LIVE, True, id="answers again"),
        pytest.param(("leave",), MemberState.LEAVING, False, id="leaving"),
        pytest.param(
            ("leave", "answer"), MemberState.LEAVING, False, id="leaving but answers"
        ),
        pytest.param(("leave", "list"), MemberState.JOINING, False, id="listed again"),
        pytest.param(
            ("leave", "list", "answer"),
            MemberState.LIVE,
            True,
            id="listed again and answers",
        ),
        pytest.param(("move",), MemberState.JOINING, False, id="address changed"),
        pytest.param(("refuse",), MemberState.LIVE, False, id="not accepting"),
        pytest.param(("other",), MemberState.LIVE, True, id="other VM answers"),
        pytest.param(("expire",), MemberState.SUSPECT, False, id="unresponsive"),
    ],
)
def test_state_follows_from_vm_list_and_replies(table, steps, state, usable):
    """VM lists, replies and missing replies lead to the expected state."""
    actions = {
        "fail": lambda: table.mark_unreachable("u"),
        "answer": lambda: table.record_heartbeat_reply("u", _REPLY, 11.0),
        "refuse": lambda: table.record_heartbeat_reply(
            "u", attrs.evolve(_REPLY, accepting=False), 11.0
        ),
        "other": lambda: table.record_heartbeat_reply(
            "u", attrs.evolve(_REPLY, vm_id="x", accepting=False), 11.0
        ),
        "leave": lambda: table.update_from_vm_list([attrs.evolve(_VM, leaving=True)]),
        "list": lambda: table.update_from_vm_list([_VM]),
        "move": lambda: table.update_from_vm_list(
            [attrs.evolve(_VM, address="10.0.0.2:1")]
        ),
        "expire": lambda: table.expire(14.0),
    }
    for step in steps:
        actions[step]()
    assert table.get("u").state is state
    assert bool(table.usable(11.0)) is usable


def test_reply_that_waited_through_a_pause_does_not_count(table):
    """A reply counts as of when the heartbeat was sent, not read."""
    table.record_heartbeat_reply("u", _REPLY, 100.0, asked_at_s=12.0)
    assert not table.usable(100.0)


def test_reply_to_an_older_heartbeat_is_ignored(table):
    """A late reply of an old incarnation does not replace a newer one."""
    newer = attrs.evolve(_REPLY, incarnation="j")
    table.record_heartbeat_reply("u", newer, 12.0, asked_at_s=12.0)
    table.record_heartbeat_reply("u", _REPLY, 12.5, asked_at_s=11.0)
    assert table.get("u").incarnation == "j"


@pytest.mark.parametrize(
    ("load_at_s", "revision", "now_s", "due"),
    [
        pytest.param(None, 1, 10.5, False, id="reply just received"),
        pytest.param(None, 1, 11.0, True, id="nothing received"),
        pytest.param(10.9, 1, 11.0, False, id="attempt response replaces heartbeat"),
        pytest.param(10.9, 2, 11.0, True, id="older revision"),
        pytest.param(14.9, 1, 15.0, True, id="no heartbeat for too long"),
    ],
)
def test_heartbeats_are_sent_only_if_needed(table, load_at_s, revision, now_s, due):
    """Recent responses to attempts replace heartbeats for a limited time."""
    if load_at_s is not None:
        table.record_load("u", Load(), load_at_s)
    assert bool(table.heartbeats_due(revision, now_s)) is due


def test_heartbeat_interval_depends_on_the_number_of_entries():
    """The interval grows with the number of entries, and shrinks again."""
    entries = EntryTable()
    for index in range(200):
        entries.record_heartbeat(f"entry-{index}", 0.0)
    assert entries.heartbeat_after_s == 10.0
    entries.expire(1000.0)
    assert entries.heartbeat_after_s == 1.0


@pytest.mark.parametrize("count", [1, 12, 60, 364])
def test_heartbeat_rate_of_an_entry_is_limited(count):
    """An entry uses at most 19 KB/s for heartbeats to all its upstreams.

    A heartbeat with its reply takes about 1 KB, HTTP included.
    """
    vm_ids = [f"u-{number}" for number in range(count)]
    upstreams = UpstreamTable("entry-0", "a")
    upstreams.update_from_vm_list([attrs.evolve(_VM, vm_id=vm_id) for vm_id in vm_ids])
    used_ids = [upstream.vm_id for upstream in upstreams.upstreams]
    sent = 0
    for vm_id in used_ids:
        upstreams.record_heartbeat_reply(vm_id, attrs.evolve(_REPLY, vm_id=vm_id), 0.0)
    for step in range(1, _STEP_COUNT + 1):
        now_s = step * _STEP_S
        for upstream in upstreams.heartbeats_due(1, now_s):
            reply = attrs.evolve(_REPLY, vm_id=upstream.vm_id)
            upstreams.record_heartbeat_reply(upstream.vm_id, reply, now_s)
            sent += 1
        assert len(upstreams.usable(now_s)) == len(used_ids)
    assert sent / (_STEP_COUNT * _STEP_S) <= _MAX_HEARTBEATS_PER_S


def test_failed_heartbeats_are_not_repeated_faster_than_answered_ones(table):
    """The interval also applies after a heartbeat that was not answered."""
    sent = 0
    for step in range(1, _STEP_COUNT + 1):
        now_s = 10.0 + step * _STEP_S
        for upstream in table.heartbeats_due(1, now_s):
            table.record_heartbeat_failure(upstream.vm_id, now_s)
            sent += 1
    assert sent <= _STEP_COUNT * _STEP_S / (1 - _MAX_JITTER_SHARE)
    table.record_heartbeat_reply("u", _REPLY, now_s)
    assert table.usable(now_s)
