"""Whatever many entries send, a cold upstream sees no more than its limit."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from cardamomnotch_core.admission.limiter import ConcurrencyLimiter
from cardamomnotch_core.admission.models import LimiterSettings
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_core.nodes.sidecar_node import SidecarNode
from cardamomnotch_protocol.result_codes import ResultCode

from tests.core.gate_messages import IDENTITY, RECORD, attempt

_COLD_LIMIT = 2
_WARM_UP = 5
_FAILURES = (ResultCode.UPSTREAM_FULL, ResultCode.UPSTREAM_FAILED)


class GateMachine(RuleBasedStateMachine):
    """Entries, a lagging report and restarts in any order.

    The upstream's own record: what it runs since its start, and how much it
    has completed since then.
    """

    def __init__(self):
        super().__init__()
        settings = LimiterSettings(
            max_limit=12, cold_limit=_COLD_LIMIT, warm_up_completions=_WARM_UP
        )
        self.node = SidecarNode(IDENTITY, ConcurrencyLimiter(settings=settings))
        self.now_s = 0.0
        self.sent = 0
        self.start = 1
        self.running: list[str] = []
        self.completed = 0
        self.most_cold = 0

    def _handle(self, event):
        self.now_s += 0.01
        return self.node.handle(event, self.now_s)

    def _report(self):
        self._handle(
            events.UpstreamReported(
                start_id=f"start-{self.start}", versions=("drafter/v1",)
            )
        )

    @initialize()
    def begin(self):
        """Put the lists in force and report once."""
        self._handle(events.ConfigurationOffered(record=RECORD, source="test"))
        self._report()

    @rule(count=st.integers(1, 8), priority=st.integers(0, 1))
    def burst(self, count, priority):
        """Send attempts from many entries at once."""
        for _ in range(count):
            self.sent += 1
            message = attempt(f"attempt-{self.sent}", priority=priority)
            result = self._handle(events.AttemptArrived(request=message))
            if isinstance(result[0], actions.AcceptAttempt):
                self.running.append(message.attempt_id)
        if self.completed < _WARM_UP:
            self.most_cold = max(self.most_cold, len(self.running))

    def _end(self, index, code, **changes):
        attempt_id = self.running.pop(index % len(self.running))
        self._handle(
            events.UpstreamCallEnded(attempt_id=attempt_id, code=code, **changes)
        )

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 20), count=st.integers(1, 6))
    def complete(self, index, count):
        """Complete some of the work."""
        for _ in range(min(count, len(self.running))):
            self._end(index, ResultCode.OK)
            self.completed += 1

    @rule(count=st.integers(1, 12))
    def serve_at_full_load(self, count):
        """Fill the upstream and complete all of it, again and again."""
        for _ in range(count):
            self.burst(12, 0)
            self.complete(0, 12)

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 20), code=st.sampled_from(_FAILURES))
    def fail(self, index, code):
        """Fail one call without a restart."""
        self._end(index, code)

    @precondition(lambda self: self.running)
    @rule()
    def crash(self):
        """Break every connection; the report comes only later."""
        self.start += 1
        self.completed = 0
        while self.running:
            self._end(0, ResultCode.UPSTREAM_FAILED, connection_lost=True)

    @precondition(lambda self: not self.running)
    @rule()
    def restart_idle(self):
        """Restart idle, and report before more arrives."""
        self.start += 1
        self.completed = 0
        self._report()

    @rule()
    def report(self):
        """Report, perhaps late."""
        self._report()

    @invariant()
    def cold_limit_holds(self):
        """Hold the limit by the upstream's own record."""
        assert self.most_cold <= _COLD_LIMIT


TestGateMachine = GateMachine.TestCase
