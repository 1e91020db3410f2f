"""What an entry believes of upstreams."""

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
_WATCHED_STEPS = 500
_MOST_HEARTBEATS_PER_S = 19
_MOST_EARLY_SHARE = 0.2


@pytest.fixture
def table():
    """Return a table with one live upstream, heard of at 10 s."""
    upstreams = UpstreamTable("entry-0", "a")
    upstreams.take_vm_list([_VM])
    upstreams.take_heartbeat("u", _REPLY, 10.0)
    return upstreams


def test_every_state_answers_every_signal():
    """The state table has no gap."""
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
        pytest.param(("leave", "list"), MemberState.JOINING, False, id="back in list"),
        pytest.param(
            ("leave", "list", "answer"), MemberState.LIVE, True, id="back and answers"
        ),
        pytest.param(("move",), MemberState.JOINING, False, id="address changed"),
        pytest.param(("refuse",), MemberState.LIVE, False, id="not accepting"),
        pytest.param(("other",), MemberState.LIVE, True, id="other VM answers"),
        pytest.param(("silence",), MemberState.SUSPECT, False, id="silent"),
    ],
)
def test_state_follows_from_what_is_heard(table, steps, state, usable):
    """List, answers and silence move an upstream through its states."""
    actions = {
        "fail": lambda: table.mark_unreachable("u"),
        "answer": lambda: table.take_heartbeat("u", _REPLY, 11.0),
        "refuse": lambda: table.take_heartbeat(
            "u", attrs.evolve(_REPLY, accepting=False), 11.0
        ),
        "other": lambda: table.take_heartbeat(
            "u", attrs.evolve(_REPLY, vm_id="x", accepting=False), 11.0
        ),
        "leave": lambda: table.take_vm_list([attrs.evolve(_VM, leaving=True)]),
        "list": lambda: table.take_vm_list([_VM]),
        "move": lambda: table.take_vm_list([attrs.evolve(_VM, address="10.0.0.2:1")]),
        "silence": lambda: table.expire(14.0),
    }
    for step in steps:
        actions[step]()
    assert table.get("u").state is state
    assert bool(table.usable(11.0)) is usable


def test_answer_that_waited_through_a_pause_proves_nothing(table):
    """An answer counts from when it was asked for, not when it was read."""
    table.take_heartbeat("u", _REPLY, 100.0, asked_at_s=12.0)
    assert not table.usable(100.0)


def test_overtaken_answer_is_left_out(table):
    """A late answer of a former incarnation does not replace the newer one."""
    newer = attrs.evolve(_REPLY, incarnation="j")
    table.take_heartbeat("u", newer, 12.0, asked_at_s=12.0)
    table.take_heartbeat("u", _REPLY, 12.5, asked_at_s=11.0)
    assert table.get("u").incarnation == "j"


@pytest.mark.parametrize(
    ("load_at_s", "revision", "now_s", "due"),
    [
        pytest.param(None, 1, 10.5, False, id="heard just now"),
        pytest.param(None, 1, 11.0, True, id="nothing heard"),
        pytest.param(10.9, 1, 11.0, False, id="an answer stands in"),
        pytest.param(10.9, 2, 11.0, True, id="behind"),
        pytest.param(14.9, 1, 15.0, True, id="answers alone for long"),
    ],
)
def test_heartbeats_only_fill_gaps(table, load_at_s, revision, now_s, due):
    """A heartbeat goes out only if answers have not told enough."""
    if load_at_s is not None:
        table.take_load("u", Load(), load_at_s)
    assert bool(table.heartbeats_due(revision, now_s)) is due


def test_sidecar_of_many_entries_asks_for_fewer_heartbeats():
    """The time between heartbeats grows with the entries, and shrinks again."""
    entries = EntryTable()
    for index in range(200):
        entries.take(f"entry-{index}", 0.0)
    assert entries.heartbeat_after_s == 10.0
    entries.expire(1000.0)
    assert entries.heartbeat_after_s == 1.0


@pytest.mark.parametrize("count", [1, 12, 60, 364])
def test_heartbeats_of_an_entry_stay_within_its_share(count):
    """However many upstreams it has, an entry's control keeps to 19 KB/s.

    A heartbeat with its answer takes about 1 KB, HTTP included.
    """
    vm_ids = [f"u-{number}" for number in range(count)]
    upstreams = UpstreamTable("entry-0", "a")
    upstreams.take_vm_list([attrs.evolve(_VM, vm_id=vm_id) for vm_id in vm_ids])
    known = [item.vm_id for item in upstreams.upstreams]
    sent = 0
    for vm_id in known:
        upstreams.take_heartbeat(vm_id, attrs.evolve(_REPLY, vm_id=vm_id), 0.0)
    for step in range(1, _WATCHED_STEPS + 1):
        now_s = step * _STEP_S
        for upstream in upstreams.heartbeats_due(1, now_s):
            reply = attrs.evolve(_REPLY, vm_id=upstream.vm_id)
            upstreams.take_heartbeat(upstream.vm_id, reply, now_s)
            sent += 1
        assert len(upstreams.usable(now_s)) == len(known)
    assert sent / (_WATCHED_STEPS * _STEP_S) <= _MOST_HEARTBEATS_PER_S


def test_dead_upstream_is_asked_no_more_often_than_a_live_one(table):
    """A heartbeat without an answer counts against the interval as well."""
    asked = 0
    for step in range(1, _WATCHED_STEPS + 1):
        now_s = 10.0 + step * _STEP_S
        for upstream in table.heartbeats_due(1, now_s):
            table.take_failure(upstream.vm_id, now_s)
            asked += 1
    assert asked <= _WATCHED_STEPS * _STEP_S / (1 - _MOST_EARLY_SHARE)
    table.take_heartbeat("u", _REPLY, now_s)
    assert table.usable(now_s)
