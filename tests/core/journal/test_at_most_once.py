"""Requests that must not be repeated run at most once, whatever fails."""

import attrs
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cardamomnotch_core.attempts.sidecar_table import AttemptState, AttemptTable
from cardamomnotch_core.journal.models import ProposalOutcome, RecordState
from cardamomnotch_protocol.models import JournalProposal, JournalResult, Usage
from cardamomnotch_protocol.result_codes import ResultCode

from .conftest import CLAIMS, NOW_S, LogStore, claim, done

_KEYS = st.sampled_from(["k1", "k2"])
_ANY_INDEX = st.integers(min_value=0, max_value=1_000)
# Failure of a write to the store; no failure is the most frequent.
_FAULTS = st.sampled_from(["", "", "", "lost", "not answered"])
_MAX_OWNERS = 4


@attrs.define
class _Caller:
    """One call by a caller, each through a different entry."""

    key: str
    attempt_id: str
    reported_result: str = ""
    answer: str = ""
    sent: bool = False


@attrs.frozen
class _Propose:
    proposal: JournalProposal
    caller: _Caller | None = None


@attrs.frozen
class _Start:
    key: str
    attempt_id: str
    incarnation: int


@attrs.frozen
class _Fence:
    caller: _Caller
    attempt_id: str
    incarnation: int


class JournalMachine(RuleBasedStateMachine):
    """Callers, partition owners, a sidecar with its service, and a network.

    The network may delay, reorder, duplicate and lose messages.
    """

    def __init__(self) -> None:
        super().__init__()
        self.store = LogStore()
        self.owners = []
        self.network = []
        self.callers = []
        self.callers_by_proposal = {}
        self.effect_counts = {}
        self.started_attempts = set()
        self.incarnations = {}
        self.outcomes = []
        self.table = AttemptTable()
        self.incarnation = 0
        self.now_s = NOW_S
        self.take_over()

    @rule(key=_KEYS)
    def call(self, key):
        """Send a request, for the first time or repeated."""
        caller = _Caller(key, f"a{len(self.callers)}")
        self.callers.append(caller)
        self.incarnations[caller.attempt_id] = self.incarnation
        self.network.append(_Propose(claim(key, caller.attempt_id), caller))

    @rule(index=_ANY_INDEX, fault=_FAULTS)
    def append(self, index, fault):
        """Let any owner append; the write or its answer may be lost."""
        log = self.owners[index % len(self.owners)]
        pending = log.next_append(self.store.advance())
        if pending is None:
            return
        stored = fault == "lost" or self.store.put(pending.sequence, pending.value)
        if fault:
            self._resolve(log, log.record_append_failure())
        else:
            self._resolve(
                log, log.record_commit() if stored else log.record_ownership_loss()
            )

    @rule()
    def take_over(self):
        """Make another entry the owner, unknown to the former owners."""
        if len(self.owners) < _MAX_OWNERS:
            log = self.store.open(CLAIMS, f"owner{len(self.owners)}")
            self.owners.append(log)

    @rule(index=_ANY_INDEX, owner=_ANY_INDEX, copy=st.booleans())
    def deliver(self, index, owner, copy):
        """Deliver any message, in any order, perhaps more than once."""
        if not self.network:
            return
        position = index % len(self.network)
        message = self.network[position] if copy else self.network.pop(position)
        if isinstance(message, _Propose):
            self._propose(message, self.owners[owner % len(self.owners)])
        elif isinstance(message, _Start):
            self._start(message)
        else:
            self._fence(message)

    @rule(owner=_ANY_INDEX)
    def deliver_oldest(self, owner):
        """Deliver the oldest message, as is usual."""
        self.deliver(0, owner, False)
        self.append(owner, "")

    @rule(owner=_ANY_INDEX)
    def deliver_newest(self, owner):
        """Deliver the newest message ahead of all others."""
        self.deliver(max(0, len(self.network) - 1), owner, False)
        self.append(owner, "")

    @rule(key=_KEYS, owner=_ANY_INDEX)
    def call_and_claim(self, key, owner):
        """Send a request whose claim is delivered and appended at once."""
        self.call(key)
        self.deliver(len(self.network) - 1, owner, False)
        self.append(owner, "")

    @rule(index=_ANY_INDEX)
    def lose_message(self, index):
        """Lose a message; a caller waiting for its claim or fence gives up."""
        if not self.network:
            return
        message = self.network.pop(index % len(self.network))
        if isinstance(message, _Propose) and message.caller is not None:
            self._handle_claim_result(
                message.caller, JournalResult(outcome="unavailable")
            )
        if isinstance(message, _Fence):
            message.caller.reported_result = message.caller.reported_result or "unknown"

    @rule()
    def restart_sidecar(self):
        """Restart the sidecar, which loses its table of attempts."""
        self.incarnation += 1
        self.table = AttemptTable()

    def _propose(self, message, log):
        proposal_id = len(self.callers_by_proposal)
        self.callers_by_proposal[id(log), proposal_id] = message.caller
        result = log.propose(message.proposal, proposal_id, self.now_s)
        if message.caller is not None and (result.committed or not result.record):
            self._handle_claim_result(message.caller, result)

    def _resolve(self, log, resolved):
        for item in resolved:
            caller = self.callers_by_proposal.get((id(log), item.proposal_id))
            if caller is not None:
                self._handle_claim_result(caller, item.result)

    def _handle_claim_result(self, caller, result):
        """Handle the journal's result of the caller's claim."""
        if caller.reported_result or caller.sent:
            return
        if result.outcome in (ProposalOutcome.UNAVAILABLE, ProposalOutcome.EXPIRED):
            caller.reported_result = "not run"
            return
        found = result.record
        if found.attempt_id == caller.attempt_id:
            caller.sent = True
            incarnation = self.incarnations[caller.attempt_id]
            self.network.append(_Start(caller.key, caller.attempt_id, incarnation))
        elif found.state == RecordState.DONE:
            caller.reported_result, caller.answer = "done", found.answer
        else:
            incarnation = self.incarnations[found.attempt_id]
            self.network.append(_Fence(caller, found.attempt_id, incarnation))

    def _start(self, message):
        known = self.table.get(message.attempt_id)
        if message.incarnation != self.incarnation or known is not None:
            return
        self.effect_counts[message.key] = self.effect_counts.get(message.key, 0) + 1
        self.started_attempts.add(message.attempt_id)
        self.table.finish(message.attempt_id, ResultCode.OK, Usage(), self.now_s)
        # Both the sidecar and the entry propose the outcome.
        self.outcomes.append(done(message.key, message.attempt_id))
        self.network += [_Propose(self.outcomes[-1])] * 2

    def _fence(self, message):
        caller = message.caller
        if caller.reported_result or caller.sent:
            return
        if message.incarnation != self.incarnation:
            caller.reported_result = "unknown"
            return
        state = self.table.fence(message.attempt_id, self.now_s).state
        if state is AttemptState.NEVER_STARTED:
            self.incarnations[caller.attempt_id] = self.incarnation
            proposal = claim(caller.key, caller.attempt_id, message.attempt_id)
            self.network.append(_Propose(proposal, caller))
        else:
            caller.reported_result, caller.answer = "done", caller.key

    @invariant()
    def runs_at_most_once(self):
        """Check that no key has more than one effect."""
        assert all(count <= 1 for count in self.effect_counts.values())

    @invariant()
    def not_run_is_reported_correctly(self):
        """Check that no attempt reported as "not run" has run."""
        reported = {
            caller.attempt_id
            for caller in self.callers
            if caller.reported_result == "not run"
        }
        assert not reported & self.started_attempts

    @invariant()
    def answer_belongs_to_its_key(self):
        """Check that each answer belongs to the caller's key, which ran."""
        for caller in self.callers:
            if caller.reported_result == "done":
                assert caller.answer == caller.key
                assert self.effect_counts.get(caller.key) == 1

    def teardown(self):
        """Check that each effect is billed once.

        All outcomes are first proposed twice to a new owner.
        """
        log = self.store.open(CLAIMS, "last")
        self.store.append(log, self.store.advance())
        for proposal in self.outcomes * 2:
            log.propose(proposal, 0, self.now_s)
            self.store.append(log, self.store.advance())
        total = log.state.totals.get("crates")
        assert (total.requests if total else 0) == sum(self.effect_counts.values())


_SETTINGS = settings(max_examples=200, stateful_step_count=50, deadline=None)
TestJournal = JournalMachine.TestCase
TestJournal.settings = settings(_SETTINGS, derandomize=True)


@pytest.mark.explore
class TestJournalLonger(JournalMachine.TestCase):
    """The same checks with more and longer runs from random seeds."""

    settings = settings(
        max_examples=3000,
        stateful_step_count=120,
        deadline=None,
        print_blob=True,
        suppress_health_check=list(HealthCheck),
    )
