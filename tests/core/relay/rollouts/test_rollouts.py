"""Tests of rollouts: exposure, bad versions, sessions and reports."""

import heapq
import random

import attrs
import pytest

from cardamomnotch_core.relay.fleet import Fleet
from cardamomnotch_core.relay.models import RolloutOrder
from cardamomnotch_core.relay.rollouts.rollout import (
    AnswerStats,
    Rollout,
    RolloutReport,
    RolloutState,
)
from cardamomnotch_core.relay.rollouts.versions import VersionSelector

from tests.fixtures.positions import at

ORDER = RolloutOrder(service="drafts", target="v2", duration_s=24.0)
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.15, 30
RATE_PER_S = 25
# Expected time to the first byte; with the margin that is added to it, a
# second.
EXPECTED_S = 0.95


@pytest.fixture
def fleet(make_upstream):
    """Return a fleet with upstreams of both versions."""
    fleet = Fleet()
    for number in range(4):
        fleet.put(make_upstream(f"old-{number}"), 0.0)
        fleet.put(make_upstream(f"new-{number}", version="v2"), 0.0)
    return fleet


@pytest.fixture
def selector():
    """Return a version selector with one rollout, ordered at second 0."""
    selector = VersionSelector()
    selector.order(ORDER, at(10), 0.0)
    return selector


def version_of(selector, fleet, facts, now_s):
    """Return the version that a request is sent to."""
    candidates = fleet.candidates("drafts", now_s)
    allowed = selector.allowed("drafts", candidates, facts, now_s)
    (version,) = {state.upstream.version for state in allowed}
    return version


def simulate_rollout(bad_share, *, bad_from_s=0.0, slowdown=1.0, entries=5, seed=7):
    """Simulate a rollout by several entries that exchange reports each second.

    Returns the number of requests to the new version, the number of all
    requests and the final state.
    """
    source = random.Random(seed)
    rollouts = [Rollout(ORDER, 10, 0.0) for _ in range(entries)]
    exposed = total = 0
    state = RolloutState.IN_PROGRESS
    for step in range(int(ORDER.duration_s * RATE_PER_S)):
        now_s = step / RATE_PER_S
        rollout = rollouts[source.randrange(entries)]
        new = source.random() < rollout.share(now_s)
        total += 1
        exposed += new
        bad = new and now_s >= bad_from_s and source.random() < bad_share
        first_byte_s = source.lognormvariate(0.0, 0.5) * (slowdown if new else 1.0)
        version = "v2" if new else "v1"
        rollout.record_sent(step, version, EXPECTED_S, now_s)
        if not bad:
            rollout.record_first_byte(step, now_s + first_byte_s)
        rollout.record_answer(version, bad)
        rollout.record_ended(step, now_s)
        rollout.evaluate(now_s)
        if step % RATE_PER_S == 0:
            _exchange_reports(rollouts, now_s)
            states = {rollout.next_state(now_s) for rollout in rollouts}
            if states - {RolloutState.IN_PROGRESS}:
                state = (states - {RolloutState.IN_PROGRESS}).pop()
                for rollout in rollouts:
                    rollout.state = state
    return exposed, total, state


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "fault",
    [
        {"bad_share": 0.3},
        {"bad_share": 1.0},
        {"bad_share": 0.5, "bad_from_s": 3.0},
        {"bad_share": 0.5, "bad_from_s": 18.5},
        {"bad_share": 0.0, "slowdown": 8.0},
    ],
    ids=["some", "all", "late", "after the move", "slow"],
)
def test_bad_version_is_reverted_within_its_exposure(fault, seed):
    """A bad version is reverted and stays within its exposure limit."""
    exposed, total, state = simulate_rollout(**fault, seed=seed)
    assert state is RolloutState.REVERTED
    assert exposed <= EXPOSURE_SHARE * total + EXPOSURE_SLACK


@attrs.define(order=True)
class PendingAnswer:
    """An answer to the attempt ``key`` that arrives at ``due_s``."""

    due_s: float
    key: int
    rollout: Rollout = attrs.field(order=False)
    version: str = attrs.field(order=False)


def simulate_answer_times(
    slow_share, slowdown, *, seed, rate_per_s=20.0, duration_s=15.0, entries=5
):
    """Simulate a rollout whose new version answers some requests slowly.

    An answer is known when it arrives: expected times are 0.1 to 0.9 s. The
    entries exchange reports each second. Returns the number of requests to the
    new version, the number of all requests and the final state.
    """
    source = random.Random(seed)
    order = attrs.evolve(ORDER, duration_s=duration_s)
    rollouts = [Rollout(order, 10, 0.0) for _ in range(entries)]
    pending = []
    exposed = total = 0
    for step in range(int(duration_s * rate_per_s)):
        now_s = step / rate_per_s
        while pending and pending[0].due_s <= now_s:
            answer = heapq.heappop(pending)
            answer.rollout.record_first_byte(answer.key, answer.due_s)
            answer.rollout.record_answer(answer.version, False)
            answer.rollout.record_ended(answer.key, answer.due_s)
        rollout = rollouts[source.randrange(entries)]
        is_new = source.random() < rollout.share(now_s)
        total += 1
        exposed += is_new
        ratio = source.lognormvariate(-0.5, 0.35)
        if is_new and source.random() < slow_share:
            ratio *= slowdown
        version = "v2" if is_new else "v1"
        expected_s = source.uniform(0.05, 0.85)
        rollout.record_sent(step, version, expected_s, now_s)
        due_s = now_s + ratio * (expected_s + 0.05)
        heapq.heappush(pending, PendingAnswer(due_s, step, rollout, version))
        if step % rate_per_s == 0:
            _exchange_reports(rollouts, now_s)
        for rollout in rollouts:
            state = rollout.next_state(now_s)
            if state is not RolloutState.IN_PROGRESS:
                return exposed, total, state
    return exposed, total, RolloutState.IN_PROGRESS


def _exchange_reports(rollouts, now_s):
    reports = [rollout.report(now_s) for rollout in rollouts]
    for number, rollout in enumerate(rollouts):
        rollout.reports = {
            str(other): report
            for other, report in enumerate(reports)
            if other != number
        }


@pytest.mark.parametrize(
    ("slow_share", "slowdown"),
    [(0.5, 8.0), (0.5, 4.0), (0.5, 3.0), (0.3, 8.0), (1.0, 3.0)],
)
def test_version_with_some_slow_answers_is_not_kept(slow_share, slowdown):
    """A version that answers some requests slowly is reverted in time."""
    for seed in range(20):
        exposed, total, state = simulate_answer_times(slow_share, slowdown, seed=seed)
        assert state is RolloutState.REVERTED, seed
        assert exposed <= EXPOSURE_SHARE * total + EXPOSURE_SLACK, seed


@pytest.mark.parametrize("rate_per_s", [20.0, 60.0])
def test_version_that_shows_nothing_bad_stays_within_its_exposure(rate_per_s):
    """The new version's total share stays within its limit without evidence."""
    rollout = Rollout(ORDER, 10, 0.0)
    steps = range(int(ORDER.duration_s * rate_per_s))
    exposed = sum(rollout.share(step / rate_per_s) for step in steps)
    assert exposed <= EXPOSURE_SHARE * len(steps) + EXPOSURE_SLACK


def test_version_with_usual_answer_times_is_kept():
    """A version whose answers take as long as the old one's is completed."""
    for seed in range(100):
        _, _, state = simulate_answer_times(0.0, 1.0, seed=seed)
        assert state is RolloutState.COMPLETED, seed


@pytest.mark.parametrize("seed", range(5))
def test_good_version_is_completed(seed):
    """The rollout of a version as good as the old one is completed in time."""
    _, _, state = simulate_rollout(0.0, seed=seed)
    assert state is RolloutState.COMPLETED


def test_session_keeps_its_version_in_the_first_stage(selector, fleet, make_facts):
    """All entries send a session to the same version throughout the stage."""
    other = VersionSelector()
    other.order(ORDER, at(10), 0.3)
    for number in range(50):
        facts = [
            make_facts(f"request-{number}-{turn}", session=f"session-{number}")
            for turn in range(4)
        ]
        versions = {
            version_of(each_selector, fleet, fact, now_s)
            for each_selector in (selector, other)
            for fact, now_s in zip(facts, (0.5, 4.0, 8.0, 11.9), strict=True)
        }
        assert len(versions) == 1


@pytest.fixture
def first_stage_facts(selector, make_facts):
    """Return a request of a session that the first rollout stage moves."""
    sessions = (make_facts(session=f"session-{number}") for number in range(1_000))
    return next(facts for facts in sessions if selector.is_in_first_stage(facts))


def test_active_session_is_not_moved_in_the_first_stage(
    selector, fleet, first_stage_facts
):
    """An active session stays on the old version until the second stage."""
    session = first_stage_facts.session
    old = fleet.get("old-0").upstream
    assert version_of(selector, fleet, first_stage_facts, 1.0) == "v2"
    selector.sessions.record_started(old, session, 0.5)
    assert version_of(selector, fleet, first_stage_facts, 1.0) == "v1"
    selector.sessions.record_ended(old, session, 3.0)
    assert version_of(selector, fleet, first_stage_facts, 7.9) == "v1"
    assert version_of(selector, fleet, first_stage_facts, 8.6) == "v2"
    selector.sessions.record_started(old, session, 9.0)
    assert version_of(selector, fleet, first_stage_facts, 13.0) == "v1"
    assert (
        version_of(selector, fleet, first_stage_facts, 0.6 * ORDER.duration_s) == "v2"
    )


def test_session_that_began_on_the_new_version_stays_there(
    selector, fleet, first_stage_facts
):
    """A session that started on the new version stays on it."""
    new = fleet.get("new-0").upstream
    selector.sessions.record_started(new, first_stage_facts.session, 1.0)
    assert version_of(selector, fleet, first_stage_facts, 2.0) == "v2"


def test_started_answer_stays_on_its_version(selector, fleet, make_facts):
    """A partly sent answer is continued by its version, whatever the share."""
    for name in ("one", "two", "three"):
        facts = make_facts(name)
        for now_s in (1.0, 15.0, 20.0):
            candidates = fleet.candidates("drafts", now_s)
            for version in ("v1", "v2"):
                allowed = selector.allowed("drafts", candidates, facts, now_s, version)
                assert {state.upstream.version for state in allowed} == {version}


@pytest.mark.parametrize(
    ("state", "withdrawn", "remaining"),
    [(RolloutState.REVERTED, "v2", "v1"), (RolloutState.COMPLETED, "v1", "v2")],
)
def test_withdrawn_version_does_not_finish_answers(
    selector, fleet, make_facts, state, withdrawn, remaining
):
    """A withdrawn version gets no new requests, nor the rest of an answer."""
    selector.set_status("drafts", "v2", state, at(11))
    candidates = fleet.candidates("drafts", 1.0)
    allowed = selector.allowed("drafts", candidates, make_facts(), 1.0, withdrawn)
    assert {item.upstream.version for item in allowed} == {remaining}


def test_started_answer_moves_if_its_version_has_no_upstream(
    selector, fleet, make_facts
):
    """The other version continues an answer if its own has no upstream."""
    candidates = [
        state
        for state in fleet.candidates("drafts", 1.0)
        if state.upstream.version == "v2"
    ]
    allowed = selector.allowed("drafts", candidates, make_facts(), 20.0, "v1")
    assert {state.upstream.version for state in allowed} == {"v2"}


def test_reverted_version_gets_nothing(selector, fleet, make_facts):
    """A new version gets nothing after its rollout is reported as reverted."""
    selector.set_status("drafts", "v2", RolloutState.REVERTED, at(11))
    versions = {
        version_of(selector, fleet, make_facts(f"request-{n}"), 23.0) for n in range(50)
    }
    assert versions == {"v1"}


def test_report_older_than_the_order_is_ignored(selector, fleet, make_facts):
    """A report written before the order belongs to an earlier order."""
    selector.set_status("drafts", "v2", RolloutState.REVERTED, at(9))
    assert selector.get("drafts").state is RolloutState.IN_PROGRESS
    selector.order(attrs.evolve(ORDER, target="v3"), at(20), 30.0)
    assert selector.get("drafts").order.target == "v3"


def test_versions_are_divided_once_until_an_upstream_changes(
    selector, fleet, make_facts, make_upstream
):
    """Requests of a rollout do not each look at all upstreams of a service."""

    def allowed_at(now_s):
        candidates = fleet.candidates("drafts", now_s)
        facts = [make_facts(f"r{number}") for number in range(50)]
        found = [selector.allowed("drafts", candidates, one, now_s) for one in facts]
        return {id(states): states for states in found}

    before = allowed_at(14.0)
    assert len(before) == 2
    assert allowed_at(14.1).keys() == before.keys()
    fleet.put(make_upstream("new-4", version="v2"), 14.2)
    sizes = sorted(len(states) for states in allowed_at(14.2).values())
    assert sizes == [4, 5]


@pytest.mark.parametrize("is_reported", [True, False])
def test_reverted_version_is_not_the_old_one_of_the_next_rollout(
    selector, fleet, make_facts, make_upstream, is_reported
):
    """A version that was reverted gets no requests while another one is rolled out."""
    if is_reported:
        selector.set_status("drafts", "v2", RolloutState.REVERTED, at(11))
    else:
        selector.get("drafts").is_bad = True
    selector.order(attrs.evolve(ORDER, target="v3"), at(20), 5.0)
    fleet.put(make_upstream("newer", version="v3"), 5.0)
    versions = {
        version_of(selector, fleet, make_facts(f"r{number}"), 5.1)
        for number in range(300)
    }
    assert versions == {"v1", "v3"}
    selector.order(attrs.evolve(ORDER, target="v2"), at(30), 6.0)
    versions = {
        state.upstream.version
        for number in range(300)
        for state in selector.allowed(
            "drafts", fleet.candidates("drafts", 6.1), make_facts(f"r{number}"), 6.1
        )
    }
    assert "v2" in versions


def test_completion_waits_for_the_old_version(selector):
    """Completion waits until the old version is idle, or for a deadline."""
    rollout = selector.get("drafts")
    rollout.record_answer("v2", False)
    busy_report = RolloutReport(
        order_id=at(10), share=1.0, new=AnswerStats(), old=AnswerStats(in_flight=1)
    )
    rollout.reports["entry-b"] = busy_report
    assert rollout.next_state(21.0) is RolloutState.IN_PROGRESS
    rollout.reports["entry-b"] = attrs.evolve(busy_report, old=AnswerStats())
    assert rollout.next_state(19.0) is RolloutState.IN_PROGRESS
    assert rollout.next_state(21.0) is RolloutState.COMPLETED
    rollout.reports["entry-b"] = attrs.evolve(busy_report, share=0.3)
    assert rollout.next_state(21.0) is RolloutState.IN_PROGRESS
    assert rollout.next_state(23.0) is RolloutState.COMPLETED


def test_withdrawn_order_is_dropped(selector):
    """A rollout in progress ends when its order is deleted."""
    selector.withdraw("drafts")
    assert selector.get("drafts") is None


def _send_and_answer(rollout, version, ratios, now_s):
    for number, ratio in enumerate(ratios):
        key = (version, number)
        rollout.record_sent(key, version, EXPECTED_S, now_s - ratio)
        rollout.record_first_byte(key, now_s)
        rollout.record_answer(version, False)
        rollout.record_ended(key, now_s)


def test_answers_that_are_overdue_show_a_slow_version(selector):
    """Attempts without a first byte count with the time that they have waited."""
    rollout = selector.get("drafts")
    _send_and_answer(rollout, "v1", [0.6] * 100, 1.0)
    for number in range(8):
        rollout.record_sent(number, "v2", EXPECTED_S, 1.0)
    assert not rollout.evaluate(1.9)
    assert rollout.evaluate(4.0)


def test_abandoned_attempts_show_a_slow_version(selector):
    """Attempts that end overdue without a first byte count as slow."""
    rollout = selector.get("drafts")
    _send_and_answer(rollout, "v1", [0.6] * 100, 1.0)
    for number in range(8):
        rollout.record_sent(number, "v2", EXPECTED_S, 1.0)
        rollout.record_ended(number, 4.0)
    assert rollout.evaluate(4.0)
    new, _ = rollout.combined_stats(4.0)
    assert (new.in_flight, new.times.total) == (0, 8)


def test_suspect_version_is_held_back_and_not_completed(selector):
    """The share of a suspect version shrinks; it is reverted at the deadline."""
    rollout = selector.get("drafts")
    _send_and_answer(rollout, "v1", [0.6] * 100, 1.0)
    _send_and_answer(rollout, "v2", [0.6] * 20 + [4.0] * 3, 1.0)
    assert not rollout.evaluate(19.0)
    assert rollout.is_suspect
    assert rollout.share(19.0) == 2.0 * EXPOSURE_SHARE
    assert rollout.share(14.0) < EXPOSURE_SHARE
    assert rollout.next_state(21.0) is RolloutState.IN_PROGRESS
    assert rollout.next_state(23.0) is RolloutState.REVERTED


def test_attempts_from_before_the_order_are_not_counted(selector):
    """The end of an attempt that began before the order changes no count."""
    rollout = selector.get("drafts")
    rollout.record_sent("later", "v1", EXPECTED_S, 1.0)
    rollout.record_ended("earlier", 2.0)
    _, old = rollout.combined_stats(2.0)
    assert old.in_flight == 1


@pytest.mark.parametrize(
    ("is_deleted", "era", "state"),
    [
        (False, 2, RolloutState.REVERTED),
        (True, 2, RolloutState.IN_PROGRESS),
        (False, 1, RolloutState.IN_PROGRESS),
    ],
    ids=["restored", "deleted and ordered again", "ordered again"],
)
def test_order_of_a_restored_store_starts_anew_only_if_it_was_deleted(
    selector, is_deleted, era, state
):
    """An order that a restored store has again goes on as its rollout had ended."""
    order = attrs.evolve(ORDER, service="other")
    selector.order(order, at(10, 1), 0.0)
    selector.set_status("other", "v2", RolloutState.REVERTED, at(11, 1))
    assert selector.get("other").state is RolloutState.REVERTED
    if is_deleted:
        selector.withdraw("other")
    selector.order(order, at(12 if era == 1 else 5, era), 1.0)
    assert selector.get("other").state is state


def test_older_state_that_arrives_late_replaces_the_newest_one(selector):
    """Of two states of a rollout the one that was written later counts."""
    order = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
    selector.set_status("drafts", "v2", RolloutState.REVERTED, at(12))
    selector.set_status("drafts", "v2", RolloutState.IN_PROGRESS, at(11))
    selector.order(order, at(10), 0.0)
    assert selector.get("drafts").state is RolloutState.REVERTED
