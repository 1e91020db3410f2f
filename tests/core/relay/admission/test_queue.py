"""Rules of the queue: order, bounds, refusals, overload."""

import itertools
import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.relay.admission.const import (
    MAX_IDLE_WORKSPACES,
    MAX_REFUSED_KEPT,
    MAX_RETRY_S,
    MIN_RETRY_S,
    SLOTS_PER_LOWER_PRIORITY,
)
from cardamomnotch_core.relay.admission.early_returns import EarlyReturns
from cardamomnotch_core.relay.admission.level import PriorityLevel
from cardamomnotch_core.relay.admission.models import (
    Admit,
    RefusalReason,
    Refuse,
    Room,
    Wait,
    WaitReason,
)
from cardamomnotch_core.relay.admission.queue import AdmissionQueue
from cardamomnotch_core.relay.limits import RelayLimits

from tests.core.relay.admission.conftest import build_request

FULL = Room(free_slots=0)
ONE = Room(free_slots=1)


def enqueue(queue, *requests, now_s=0.0):
    """Let requests wait, and return the last decision."""
    for request in requests:
        decision, _ = queue.decide(request, FULL, now_s)
    return decision


def take_all(queue, now_s=0.0, service="drafts"):
    """Return the waiting requests in the order in which they get slots."""
    return queue.take_ready(service, Room(free_slots=len(queue)), now_s)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param({"priority": 0}, {"priority": 1}, id="priority"),
        pytest.param({"latest_start_s": 3.0}, {"latest_start_s": 4.0}, id="deadline"),
        pytest.param(
            {"is_continued": True, "latest_start_s": 9.0},
            {"latest_start_s": 3.0},
            id="resumed stream",
        ),
    ],
)
@pytest.mark.parametrize("is_reversed", [False, True], ids=["in order", "reversed"])
def test_order(make_queue, make_request, first, second, is_reversed):
    """What ranks first gets the slot, in whichever order they arrive."""
    queue = make_queue()
    requests = [make_request(**first), make_request(**second)]
    enqueue(queue, *(reversed(requests) if is_reversed else requests))
    assert take_all(queue) == requests


def test_workspace_with_many_requests_gets_its_share_only(make_queue, make_request):
    """Ten times as many requests get every other slot, and all of the free ones."""
    queue = make_queue()
    many = [make_request(workspace="aaaaaa") for _ in range(40)]
    few = [make_request(workspace="bbbbbb") for _ in range(4)]
    enqueue(queue, *many, *few)
    taken = [request.workspace for request in take_all(queue)]
    assert taken[:8].count("bbbbbb") == 4
    assert taken[8:] == ["aaaaaa"] * 36


def test_idle_workspace_does_not_save_up_slots(make_queue, make_request):
    """A workspace that comes later gets its share from then on, not for before."""
    queue = make_queue()
    enqueue(queue, *(make_request() for _ in range(30)))
    queue.take_ready("drafts", Room(free_slots=10), 0.0)
    enqueue(queue, *(make_request(workspace="bbbbbb") for _ in range(10)))
    taken = queue.take_ready("drafts", Room(free_slots=10), 0.0)
    assert [request.workspace for request in taken].count("bbbbbb") in (5, 6)


@given(
    lower=st.sets(st.integers(1, 9), min_size=1, max_size=4),
    taken_before=st.integers(0, 40),
)
def test_lower_priorities_are_not_starved(lower, taken_before):
    """Beside n others each gets a slot in any 16 * n, and urgent ones all the rest."""
    queue = AdmissionQueue(RelayLimits(), random.Random(1))
    numbers = itertools.count()

    def wait(priority, count):
        for _ in range(count):
            enqueue(queue, build_request(next(numbers), priority=priority))

    wait(0, 300)
    queue.take_ready("drafts", Room(free_slots=taken_before), 0.0)
    for priority in lower:
        wait(priority, 10)
    window = SLOTS_PER_LOWER_PRIORITY * len(lower)
    taken = [
        request.priority
        for request in queue.take_ready("drafts", Room(free_slots=3 * window), 0.0)
    ]
    for start in range(2 * window + 1):
        counts = Counter(taken[start : start + window])
        assert all(counts[priority] == 1 for priority in lower)


@given(counts=st.lists(st.integers(1, 30), min_size=2, max_size=4))
def test_workspaces_that_wait_get_equal_numbers_of_slots(counts):
    """However many requests each sends; what one leaves the others use."""
    queue = AdmissionQueue(RelayLimits(), random.Random(1))
    numbers = itertools.count()
    for workspace, count in enumerate(counts):
        for _ in range(count):
            enqueue(queue, build_request(next(numbers), workspace=str(workspace)))
    taken = Counter()
    for _ in range(sum(counts)):
        [request] = queue.take_ready("drafts", ONE, 0.0)
        taken[request.workspace] += 1
        waiting = [w for w, count in enumerate(counts) if taken[str(w)] < count]
        most = max(taken.values())
        assert all(taken[str(workspace)] >= most - 1 for workspace in waiting)


@pytest.mark.parametrize(
    ("limits", "body_bytes"),
    [
        pytest.param({"queue_requests": 3}, 10, id="count"),
        pytest.param({"queue_bytes": 100_000}, 30_000, id="bytes"),
    ],
)
def test_full_queue_refuses_the_lowest_ranked(
    make_queue, make_request, limits, body_bytes
):
    """An urgent request takes the place of the least urgent, which has not run."""
    queue = make_queue(**limits)
    waiting = [
        make_request(priority=priority, body_bytes=body_bytes) for priority in (5, 6, 7)
    ]
    enqueue(queue, *waiting)
    least = make_request(priority=8, body_bytes=body_bytes)
    decision, evicted = queue.decide(least, FULL, 0.0)
    assert decision.reason is RefusalReason.QUEUE_FULL
    assert not evicted
    urgent = make_request(priority=0, body_bytes=body_bytes)
    decision, [(refused, _)] = queue.decide(urgent, FULL, 0.0)
    assert decision == Wait(WaitReason.NO_SLOT)
    assert refused is waiting[-1]
    assert take_all(queue) == [urgent, *waiting[:-1]]
    assert not queue.body_bytes


@pytest.fixture
def busy_queue(make_queue, make_request):
    """Return a queue that gets ten slots a second, as of 1 s, with 20 requests."""
    queue = make_queue()
    enqueue(queue, *(make_request() for _ in range(30)))
    for number in range(10):
        queue.take_ready("drafts", ONE, 0.1 * (number + 1))
    return queue


def test_request_that_cannot_be_served_in_time_is_refused(busy_queue, make_request):
    """It is refused only if half of the expected wait is longer than its time."""
    hopeless = make_request(priority=6, latest_start_s=1.8)
    decision, _ = busy_queue.decide(hopeless, FULL, 1.0)
    assert decision.reason is RefusalReason.NO_TIME
    # At ten slots a second it gets the 16th or 17th, although 20 rank before it.
    assert 0.75 * 1.6 <= decision.retry_after_s <= 1.5 * 1.7
    possible = make_request(priority=6, latest_start_s=2.2)
    decision, _ = busy_queue.decide(possible, FULL, 1.0)
    assert decision == Wait(WaitReason.NO_SLOT)
    urgent = make_request(priority=0, latest_start_s=1.2)
    assert isinstance(busy_queue.decide(urgent, FULL, 1.0)[0], Wait)


def test_nothing_is_refused_while_the_rate_is_unknown(make_queue, make_request):
    """A burst fills the slots at once, which says nothing of when they are free."""
    queue = make_queue()
    late = make_request(priority=9, latest_start_s=0.5)
    decision = enqueue(queue, *(make_request() for _ in range(500)), late)
    assert isinstance(decision, Wait)


def test_waiting_request_is_refused_when_its_time_is_over(make_queue, make_request):
    """Without any free slot the last moment ends the wait, at the next check."""
    queue = make_queue()
    request = make_request(latest_start_s=1.0)
    enqueue(queue, request)
    assert not queue.take_hopeless(0.9)
    [(refused, refuse)] = queue.take_hopeless(1.1)
    assert refused is request
    assert refuse.reason is RefusalReason.NO_TIME
    assert not queue.services


def test_standing_queue_is_overload_and_sheds_what_is_late(make_queue, make_request):
    """After a target latency above the target wait, late requests are refused."""
    queue = make_queue()
    late = make_request(latest_start_s=20.0)
    continued = make_request(latest_start_s=20.0, is_continued=True)
    fresh = make_request(latest_start_s=20.0, arrived_at_s=2.4)
    enqueue(queue, late, continued)
    for now_s in (0.6, 1.5, 2.4):
        assert not queue.take_hopeless(now_s)
    enqueue(queue, fresh, now_s=2.4)
    [(refused, refuse)] = queue.take_hopeless(2.7)
    assert (refused, refuse.reason) == (late, RefusalReason.OVERLOAD)
    assert queue.states(2.7)[0].overloaded == (5,)
    urgent = make_request(priority=0, arrived_at_s=0.0)
    assert isinstance(queue.decide(urgent, FULL, 2.7)[0], Wait)


def test_burst_that_empties_is_no_overload(make_queue, make_request):
    """A short wait of one request within the interval shows that the queue empties."""
    queue = make_queue()
    enqueue(queue, *(make_request(latest_start_s=20.0) for _ in range(9)))
    queue.take_hopeless(1.0)
    brief = make_request(latest_start_s=1.9)
    enqueue(queue, brief, now_s=1.7)
    assert queue.take_ready("drafts", ONE, 1.8) == [brief]
    queue.take_hopeless(3.1)
    assert not queue.states(3.1)[0].overloaded


def test_early_return_waits_behind_the_others(busy_queue, make_request):
    """A retry before its time gains nothing; one after it ranks as any other."""
    refused = make_request(priority=6, latest_start_s=1.1, fingerprint="print")
    decision, _ = busy_queue.decide(refused, FULL, 1.0)
    assert isinstance(decision, Refuse)
    early = make_request(fingerprint="print", latest_start_s=5.0)
    assert busy_queue.decide(early, FULL, 1.1)[0] == Wait(WaitReason.EARLY_RETURN)
    later = make_request(fingerprint="other", latest_start_s=9.9)
    assert busy_queue.decide(later, FULL, 1.1)[0] == Wait(WaitReason.NO_SLOT)
    assert take_all(busy_queue, 1.2)[-1] is early
    after_s = 1.0 + decision.retry_after_s
    enqueue(busy_queue, make_request(), now_s=after_s)
    decision, _ = busy_queue.decide(early, FULL, after_s)
    assert decision == Wait(WaitReason.NO_SLOT)


def test_retry_after_is_bounded_and_shorter_for_urgent_requests(
    make_queue, make_request
):
    """Without a known rate the priority decides, within the bounds."""
    retries_s = []
    for priority in (0, 9):
        queue = make_queue(queue_requests=1)
        enqueue(queue, make_request(priority=0, is_continued=True))
        decision, _ = queue.decide(make_request(priority=priority), FULL, 0.0)
        retries_s.append(decision.retry_after_s)
    assert MIN_RETRY_S <= retries_s[0] < retries_s[1] <= MAX_RETRY_S


def test_request_bound_elsewhere_does_not_block_the_others(make_queue, make_request):
    """A free slot that the first may not use goes to the next one that may."""
    queue = make_queue()
    bound, other = make_request(is_continued=True), make_request()
    enqueue(queue, bound, other)
    room = Room(free_slots=2, may_use=lambda request: request is not bound)
    assert queue.take_ready("drafts", room, 0.0) == [other]
    assert bound.request_id in queue


def test_kept_state_is_bounded(make_queue, make_request):
    """Neither refused requests nor workspaces that were served pile up."""
    early_returns = EarlyReturns()
    for number in range(MAX_REFUSED_KEPT + 10):
        early_returns.record_refused(str(number), 1.0)
    assert len(early_returns) == MAX_REFUSED_KEPT
    level = PriorityLevel()
    level.add(-1, make_request(workspace="stays"), WaitReason.EARLY_RETURN)
    for number in range(MAX_IDLE_WORKSPACES + 100):
        request = make_request(workspace=f"{number:06x}")
        level.add(number, request, WaitReason.NO_SLOT)
        level.take(number, request, 1.0)
    assert level.kept_workspaces <= MAX_IDLE_WORKSPACES


def test_request_is_admitted_if_a_slot_is_left_for_it(make_queue, make_request):
    """A request that ranks first does not wait for those after it."""
    queue = make_queue()
    enqueue(queue, make_request())
    assert queue.decide(make_request(priority=0), ONE, 0.0)[0] == Admit()
    assert isinstance(queue.decide(make_request(priority=9), ONE, 0.0)[0], Wait)
