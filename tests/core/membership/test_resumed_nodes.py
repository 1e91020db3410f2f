"""Tests that nodes confirm their configuration after a pause."""

import random

import pytest

from cardamomnotch_core.admission.limiter import ConcurrencyLimiter
from cardamomnotch_core.attempts.entry_table import CallerRequest
from cardamomnotch_core.configuration.models import (
    Configuration,
    ConfigurationRecord,
    Model,
    Plan,
    PlanModel,
    Version,
    Workspace,
)
from cardamomnotch_core.membership.models import Vm
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_core.nodes.entry_node import EntryNode
from cardamomnotch_core.nodes.identity import EntryIdentity, SidecarIdentity
from cardamomnotch_core.nodes.sidecar_node import SidecarNode
from cardamomnotch_protocol.models import AttemptRequest
from cardamomnotch_protocol.result_codes import ResultCode

_CONFIGURATION = Configuration(
    models=(Model(name="m", versions=(Version(name="v", cost_per_1k_tokens=1.0),)),),
    plans=(Plan(name="p", models=(PlanModel(model="m"),)),),
    workspaces=(Workspace(name="w", plan="p", key_digests=("d",)),),
)
_CONFIGURATION_OFFERED = events.ConfigurationOffered(
    record=ConfigurationRecord(revision=1, change_id="c", configuration=_CONFIGURATION),
    source="the store",
)
_ATTEMPT = AttemptRequest(
    attempt_id="a-1",
    request_id="a",
    request_key="w:a",
    workspace="w",
    incarnation="i",
    revision=1,
    timeout_ms=1000,
    entry_address="10.0.0.9:1",
    model="m",
    version="v",
)
_PEER = Vm(vm_id="entry-1", address="10.0.0.9:1", zone="a", role="entry")
_REQUEST_ARRIVED = events.RequestArrived(
    request=CallerRequest(request_id="r", key_digest="d", model="m")
)


@pytest.fixture
def sidecar():
    """Return a sidecar whose last timer event was at 1 s."""
    node = SidecarNode(
        SidecarIdentity(vm_id="u", zone="a", incarnation="i"),
        ConcurrencyLimiter(limit=2),
    )
    node.handle(_CONFIGURATION_OFFERED, 0.0)
    node.handle(events.UpstreamReported(start_id="s", versions=("m/v",)), 0.0)
    node.handle(events.TimerDue(), 1.0)
    return node


@pytest.fixture
def entry():
    """Return an entry with one peer, whose last timer event was at 1 s."""
    node = EntryNode(
        EntryIdentity(vm_id="entry-0", zone="a", inner_address="10.0.0.8:1"),
        random.Random(1),
    )
    node.handle(_CONFIGURATION_OFFERED, 0.0)
    node.handle(events.VmListReceived(vms=(_PEER,)), 0.0)
    node.handle(_peer_revision_received(0.0), 0.0)
    node.handle(events.TimerDue(), 1.0)
    return node


def _peer_revision_received(asked_at_s):
    return events.PeerRevisionReceived(
        vm_id="entry-1", address=_PEER.address, revision=1, asked_at_s=asked_at_s
    )


def _handle_attempt(node, now_s, *, fetch_attempted=False):
    event = events.AttemptArrived(request=_ATTEMPT, fetch_attempted=fetch_attempted)
    return node.handle(event, now_s)[0]


@pytest.mark.parametrize("timer_first", [True, False], ids=["timer", "attempt"])
def test_resumed_sidecar_confirms_its_revision_first(sidecar, timer_first):
    """A resumed sidecar asks the entry before it accepts an attempt."""
    if timer_first:
        sidecar.handle(events.TimerDue(), 60.0)
    assert isinstance(_handle_attempt(sidecar, 60.0), actions.FetchConfiguration)
    confirmed = events.ConfigurationConfirmed(
        revision=1, source="entry", asked_at_s=60.0
    )
    sidecar.handle(confirmed, 60.1)
    assert isinstance(
        _handle_attempt(sidecar, 60.1, fetch_attempted=True), actions.AcceptAttempt
    )


def test_resumed_sidecar_refuses_without_a_confirmation(sidecar):
    """Without an answer from the entry the attempt is refused, not run."""
    sidecar.handle(events.TimerDue(), 60.0)
    action = _handle_attempt(sidecar, 60.1, fetch_attempted=True)
    assert isinstance(action, actions.RefuseAttempt)
    assert action.message.code is ResultCode.REVISION_BEHIND


def _refusal_code(node, now_s):
    action = node.handle(_REQUEST_ARRIVED, now_s)[0]
    assert isinstance(action, actions.RefuseRequest)
    return action.code


def test_resumed_entry_serves_once_its_revision_is_confirmed(entry):
    """Requests are refused until a peer responds to a later request."""
    assert _refusal_code(entry, 60.0) is ResultCode.NOT_READY
    requested = entry.handle(events.TimerDue(), 60.0)
    assert any(isinstance(action, actions.ExchangeRevision) for action in requested)
    assert any(isinstance(action, actions.RefreshConfiguration) for action in requested)
    entry.handle(_peer_revision_received(1.0), 60.1)
    assert not entry.is_ready
    assert _refusal_code(entry, 60.1) is ResultCode.NOT_READY
    entry.handle(_peer_revision_received(60.0), 60.2)
    assert entry.is_ready
    assert _refusal_code(entry, 60.2) is ResultCode.NO_UPSTREAM
