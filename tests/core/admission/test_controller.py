"""Admission of attempts by a sidecar, and the retry delay of refusals."""

import pytest

from cardamomnotch_core.admission.limiter import ConcurrencyLimiter
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_core.nodes.sidecar_node import SidecarNode
from cardamomnotch_protocol.result_codes import ResultCode

from tests.core.admission_messages import (
    CONFIGURATION_RECORD,
    SIDECAR_IDENTITY,
    attempt,
)


@pytest.fixture
def node():
    """Return a sidecar node whose engine is up."""
    node = SidecarNode(SIDECAR_IDENTITY, ConcurrencyLimiter(limit=4))
    node.handle(
        events.ConfigurationOffered(record=CONFIGURATION_RECORD, source="test"), 0.0
    )
    report = events.UpstreamReported(start_id="start-1", versions=("drafter/v1",))
    node.handle(report, 0.0)
    return node


def _send_attempt(node, attempt_id, now_s, **changes):
    message = attempt(attempt_id, **changes)
    return node.handle(events.AttemptArrived(request=message), now_s)[0]


def test_retry_after_of_the_engine_is_observed(node):
    """No attempt is sent before the engine's retry delay has passed."""
    _send_attempt(node, "first", 1.0)
    busy = events.UpstreamCallEnded(
        attempt_id="first", code=ResultCode.UPSTREAM_FULL, retry_after_s=3.0
    )
    node.handle(busy, 2.0)
    refused = _send_attempt(node, "second", 4.0)
    assert refused.message.code is ResultCode.UPSTREAM_FULL
    assert refused.message.retry_after_s == pytest.approx(1.0)
    assert isinstance(_send_attempt(node, "third", 5.1), actions.AcceptAttempt)


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        pytest.param(
            {"incarnation": "before"},
            ResultCode.INCARNATION_MISMATCH,
            id="other incarnation",
        ),
        pytest.param(
            {"timeout_ms": 0}, ResultCode.DEADLINE_PASSED, id="deadline passed"
        ),
        pytest.param({"version": "v9"}, ResultCode.UNKNOWN_MODEL, id="unknown version"),
    ],
)
def test_refusals_have_a_result_code(node, changes, code):
    """A refusal has a result code and a retry delay."""
    refused = _send_attempt(node, "first", 1.0, **changes)
    assert isinstance(refused, actions.RefuseAttempt)
    assert refused.message.code is code
    assert refused.message.retry_after_s > 0
