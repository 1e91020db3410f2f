"""Load shedding and fair shares while the upstreams are overloaded."""

import random
from collections import Counter, deque

import attrs
import pytest

from cardamomnotch_core.attempts.entry_table import CallerRequest
from cardamomnotch_core.configuration.models import (
    ConfigurationRecord,
    RequestClass,
    Workspace,
)
from cardamomnotch_core.membership.models import Vm
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_core.nodes.entry_node import EntryNode
from cardamomnotch_core.nodes.identity import EntryIdentity
from cardamomnotch_protocol.models import HeartbeatReply, Load, Usage
from cardamomnotch_protocol.result_codes import ResultCode

from tests.fixtures.routing_harness import HOME_ZONE, small_configuration

_CLASSES = ("first", "second", "third")
_WORKSPACES = ("large-a", "large-b", "small-a", "small-b")


@pytest.fixture
def node():
    """Return an entry with one engine whose limit is 100 requests."""
    entry = EntryNode(
        EntryIdentity(vm_id="entry-0", zone=HOME_ZONE, inner_address="10.0.0.9:1"),
        random.Random(1),
    )
    configuration = small_configuration(
        classes=tuple(
            RequestClass(name=name, priority=index)
            for index, name in enumerate(_CLASSES)
        ),
        workspaces=tuple(
            Workspace(name=name, plan="member", key_digests=(name,))
            for name in _WORKSPACES
        ),
    )
    configuration = attrs.evolve(
        configuration, models=_without_quality(configuration.models)
    )
    record = ConfigurationRecord(revision=1, change_id="c", configuration=configuration)
    entry.handle(events.ConfigurationOffered(record=record, source="test"), 0.0)
    vm = Vm(vm_id="e", address="10.0.0.1:1", zone=HOME_ZONE, role="upstream")
    entry.handle(events.VmListReceived(vms=(vm,)), 0.0)
    _report_load(entry, 0)
    return entry


def _without_quality(models):
    return tuple(
        attrs.evolve(
            model,
            versions=tuple(attrs.evolve(item, quality={}) for item in model.versions),
        )
        for model in models
    )


def _report_load(node, in_flight, now_s=0.0):
    reply = HeartbeatReply(
        vm_id="e",
        zone=HOME_ZONE,
        incarnation="i",
        revision=1,
        accepting=True,
        versions=("drafter/v1",),
        load=Load(in_flight=in_flight, limit=100),
    )
    node.handle(events.HeartbeatAnswered(vm_id="e", reply=reply), now_s)


def _send(node, request_id, now_s, workspace="small-a", request_class="first"):
    request = CallerRequest(
        request_id=request_id,
        key_digest=workspace,
        model="auto",
        request_class=request_class,
    )
    return node.handle(events.RequestArrived(request=request), now_s)[-1]


@pytest.mark.parametrize(
    ("in_flight", "admitted"),
    [
        pytest.param(50, {"first", "second", "third"}, id="half"),
        pytest.param(88, {"first", "second"}, id="overloaded"),
        pytest.param(95, {"first"}, id="nearly full"),
        pytest.param(100, {"first"}, id="full, left to sidecars"),
    ],
)
def test_lowest_class_is_shed_first(node, in_flight, admitted):
    """As load rises, classes are shed from the lowest, with a retry time."""
    _report_load(node, in_flight, 10.0)
    results = {name: _send(node, name, 10.0, request_class=name) for name in _CLASSES}
    for name, action in results.items():
        if name in admitted:
            assert isinstance(action, actions.StartAttempt)
            continue
        assert action.code is ResultCode.OVERLOADED
        assert action.not_run
        assert action.retry_after_s >= 1


def _complete(node, request_id, now_s):
    node.handle(
        events.AttemptEnded(
            request_id=request_id,
            attempt_id=f"{request_id}-1",
            code=ResultCode.OK,
        ),
        now_s,
    )


def test_large_workspaces_do_not_starve_small_ones(node):
    """Under overload, only workspaces over their fair share are refused.

    In each round the engine completes 6 requests, two large workspaces send 8
    requests together, and two small ones send 2.
    """
    running_ids = deque()
    refused = Counter()
    for index in range(100):
        now_s = index * 0.2
        senders = ["large-a", "large-b"] * 4 + ["small-a", "small-b"]
        for number, workspace in enumerate(senders):
            request_id = f"{workspace}-{index}-{number}"
            action = _send(node, request_id, now_s, workspace)
            if isinstance(action, actions.StartAttempt):
                running_ids.append(request_id)
            else:
                refused[workspace] += 1
        for _ in range(min(6, len(running_ids))):
            _complete(node, running_ids.popleft(), now_s)
        _report_load(node, len(running_ids), now_s)
    assert refused["large-a"] > 0
    assert refused["small-a"] + refused["small-b"] == 0
    assert len(running_ids) <= 100


def test_ended_requests_are_no_longer_counted(node):
    """A request stops counting however it ends."""
    for index in range(3):
        _send(node, f"r{index}", 0.0)
    attempt = {"request_id": "r0", "attempt_id": "r0-1"}
    node.handle(events.CallerDisconnected(request_id="r1"), 0.0)
    node.handle(
        events.AttemptRejected(
            request_id="r2", attempt_id="r2-1", code=ResultCode.REQUEST_QUARANTINED
        ),
        0.0,
    )
    assert node.diagnostics()["capacity"]["in_flight"] == {"small-a": 1}
    node.handle(events.AttemptEnded(**attempt, code=ResultCode.OK, usage=Usage()), 0.0)
    assert node.diagnostics()["capacity"]["in_flight"] == {}


def test_own_attempts_count_as_load_at_once(node):
    """An entry counts its own attempts between two load reports.

    Otherwise a burst in between would exceed the engine's limit.
    """
    admitted = [
        isinstance(
            _send(node, f"r{index}", index * 0.01, request_class="third"),
            actions.StartAttempt,
        )
        for index in range(150)
    ]
    assert sum(admitted) <= 100
