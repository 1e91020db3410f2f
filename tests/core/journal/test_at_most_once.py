"""Requests that may not be repeated, under any order of failures."""

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
_ANY = st.integers(min_value=0, max_value=1_000)
# How a write to the store goes wrong: mostly it does not.
_FAULTS = st.sampled_from(["", "", "", "lost", "not answered"])
_MAX_OWNERS = 4


@attrs.define
class _Caller:
    """One call by a caller, at an entry of its own."""

    key: str
    attempt_id: str
    told: str = ""
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
    """Callers, owners, one sidecar and its service, and a network between."""

    def __init__(self) -> None:
        super().__init__()
        self.store = LogStore()
        self.owners = []
        self.network = []
        self.callers = []
        self.waiting = {}
        self.effects = {}
        self.ran = set()
        self.incarnations = {}
        self.held = []
        self.table = AttemptTable()
        self.incarnation = 0
        self.now_s = NOW_S
        self.take_over()

    @rule(key=_KEYS)
    def call(self, key):
        """Send a request, the first time or again."""
        caller = _Caller(key, f"a{len(self.callers)}")
        self.callers.append(caller)
        self.incarnations[caller.attempt_id] = self.incarnation
        self.network.append(_Propose(claim(key, caller.attempt_id), caller))

    @rule(index=_ANY, fault=_FAULTS)
    def append(self, index, fault):
        """Let any owner write; its write or answer may be lost."""
        log = self.owners[index % len(self.owners)]
        pending = log.next_append(self.store.tick())
        if pending is None:
            return
        holds = fault == "lost" or self.store.put(pending.sequence, pending.value)
        if fault:
            self._settle(log, log.record_append_failure())
        else:
            self._settle(
                log, log.record_commit() if holds else log.record_ownership_loss()
            )

    @rule()
    def take_over(self):
        """Make another entry the owner; the former ones do not know."""
        if len(self.owners) < _MAX_OWNERS:
            log = self.store.open(CLAIMS, f"owner{len(self.owners)}")
            self.owners.append(log)

    @rule(index=_ANY, owner=_ANY, copy=st.booleans())
    def deliver(self, index, owner, copy):
        """Deliver any message, in any order, perhaps more than once."""
        if not self.network:
            return
        at = index % len(self.network)
        message = self.network[at] if copy else self.network.pop(at)
        if isinstance(message, _Propose):
            self._propose(message, self.owners[owner % len(self.owners)])
        elif isinstance(message, _Start):
            self._start(message)
        else:
            self._fence(message)

    @rule(owner=_ANY)
    def deliver_oldest(self, owner):
        """Deliver what was sent first, as a network mostly does."""
        self.deliver(0, owner, False)
        self.append(owner, "")

    @rule(owner=_ANY)
    def deliver_newest(self, owner):
        """Deliver what was sent last, so that it overtakes the rest."""
        self.deliver(max(0, len(self.network) - 1), owner, False)
        self.append(owner, "")

    @rule(key=_KEYS, owner=_ANY)
    def call_and_claim(self, key, owner):
        """Send a request whose claim arrives and is written at once."""
        self.call(key)
        self.deliver(len(self.network) - 1, owner, False)
        self.append(owner, "")

    @rule(index=_ANY)
    def lose_message(self, index):
        """Lose a message; whoever waits for a claim gives up."""
        if not self.network:
            return
        message = self.network.pop(index % len(self.network))
        if isinstance(message, _Propose) and message.caller is not None:
            self._answer(message.caller, JournalResult(outcome="unavailable"))
        if isinstance(message, _Fence):
            message.caller.told = message.caller.told or "unknown"

    @rule()
    def restart_sidecar(self):
        """Kill the sidecar, and its memory of attempts with it."""
        self.incarnation += 1
        self.table = AttemptTable()

    def _propose(self, message, log):
        proposal_id = len(self.waiting)
        self.waiting[id(log), proposal_id] = message.caller
        result = log.propose(message.proposal, proposal_id, self.now_s)
        if message.caller is not None and (result.committed or not result.record):
            self._answer(message.caller, result)

    def _settle(self, log, settled):
        for item in settled:
            caller = self.waiting.get((id(log), item.proposal_id))
            if caller is not None:
                self._answer(caller, item.result)

    def _answer(self, caller, result):
        """Take the journal's answer to its caller's claim."""
        if caller.told or caller.sent:
            return
        if result.outcome in (ProposalOutcome.UNAVAILABLE, ProposalOutcome.EXPIRED):
            caller.told = "not run"
            return
        found = result.record
        if found.attempt_id == caller.attempt_id:
            caller.sent = True
            born = self.incarnations[caller.attempt_id]
            self.network.append(_Start(caller.key, caller.attempt_id, born))
        elif found.state == RecordState.DONE:
            caller.told, caller.answer = "done", found.answer
        else:
            born = self.incarnations[found.attempt_id]
            self.network.append(_Fence(caller, found.attempt_id, born))

    def _start(self, message):
        known = self.table.get(message.attempt_id)
        if message.incarnation != self.incarnation or known is not None:
            return
        self.effects[message.key] = self.effects.get(message.key, 0) + 1
        self.ran.add(message.attempt_id)
        self.table.finish(message.attempt_id, ResultCode.OK, Usage(), self.now_s)
        # The sidecar and the entry each hold the outcome.
        self.held.append(done(message.key, message.attempt_id))
        self.network += [_Propose(self.held[-1])] * 2

    def _fence(self, message):
        caller = message.caller
        if caller.told or caller.sent:
            return
        if message.incarnation != self.incarnation:
            caller.told = "unknown"
            return
        state = self.table.fence(message.attempt_id, self.now_s).state
        if state is AttemptState.NEVER_STARTED:
            self.incarnations[caller.attempt_id] = self.incarnation
            proposal = claim(caller.key, caller.attempt_id, message.attempt_id)
            self.network.append(_Propose(proposal, caller))
        else:
            caller.told, caller.answer = "done", caller.key

    @invariant()
    def runs_at_most_once(self):
        """Check that no key has more than one effect."""
        assert all(count <= 1 for count in self.effects.values())

    @invariant()
    def not_run_is_true(self):
        """Check that whoever was told "not run" has not run."""
        told = {c.attempt_id for c in self.callers if c.told == "not run"}
        assert not told & self.ran

    @invariant()
    def answer_is_its_own(self):
        """Check that each answer is of its own key, which has run."""
        for caller in self.callers:
            if caller.told == "done":
                assert caller.answer == caller.key
                assert self.effects.get(caller.key) == 1

    def teardown(self):
        """Check that each effect is billed once, when holders reach a new owner."""
        log = self.store.open(CLAIMS, "last")
        self.store.append(log, self.store.tick())
        for proposal in self.held * 2:
            log.propose(proposal, 0, self.now_s)
            self.store.append(log, self.store.tick())
        total = log.state.totals.get("crates")
        assert (total.requests if total else 0) == sum(self.effects.values())


_SETTINGS = settings(max_examples=200, stateful_step_count=50, deadline=None)
TestJournal = JournalMachine.TestCase
TestJournal.settings = settings(_SETTINGS, derandomize=True)


@pytest.mark.explore
class TestJournalLonger(JournalMachine.TestCase):
    """More and longer runs, from seeds that are drawn anew."""

    settings = settings(
        max_examples=3000,
        stateful_step_count=120,
        deadline=None,
        print_blob=True,
        suppress_health_check=list(HealthCheck),
    )
