"""Rate limits that upstreams name, kept over entries that exchange notices."""

import heapq
import itertools
import random

import attrs
import pytest

from cardamomnotch_core.relay.crashes.detection import AttemptEnd
from cardamomnotch_core.relay.exceptions import RefusalError
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.models import Service, UpstreamHints
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.store_changes import changes
from cardamomnotch_protocol.result_codes import ResultCode

# The rule's bound, from this time after the limit was first named on.
STABLE_WINDOW_S = 3.0
WINDOW_S = 4.0
LENGTH_S = 40.0
NOTICE_DELAY_S = (0.005, 0.03)
SERVICE = Service(name="drafts")


@attrs.frozen(kw_only=True)
class Case:
    """Entries and their load at an upstream that names a limit."""

    # Requests per second that the upstream takes, by the time from which on;
    # None if it names no limit.
    rates: dict[float, float | None]
    entries: int = 3
    requests_per_s: float = 12.0
    # Shares of the entries in the load; even if empty.
    weights: tuple[float, ...] = ()
    has_other_upstream: bool = False
    # When the first entry is replaced by a new process.
    restarts_s: tuple[float, ...] = ()
    # Time span in which the first entry exchanges no notices.
    cut_s: tuple[float, float] = (0.0, 0.0)

    def rate(self, now_s):
        """Return the limit that is named at ``now_s``."""
        return [rate for from_s, rate in self.rates.items() if from_s <= now_s][-1]


CASES = {
    "one entry": Case(rates={0.0: 1.0}, entries=1),
    "three entries": Case(rates={0.0: 1.0}),
    "another upstream": Case(rates={0.0: 1.1}, has_other_upstream=True),
    "less than one for each entry": Case(rates={0.0: 2.0}, entries=20),
    "less than one a second": Case(rates={0.0: 0.3}),
    "a fraction": Case(rates={0.0: 1.9}),
    "many": Case(rates={0.0: 25.0}, requests_per_s=60.0),
    "all load at one entry": Case(rates={0.0: 3.0}, weights=(1.0, 0.0, 0.0)),
    "uneven load": Case(rates={0.0: 3.0}, weights=(0.8, 0.15, 0.05)),
    "rising": Case(rates={0.0: 1.0, 15.0: 4.0}),
    "falling": Case(rates={0.0: 6.0, 15.0: 1.0}),
    "entry restarts": Case(rates={0.0: 1.0}, restarts_s=(10.0, 20.0, 30.0)),
    "entry cut": Case(rates={0.0: 2.0}, cut_s=(12.0, 20.0)),
}


class RateSimulation:
    """Entries in front of an upstream that names a limit, on simulated time."""

    def __init__(self, case, make_upstream, make_facts, seed=1):
        self._case = case
        self._make_facts = make_facts
        self._random = random.Random(seed)
        self._upstreams = [make_upstream("up-limited")]
        if case.has_other_upstream:
            self._upstreams.append(make_upstream("up-other", zone="zone-b"))
        self._events = []
        self._numbers = itertools.count()
        self._now_s = 0.0
        self.nodes = []
        for number in range(case.entries):
            self._add_entry(f"entry-{number}")
        # Time and entry of each request at the limited upstream.
        self.sent = []
        self.refusals = []

    def run(self):
        """Run the whole simulation, and return this object."""
        self._after(0.0, self._arrive)
        for restart_s in self._case.restarts_s:
            self._after(restart_s, self._restart)
        while self._events:
            self._now_s, _, event = heapq.heappop(self._events)
            event()
        return self

    def sent_in(self, start_s, end_s):
        """Return how many requests reached the upstream in a time span."""
        return sum(start_s <= at_s < end_s for at_s, _ in self.sent)

    def _after(self, delay_s, event):
        entry = (self._now_s + delay_s, next(self._numbers), event)
        heapq.heappush(self._events, entry)

    def _add_entry(self, name, position=None):
        identity = RelayIdentity(name=name, zone="zone-a", incarnation=name)
        node = RelayNode(identity, RelayLimits())
        for upstream in self._upstreams:
            node.apply(changes.UpstreamListed(upstream=upstream), self._now_s)
        for other in self.nodes:
            for one, two in ((node, other), (other, node)):
                record = two.entry_record(self._now_s)
                one.apply(changes.EntryReported(record=record), self._now_s)
        if position is None:
            self.nodes.append(node)
        else:
            self.nodes[position] = node
        for other in self.nodes:
            self._exchange(other)

    def _restart(self):
        self._add_entry(f"entry-again-{next(self._numbers)}", position=0)

    def _arrive(self):
        if self._now_s > LENGTH_S:
            return
        self._after(self._random.expovariate(self._case.requests_per_s), self._arrive)
        weights = self._case.weights or [1.0] * len(self.nodes)
        (node,) = self._random.choices(self.nodes, weights)
        facts = self._make_facts(f"r{next(self._numbers)}")
        try:
            placement = node.place(SERVICE, facts, "", 0, self._now_s)
        except RefusalError as refusal:
            self.refusals.append((self._now_s, refusal))
            return
        node.attempts.record_sent(placement, facts, "", facts, self._now_s)
        if placement.state.upstream_id == "up-limited":
            self.sent.append((self._now_s, node.identity.name))
        sent_at_s = self._now_s
        self._after(0.0, lambda: self._exchange(node))
        self._after(
            self._random.uniform(0.02, 0.3),
            lambda: self._answer(node, placement, facts, sent_at_s),
        )

    def _answer(self, node, placement, facts, sent_at_s):
        process = placement.state.upstream.process
        is_limited = placement.state.upstream_id == "up-limited"
        rate = self._case.rate(self._now_s) if is_limited else None
        hints = UpstreamHints(rate_limit=rate)
        node.rates.record_hints(process, hints, sent_at_s, self._now_s)
        node.attempts.record_ended(
            placement.state, facts, AttemptEnd.COMPLETED, self._now_s
        )
        self._exchange(node)

    def _exchange(self, node):
        notices = node.attempts.take_notices(self._now_s + 1.0)
        rates = node.rates.take_unsent()
        for other in self.nodes:
            if other is node or self._is_cut(node, other):
                continue
            self._after(
                self._random.uniform(*NOTICE_DELAY_S),
                lambda other=other: self._receive(other, node, notices, rates),
            )

    def _receive(self, node, sender, notices, rates):
        node.attempts.apply_notices(sender.identity.name, notices, self._now_s)
        node.rates.apply(rates, self._now_s)

    def _is_cut(self, *nodes):
        first_s, last_s = self._case.cut_s
        return self.nodes[0] in nodes and first_s <= self._now_s < last_s


@pytest.fixture
def simulate(make_upstream, make_facts):
    """Return a function that runs a case."""

    def run(case, seed=1):
        return RateSimulation(case, make_upstream, make_facts, seed).run()

    return run


def check(case, simulation):
    """Check that the named limits are kept, and used."""
    spans = itertools.pairwise([*case.rates, LENGTH_S])
    for (from_s, until_s), rate in zip(spans, case.rates.values(), strict=True):
        counted_from_s = from_s + STABLE_WINDOW_S
        for start_s, _ in simulation.sent:
            if counted_from_s <= start_s <= until_s - WINDOW_S:
                sent = simulation.sent_in(start_s, start_s + WINDOW_S)
                assert sent <= 1.5 * rate * WINDOW_S + 5
        length_s = until_s - counted_from_s
        assert simulation.sent_in(counted_from_s, until_s) >= 0.7 * rate * length_s


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
def test_named_limit_holds_over_all_entries(simulate, case, seed):
    """All entries together keep to a limit, and use what it allows."""
    check(case, simulate(case, seed))


def test_requests_beyond_the_limit_go_to_another_upstream(simulate):
    """No request is refused while another upstream may get it."""
    assert not simulate(CASES["another upstream"]).refusals


def test_refusal_tells_when_the_next_request_may_be_sent(simulate):
    """Callers that come back in time find that the limit allows a request."""
    case = CASES["one entry"]
    simulation = simulate(case)
    sent_s = [at_s for at_s, _ in simulation.sent]
    checked = 0
    for at_s, refusal in simulation.refusals:
        assert refusal.code is ResultCode.UPSTREAM_RATE_LIMITED
        assert 0.0 < refusal.retry_after_s <= WINDOW_S
        back_s = at_s + refusal.retry_after_s
        if back_s < LENGTH_S - 1.0:
            checked += 1
            assert any(back_s - 0.1 <= next_s < back_s + 1.0 for next_s in sent_s)
    assert checked


@pytest.mark.parametrize("ends_with", [None, 1e12], ids=["ended", "huge"])
def test_limit_that_ends_is_forgotten_by_all_entries(simulate, ends_with):
    """After the limit all requests are sent again."""
    simulation = simulate(Case(rates={0.0: 1.0, 15.0: ends_with}))
    assert simulation.sent_in(20.0, LENGTH_S) >= 12.0 * 20.0 * 0.8
    assert not [at_s for at_s, _ in simulation.refusals if at_s > 20.0]


def test_limit_of_nothing_still_notices_its_end(simulate):
    """An upstream that takes no requests gets one now and then."""
    simulation = simulate(Case(rates={0.0: 0.0, 15.0: None}))
    assert simulation.sent_in(STABLE_WINDOW_S, 15.0) <= 3
    assert simulation.sent_in(27.0, LENGTH_S) >= 12.0 * 13.0 * 0.8


def test_new_process_does_not_inherit_a_limit(make_upstream, make_facts):
    """The limit of an upstream ends with its process."""
    node = RelayNode(
        RelayIdentity(name="entry-a", zone="zone-a", incarnation="1"), RelayLimits()
    )
    node.apply(changes.UpstreamListed(upstream=make_upstream("up-1")), 0.0)
    node.rates.record_hints("up-1@1", UpstreamHints(rate_limit=1.0), 0.0, 0.1)
    restarted = make_upstream("up-1", started_ms=2)
    node.apply(changes.UpstreamListed(upstream=restarted), 1.0)
    assert node.rates.named == {}
    # The last answer, and a notice, of the earlier process.
    node.rates.record_hints("up-1@1", UpstreamHints(rate_limit=1.0), 0.9, 1.1)
    node.rates.apply({"up-1@1": 1.0}, 1.1)
    for number in range(20):
        facts = make_facts(f"r{number}")
        placement = node.place(SERVICE, facts, "", 0, 1.2)
        node.attempts.record_sent(placement, facts, "", facts, 1.2)


def test_answer_to_an_earlier_request_does_not_end_a_limit(make_upstream):
    """An answer without a limit that was on its way says nothing new."""
    node = RelayNode(
        RelayIdentity(name="entry-a", zone="zone-a", incarnation="1"), RelayLimits()
    )
    node.apply(changes.UpstreamListed(upstream=make_upstream("up-1")), 0.0)
    node.rates.record_hints("up-1@1", UpstreamHints(rate_limit=1.0), 0.0, 1.0)
    node.rates.record_hints("up-1@1", UpstreamHints(), 0.9, 1.1)
    assert node.rates.named == {"up-1@1": 1.0}
    node.rates.record_hints("up-1@1", UpstreamHints(), 1.1, 1.2)
    assert node.rates.named == {}
