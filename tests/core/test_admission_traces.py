"""Replays recorded traces of sidecar admission, checking each outcome."""

import json
from pathlib import Path

import pytest

from cardamomnotch_core.admission.limiter import ConcurrencyLimiter
from cardamomnotch_core.admission.models import LimiterSettings
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_core.nodes.sidecar_node import SidecarNode
from cardamomnotch_protocol.result_codes import ResultCode

from tests.core.admission_messages import (
    CONFIGURATION_RECORD,
    SIDECAR_IDENTITY,
    attempt,
)

_TRACES = sorted((Path(__file__).parents[1] / "traces" / "gate").glob("*.json"))


class _Replay:
    """Replays a trace on a sidecar node.

    A name in the trace stands for an attempt and is its fingerprint too.
    """

    def __init__(self, trace):
        settings = LimiterSettings(**trace["limiter"])
        self._node = SidecarNode(
            SIDECAR_IDENTITY, ConcurrencyLimiter(settings=settings)
        )
        self._node.handle(
            events.ConfigurationOffered(record=CONFIGURATION_RECORD, source="trace"),
            0.0,
        )
        self._attempt_ids = {}

    def step(self, item):
        """Replay one event of the trace and check its outcome."""
        for kind in ("report", "unreachable", "arrive", "broke", "end"):
            if kind in item:
                getattr(self, f"_{kind}")(item, item["at_s"])

    def _report(self, item, now_s):
        event = events.UpstreamReported(
            start_id=item["report"], versions=("drafter/v1",)
        )
        self._node.handle(event, now_s)

    def _unreachable(self, item, now_s):
        self._node.handle(events.UpstreamUnreachable(), now_s)

    def _arrive(self, item, now_s):
        accepted = []
        for name in item["arrive"]:
            attempt_id = f"{name}@{now_s}"
            co_suspects = tuple(f"crates:{one}" for one in item.get("suspect_with", ()))
            message = attempt(
                attempt_id,
                fingerprint=name,
                suspected_crashes=int(bool(co_suspects)),
                co_suspects=co_suspects,
            )
            action = self._node.handle(events.AttemptArrived(request=message), now_s)[0]
            if isinstance(action, actions.AcceptAttempt):
                self._attempt_ids[name] = attempt_id
                accepted.append(name)
            else:
                assert action.message.code is ResultCode[item["refused"]]
                assert action.message.retry_after_s > 0
        assert accepted == item["accepted"], item

    def _broke(self, item, now_s):
        for name in item["broke"]:
            event = events.UpstreamConnectionBroke(attempt_id=self._attempt_ids[name])
            self._node.handle(event, now_s)

    def _end(self, item, now_s):
        for name in item["end"]:
            resulting_actions = self._node.handle(
                events.UpstreamCallEnded(
                    attempt_id=self._attempt_ids[name],
                    code=ResultCode[item["code"]],
                    connection_lost=item.get("lost", False),
                ),
                now_s,
            )
            reported = [
                fingerprint
                for action in resulting_actions
                for fingerprint in action.co_suspects
            ]
            assert reported == [f"crates:{one}" for one in item.get("blamed", ())]


@pytest.mark.parametrize("path", _TRACES, ids=lambda path: path.stem)
def test_trace_gives_expected_outcomes(path):
    """Each event of the trace has the outcome that the trace states."""
    trace = json.loads(path.read_text(encoding="utf-8"))
    replay = _Replay(trace)
    for item in trace["events"]:
        replay.step(item)
