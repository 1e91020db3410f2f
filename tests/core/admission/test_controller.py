"""What the gate refuses, and when it tells callers to come back."""

import pytest

from cardamomnotch_core.admission.limiter import ConcurrencyLimiter
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_core.nodes.sidecar_node import SidecarNode
from cardamomnotch_protocol.result_codes import ResultCode

from tests.core.gate_messages import IDENTITY, RECORD, attempt


@pytest.fixture
def node():
    """Return a sidecar's node before an engine that is up."""
    node = SidecarNode(IDENTITY, ConcurrencyLimiter(limit=4))
    node.handle(events.ConfigurationOffered(record=RECORD, source="test"), 0.0)
    report = events.UpstreamReported(start_id="start-1", versions=("drafter/v1",))
    node.handle(report, 0.0)
    return node


def _arrive(node, attempt_id, now_s, **changes):
    message = attempt(attempt_id, **changes)
    return node.handle(events.AttemptArrived(request=message), now_s)[0]


def test_retry_after_of_the_engine_is_honoured(node):
    """Nothing is sent until the time that the engine asked for."""
    _arrive(node, "first", 1.0)
    busy = events.UpstreamCallEnded(
        attempt_id="first", code=ResultCode.UPSTREAM_FULL, retry_after_s=3.0
    )
    node.handle(busy, 2.0)
    refused = _arrive(node, "second", 4.0)
    assert refused.message.code is ResultCode.UPSTREAM_FULL
    assert refused.message.retry_after_s == pytest.approx(1.0)
    assert isinstance(_arrive(node, "third", 5.1), actions.AcceptAttempt)


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        pytest.param(
            {"incarnation": "before"}, ResultCode.INCARNATION_MISMATCH, id="other start"
        ),
        pytest.param({"timeout_ms": 0}, ResultCode.DEADLINE_PASSED, id="deadline"),
        pytest.param({"version": "v9"}, ResultCode.UNKNOWN_MODEL, id="version"),
    ],
)
def test_refusals_name_their_reason(node, changes, code):
    """A refusal has a number and a time to come back."""
    refused = _arrive(node, "first", 1.0, **changes)
    assert isinstance(refused, actions.RefuseAttempt)
    assert refused.message.code is code
    assert refused.message.retry_after_s > 0
