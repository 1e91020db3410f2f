"""A cold upstream never runs more attempts than its limit."""

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

from tests.core.admission_messages import (
    CONFIGURATION_RECORD,
    SIDECAR_IDENTITY,
    attempt,
)

_COLD_LIMIT = 2
_WARM_UP_COMPLETIONS = 5
_FAILURE_CODES = (ResultCode.UPSTREAM_FULL, ResultCode.UPSTREAM_FAILED)


class AdmissionMachine(RuleBasedStateMachine):
    """Attempts from entries, delayed status reports and restarts in any order.

    ``running`` and ``completed`` are the attempts that the upstream runs and
    the number that it has completed since its last start.
    """

    def __init__(self):
        super().__init__()
        settings = LimiterSettings(
            max_limit=12,
            cold_limit=_COLD_LIMIT,
            warm_up_completions=_WARM_UP_COMPLETIONS,
        )
        self.node = SidecarNode(SIDECAR_IDENTITY, ConcurrencyLimiter(settings=settings))
        self.now_s = 0.0
        self.attempts_sent = 0
        self.start_number = 1
        self.running: list[str] = []
        self.completed = 0
        self.max_running_while_cold = 0

    def _handle(self, event):
        self.now_s += 0.01
        return self.node.handle(event, self.now_s)

    def _report_status(self):
        self._handle(
            events.UpstreamReported(
                start_id=f"start-{self.start_number}", versions=("drafter/v1",)
            )
        )

    @initialize()
    def apply_configuration(self):
        """Apply the configuration and report the upstream's status once."""
        self._handle(
            events.ConfigurationOffered(record=CONFIGURATION_RECORD, source="test")
        )
        self._report_status()

    @rule(count=st.integers(1, 8), priority=st.integers(0, 1))
    def send_burst(self, count, priority):
        """Send attempts from many entries at once."""
        for _ in range(count):
            self.attempts_sent += 1
            message = attempt(f"attempt-{self.attempts_sent}", priority=priority)
            result = self._handle(events.AttemptArrived(request=message))
            if isinstance(result[0], actions.AcceptAttempt):
                self.running.append(message.attempt_id)
        if self.completed < _WARM_UP_COMPLETIONS:
            self.max_running_while_cold = max(
                self.max_running_while_cold, len(self.running)
            )

    def _end_call(self, index, code, **changes):
        attempt_id = self.running.pop(index % len(self.running))
        self._handle(
            events.UpstreamCallEnded(attempt_id=attempt_id, code=code, **changes)
        )

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 20), count=st.integers(1, 6))
    def complete_attempts(self, index, count):
        """Complete some of the running attempts."""
        for _ in range(min(count, len(self.running))):
            self._end_call(index, ResultCode.OK)
            self.completed += 1

    @rule(count=st.integers(1, 12))
    def serve_at_full_load(self, count):
        """Fill the upstream and complete all attempts, several times."""
        for _ in range(count):
            self.send_burst(12, 0)
            self.complete_attempts(0, 12)

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 20), code=st.sampled_from(_FAILURE_CODES))
    def fail_call(self, index, code):
        """Fail one call without a restart."""
        self._end_call(index, code)

    @precondition(lambda self: self.running)
    @rule()
    def crash_upstream(self):
        """Restart the upstream, which breaks every connection, unreported."""
        self.start_number += 1
        self.completed = 0
        while self.running:
            self._end_call(0, ResultCode.UPSTREAM_FAILED, connection_lost=True)

    @precondition(lambda self: not self.running)
    @rule()
    def restart_idle_upstream(self):
        """Restart an idle upstream and report it before new attempts."""
        self.start_number += 1
        self.completed = 0
        self._report_status()

    @rule()
    def report_status(self):
        """Report the upstream's status, possibly long after a restart."""
        self._report_status()

    @invariant()
    def cold_limit_holds(self):
        """Check the most attempts that ever ran on a cold upstream."""
        assert self.max_running_while_cold <= _COLD_LIMIT


TestAdmissionMachine = AdmissionMachine.TestCase
