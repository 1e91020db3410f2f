"""The queue under arbitrary arrivals, slots and departures."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cardamomnotch_core.relay.admission.const import SLOTS_PER_LOWER_PRIORITY
from cardamomnotch_core.relay.admission.models import (
    Admit,
    Refuse,
    Room,
    Wait,
    WaitingRequest,
)
from cardamomnotch_core.relay.admission.queue import AdmissionQueue
from cardamomnotch_core.relay.limits import RelayLimits

MAX_REQUESTS, MAX_BYTES = 12, 65_536


class QueueMachine(RuleBasedStateMachine):
    """Each request ends once: admitted, refused or cancelled."""

    @initialize(seed=st.integers(0, 2**20))
    def start(self, seed):
        """Start with an empty queue."""
        limits = RelayLimits(queue_requests=MAX_REQUESTS, queue_bytes=MAX_BYTES)
        self.queue = AdmissionQueue(limits, random.Random(seed))
        self.now_s = 0.0
        self.next_id = 0
        self.waiting = {}
        self.ended = set()
        self.slots = {"one": 0, "two": 0}
        self.passed_over = {}

    def end(self, request):
        """Record the only end of a request."""
        assert request.request_id not in self.ended
        self.ended.add(request.request_id)
        self.waiting.pop(request.request_id, None)

    @rule(
        service=st.sampled_from(["one", "two"]),
        workspace=st.sampled_from("abc"),
        priority=st.integers(0, 3),
        time_s=st.floats(0.0, 8.0),
        body_bytes=st.integers(0, 20_000),
        fingerprint=st.sampled_from(["", "p", "q"]),
        is_continued=st.booleans(),
        free_slots=st.integers(0, 1),
    )
    def arrive(self, time_s, free_slots, **fields):
        """Let a request arrive."""
        request = WaitingRequest(
            request_id=self.next_id,
            arrived_at_s=self.now_s,
            latest_start_s=self.now_s + time_s,
            target_latency_s=1.0,
            **fields,
        )
        self.next_id += 1
        is_queued = request.service in self.queue.services
        room = Room(free_slots=free_slots)
        decision, evicted = self.queue.decide(request, room, self.now_s)
        if free_slots and not is_queued:
            assert decision == Admit()
        for other, refuse in evicted:
            assert isinstance(refuse, Refuse)
            assert other.priority >= request.priority
            self.end(other)
        if isinstance(decision, Wait):
            self.waiting[request.request_id] = request
        else:
            self.end(request)

    @rule(service=st.sampled_from(["one", "two"]), count=st.integers(1, 4))
    def free(self, service, count):
        """Give slots to waiting requests; the most urgent get 15 of 16."""
        waiting = [r for r in self.waiting.values() if r.service == service]
        taken = self.queue.take_ready(service, Room(free_slots=count), self.now_s)
        assert len(taken) == min(count, len(waiting))
        least = min((request.priority for request in waiting), default=0)
        lower = sum(request.priority > least for request in taken)
        if len([r for r in waiting if r.priority == least]) >= count:
            assert lower <= 1 + count // SLOTS_PER_LOWER_PRIORITY
        for request in taken:
            self.end(request)

    @rule(data=st.data())
    def cancel(self, data):
        """Let a caller leave."""
        if not self.waiting:
            assert not self.queue.cancel("unknown")
            return
        request_id = data.draw(st.sampled_from(sorted(self.waiting)))
        assert self.queue.cancel(request_id)
        self.end(self.waiting[request_id])

    @rule(seconds=st.floats(0.01, 3.0))
    def check(self, seconds):
        """Let time pass; what cannot be served any more is refused."""
        self.now_s += seconds
        for request, refuse in self.queue.take_hopeless(self.now_s):
            assert refuse.retry_after_s > 0
            self.end(request)
        for request in self.waiting.values():
            assert request.latest_start_s >= self.now_s

    @invariant()
    def is_complete_and_within_bounds(self):
        """Nothing is lost, and the bounds hold."""
        if not hasattr(self, "queue"):
            return
        assert all(request_id in self.queue for request_id in self.waiting)
        assert len(self.queue) == len(self.waiting) <= MAX_REQUESTS
        held = sum(request.body_bytes for request in self.waiting.values())
        assert self.queue.body_bytes == held <= MAX_BYTES
        services = {request.service for request in self.waiting.values()}
        assert set(self.queue.services) == services


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
