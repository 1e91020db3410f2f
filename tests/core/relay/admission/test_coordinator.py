"""Free slots, wake-ups and shares at one entry."""

import itertools
import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cardamomnotch_core.relay.admission.const import FULL_UPSTREAM_S
from cardamomnotch_core.relay.admission.coordinator import Admission
from cardamomnotch_core.relay.admission.models import (
    Admit,
    RefusalReason,
    Refuse,
    Wait,
    WaitingRequest,
)
from cardamomnotch_core.relay.fleet import Fleet
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.live_entries import LiveEntries
from cardamomnotch_core.relay.models import Upstream

A, B = "aaaaaa", "bbbbbb"


class Entry:
    """An entry's admission, with upstreams and the requests it sends there."""

    def __init__(self, others=()):
        self.fleet = Fleet()
        self.admission = Admission(
            self.fleet,
            LiveEntries("entry-1", others),
            RelayLimits(),
            random.Random(1),
            lambda upstream, now_s: False,
        )
        self.numbers = itertools.count()
        self.decisions = {}
        self.running = {}

    def put(self, upstream_id, slots):
        """List an upstream."""
        upstream = Upstream(
            upstream_id=upstream_id,
            service="drafts",
            address="10.0.0.1:80",
            zone="zone-a",
            version="v1",
            slots=slots,
            started_ms=1,
        )
        self.fleet.put(upstream, 0.0)
        self.admission.handle_change(0.0)
        return self.fleet.get(upstream_id)

    def arrive(self, now_s=0.0, candidates=None, **fields):
        """Let a request arrive; send it if it is admitted."""
        number = next(self.numbers)
        request = WaitingRequest(
            request_id=number,
            service="drafts",
            **{
                "workspace": A,
                "priority": 5,
                "arrived_at_s": now_s,
                "latest_start_s": now_s + 100.0,
                "target_latency_s": 100.0,
                **fields,
            },
        )
        found = candidates or (lambda now_s: self.fleet.candidates("drafts", now_s))

        def decided(decision):
            assert number not in self.decisions
            self.decisions[number] = decision
            if isinstance(decision, Admit):
                self.send(number, request.workspace, now_s)

        decision = self.admission.decide(request, found, decided, now_s)
        if isinstance(decision, Admit) and number not in self.decisions:
            self.send(number, request.workspace, now_s)
        return number, decision

    def send(self, number, workspace, now_s):
        """Send a request to the first upstream with a free slot."""
        states = [s for s in self.fleet if self.admission.has_slot(s, now_s)]
        state = states[0] if states else next(iter(self.fleet))
        state.in_flight += 1
        use = self.admission.use
        use.record_started("drafts", workspace, "entry-1", number, now_s)
        self.admission.record_placed(number)
        self.running[number] = state

    def end(self, number, now_s=0.0):
        """End a request that runs."""
        state = self.running.pop(number)
        state.in_flight -= 1
        self.admission.use.record_ended("entry-1", number, now_s)
        self.admission.handle_ended(state, number, now_s)


@pytest.fixture
def entry():
    """Return an entry with one upstream of one slot."""
    entry = Entry()
    entry.put("up", 1)
    return entry


def test_end_of_a_request_wakes_the_next(entry):
    """A slot that becomes free is given at once, without a check."""
    first, _ = entry.arrive()
    second, decision = entry.arrive()
    assert isinstance(decision, Wait)
    entry.end(first)
    assert entry.decisions == {second: Admit()}


def test_slot_of_a_request_that_left_is_given_on(entry):
    """A woken request that is not sent leaves its slot to the next."""
    first, _ = entry.arrive()
    second, _ = entry.arrive()
    third, _ = entry.arrive()
    entry.send = lambda *args: None
    entry.end(first)
    assert list(entry.decisions) == [second]
    # The granted slot is not given twice.
    assert isinstance(entry.arrive()[1], Wait)
    entry.admission.cancel(second, 0.0)
    assert list(entry.decisions) == [second, third]


def test_new_upstream_wakes_waiting_requests(entry):
    """An upstream that is listed takes as many as it has slots."""
    for _ in range(5):
        entry.arrive()
    entry.put("other", 3)
    assert len(entry.decisions) == 3


@pytest.mark.parametrize(
    ("end", "admitted"),
    [
        pytest.param(lambda entry, now: entry.end(0), [2], id="a request ends"),
        pytest.param(
            lambda entry, now: entry.admission.check(now + FULL_UPSTREAM_S),
            [2],
            id="time passes",
        ),
        pytest.param(
            lambda entry, now: entry.admission.handle_ended(
                entry.fleet.get("up"), "refused", now
            ),
            [],
            id="the refused one ends",
        ),
    ],
)
def test_upstream_that_refused_counts_as_full(end, admitted):
    """Its free slots are others', until a request ends there or time has passed."""
    entry = Entry()
    state = entry.put("up", 64)
    entry.arrive()
    entry.arrive()
    state.record_failure(0.1)
    entry.admission.record_refused(state, "refused", 0.1)
    number, decision = entry.arrive(0.1)
    assert (number, type(decision)) == (2, Wait)
    end(entry, 0.1)
    assert list(entry.decisions) == admitted


def test_last_resorts_are_used_as_before(entry):
    """If every upstream has failed, requests do not wait for slots."""
    entry.arrive()
    entry.fleet.get("up").record_failure(0.0)
    assert entry.arrive()[1] == Admit()


def test_stopping_entry_refuses_what_waits(entry):
    """Waiting requests end at once, and later ones do not begin to wait."""
    entry.arrive()
    waiting, _ = entry.arrive()
    entry.admission.start_draining()
    assert entry.decisions[waiting].reason is RefusalReason.DRAINING
    assert entry.arrive()[1].reason is RefusalReason.DRAINING
    entry.put("other", 1)
    assert entry.arrive()[1] == Admit()


def test_request_bound_to_a_full_upstream_does_not_hold_up_others(entry):
    """Slots that the first request may not use are for those after it."""
    bound_to = entry.fleet.get("up")
    entry.arrive()
    bound, _ = entry.arrive(candidates=lambda now_s: [bound_to])
    entry.put("other", 1)
    assert bound not in entry.decisions
    assert entry.arrive()[1] == Admit()
    assert entry.admission.waiting == 1


def test_workspace_that_spreads_over_entries_gains_nothing():
    """Where it meets others, a workspace far over its share gets less than half."""
    entry = Entry(others=[f"entry-{number}" for number in range(2, 6)])
    entry.put("up", 20)
    use = entry.admission.use
    use.record_notice(0.0)
    for number in range(16):
        use.record_started("drafts", A, f"entry-{2 + number % 4}", number, 0.0)
        entry.fleet.get("up").remote_in_flight[("entry-2", number)] = 0.0
    running = [entry.arrive(workspace=B)[0] for _ in range(4)]
    for workspace in (A, B) * 20:
        entry.arrive(workspace=workspace)
    assert use.is_over_share("drafts", A, 0.2)
    assert not use.is_over_share("drafts", B, 0.2)
    woken = [0, 0]
    for number in running:
        entry.end(number, 0.2)
    for number in list(entry.decisions):
        entry.end(number, 0.2)
    for number in entry.decisions:
        woken[number % 2] += 1
    # Requests with even numbers after the first four are A's.
    assert woken[1] >= 3 * max(1, woken[0])


class AdmissionMachine(RuleBasedStateMachine):
    """Requests, ends, and upstreams that come and go."""

    @initialize(slots=st.lists(st.integers(1, 3), min_size=1, max_size=3))
    def start(self, slots):
        """Start with a few upstreams."""
        self.entry = Entry()
        self.now_s = 0.0
        for number, count in enumerate(slots):
            self.entry.put(f"up-{number}", count)

    def has_free_slot(self):
        """Return whether any upstream has a free slot."""
        return any(state.in_flight < state.upstream.slots for state in self.entry.fleet)

    @rule(workspace=st.sampled_from([A, B]), priority=st.integers(0, 3))
    def arrive(self, workspace, priority):
        """Let a request arrive: with free slots it is admitted."""
        was_free = self.has_free_slot()
        _, decision = self.entry.arrive(
            self.now_s, workspace=workspace, priority=priority
        )
        assert isinstance(decision, Admit if was_free else Wait | Refuse)

    @rule(data=st.data())
    def end(self, data):
        """End a request that runs."""
        if self.entry.running:
            numbers = sorted(self.entry.running)
            self.entry.end(data.draw(st.sampled_from(numbers)), self.now_s)

    @rule(number=st.integers(0, 4), slots=st.integers(1, 3))
    def list_upstream(self, number, slots):
        """List an upstream, or change its slots."""
        self.entry.put(f"up-{number}", slots)

    @rule(seconds=st.floats(0.01, 2.0))
    def check(self, seconds):
        """Let time pass."""
        self.now_s += seconds
        self.entry.admission.check(self.now_s)

    @invariant()
    def no_slot_is_free_while_requests_wait(self):
        """Capacity is never left unused."""
        if hasattr(self, "entry") and self.entry.admission.waiting:
            assert not self.has_free_slot()


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
