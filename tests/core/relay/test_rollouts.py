"""Roll-outs: exposure, verdict, sessions, and what is reported."""

import random

import attrs
import pytest

from cardamomnotch_core.relay.fleet import Fleet
from cardamomnotch_core.relay.models import RolloutOrder
from cardamomnotch_core.relay.rollout import (
    AnswerStats,
    Rollout,
    RolloutReport,
    RolloutState,
)
from cardamomnotch_core.relay.versions import VersionSelector

ORDER = RolloutOrder(service="drafts", target="v2", duration_s=24.0)
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.15, 30
RATE_PER_S = 25


@pytest.fixture
def fleet(make_upstream):
    """Return upstreams of both versions."""
    found = Fleet()
    for number in range(4):
        found.put(make_upstream(f"old-{number}"), 0.0)
        found.put(make_upstream(f"new-{number}", version="v2"), 0.0)
    return found


@pytest.fixture
def book():
    """Return a book with one order, given at second 0."""
    found = VersionSelector()
    found.order(ORDER, 10, 0.0)
    return found


def version_of(book, fleet, facts, now_s):
    """Return the version that a request gets."""
    candidates = fleet.candidates("drafts", now_s)
    allowed = book.allowed("drafts", candidates, facts, now_s)
    (version,) = {state.upstream.version for state in allowed}
    return version


def play(bad_share, *, bad_from_s=0.0, slow=1.0, entries=5, seed=7):
    """Play a roll-out over several entries that share evidence each second.

    Returns what the new version got, what all got, and the final state.
    """
    source = random.Random(seed)
    rollouts = [Rollout(ORDER, 10, 0.0) for _ in range(entries)]
    exposed = total = 0
    state = RolloutState.IN_PROGRESS
    for tick in range(int(ORDER.duration_s * RATE_PER_S)):
        now_s = tick / RATE_PER_S
        rollout = rollouts[source.randrange(entries)]
        new = source.random() < rollout.share(now_s)
        total += 1
        exposed += new
        bad = new and now_s >= bad_from_s and source.random() < bad_share
        seconds = source.lognormvariate(0.0, 0.5) * (slow if new else 1.0)
        rollout.record_answer("v2" if new else "v1", bad, seconds)
        rollout.evaluate()
        if tick % RATE_PER_S == 0:
            reports = [found.report(now_s) for found in rollouts]
            for number, found in enumerate(rollouts):
                found.reports = {
                    str(other): report
                    for other, report in enumerate(reports)
                    if other != number
                }
            states = {found.next_state(now_s) for found in rollouts}
            if states - {RolloutState.IN_PROGRESS}:
                state = (states - {RolloutState.IN_PROGRESS}).pop()
                for found in rollouts:
                    found.state = state
    return exposed, total, state


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "trouble",
    [
        {"bad_share": 0.3},
        {"bad_share": 1.0},
        {"bad_share": 0.5, "bad_from_s": 3.0},
        {"bad_share": 0.5, "bad_from_s": 18.5},
        {"bad_share": 0.0, "slow": 8.0},
    ],
    ids=["some", "all", "late", "after the move", "slow"],
)
def test_bad_version_is_reverted_within_its_exposure(trouble, seed):
    """A bad version gets less than its bound, and goes back."""
    exposed, total, state = play(**trouble, seed=seed)
    assert state is RolloutState.REVERTED
    assert exposed <= EXPOSURE_SHARE * total + EXPOSURE_SLACK


@pytest.mark.parametrize("seed", range(5))
def test_good_version_is_completed(seed):
    """A version as good as the old one is completed in time."""
    _, _, state = play(0.0, seed=seed)
    assert state is RolloutState.COMPLETED


def test_session_keeps_its_version_in_the_first_half(book, fleet, make_facts):
    """All entries give a session the same version, and do not change it."""
    other = VersionSelector()
    other.order(ORDER, 10, 0.3)
    for number in range(50):
        facts = [
            make_facts(f"request-{number}-{turn}", session=f"session-{number}")
            for turn in range(4)
        ]
        versions = {
            version_of(found, fleet, fact, now_s)
            for found in (book, other)
            for fact, now_s in zip(facts, (0.5, 4.0, 8.0, 11.9), strict=True)
        }
        assert len(versions) == 1


@pytest.fixture
def first_moved(book, make_facts):
    """Return facts of a session that a roll-out would move first."""
    sessions = (make_facts(session=f"session-{number}") for number in range(1_000))
    return next(facts for facts in sessions if book.is_in_first_stage(facts))


def test_session_that_goes_on_is_not_moved_at_first(book, fleet, first_moved):
    """A session stays with the old version until the second stage."""
    session = first_moved.session
    old = fleet.get("old-0").upstream
    assert version_of(book, fleet, first_moved, 1.0) == "v2"
    book.sessions.record_started(old, session, 0.5)
    assert version_of(book, fleet, first_moved, 1.0) == "v1"
    book.sessions.record_ended(old, session, 3.0)
    assert version_of(book, fleet, first_moved, 7.9) == "v1"
    assert version_of(book, fleet, first_moved, 8.6) == "v2"
    book.sessions.record_started(old, session, 9.0)
    assert version_of(book, fleet, first_moved, 13.0) == "v1"
    assert version_of(book, fleet, first_moved, 0.6 * ORDER.duration_s) == "v2"


def test_session_that_began_on_the_new_version_stays_there(book, fleet, first_moved):
    """What began after the order goes on where it is."""
    new = fleet.get("new-0").upstream
    book.sessions.record_started(new, first_moved.session, 1.0)
    assert version_of(book, fleet, first_moved, 2.0) == "v2"


def test_begun_answer_goes_on_at_its_version(book, fleet, make_facts):
    """Whatever the share has become, a part of an answer binds its version."""
    for name in ("one", "two", "three"):
        facts = make_facts(name)
        for now_s in (1.0, 15.0, 20.0):
            candidates = fleet.candidates("drafts", now_s)
            for version in ("v1", "v2"):
                found = book.allowed("drafts", candidates, facts, now_s, version)
                assert {state.upstream.version for state in found} == {version}


@pytest.mark.parametrize(
    ("state", "withdrawn", "left"),
    [(RolloutState.REVERTED, "v2", "v1"), (RolloutState.COMPLETED, "v1", "v2")],
)
def test_withdrawn_version_ends_no_answer(
    book, fleet, make_facts, state, withdrawn, left
):
    """A withdrawn version gets no new work, not even the rest of an answer."""
    book.set_status("drafts", "v2", state, 11)
    candidates = fleet.candidates("drafts", 1.0)
    found = book.allowed("drafts", candidates, make_facts(), 1.0, withdrawn)
    assert {item.upstream.version for item in found} == {left}


def test_begun_answer_goes_on_elsewhere_without_its_version(book, fleet, make_facts):
    """Where its version has no upstream left, the other one goes on."""
    candidates = [
        state
        for state in fleet.candidates("drafts", 1.0)
        if state.upstream.version == "v2"
    ]
    found = book.allowed("drafts", candidates, make_facts(), 20.0, "v1")
    assert {state.upstream.version for state in found} == {"v2"}


def test_reverted_version_gets_nothing(book, fleet, make_facts):
    """After a report of "reverted", no request goes to the new version."""
    book.set_status("drafts", "v2", RolloutState.REVERTED, 11)
    versions = {
        version_of(book, fleet, make_facts(f"request-{n}"), 23.0) for n in range(50)
    }
    assert versions == {"v1"}


def test_old_report_does_not_end_a_new_order(book, fleet, make_facts):
    """A report that is older than the order belongs to an earlier one."""
    book.set_status("drafts", "v2", RolloutState.REVERTED, 9)
    assert book.get("drafts").state is RolloutState.IN_PROGRESS
    book.order(attrs.evolve(ORDER, target="v3"), 20, 30.0)
    assert book.get("drafts").order.target == "v3"


def test_completion_waits_for_the_old_version(book):
    """The old version's requests end before it is stopped."""
    rollout = book.get("drafts")
    rollout.record_answer("v2", False, 0.1)
    busy = RolloutReport(
        order_id=10, share=1.0, new=AnswerStats(), old=AnswerStats(in_flight=1)
    )
    rollout.reports["entry-b"] = busy
    assert rollout.next_state(21.0) is RolloutState.IN_PROGRESS
    rollout.reports["entry-b"] = attrs.evolve(busy, old=AnswerStats())
    assert rollout.next_state(19.0) is RolloutState.IN_PROGRESS
    assert rollout.next_state(21.0) is RolloutState.COMPLETED
    rollout.reports["entry-b"] = attrs.evolve(busy, share=0.3)
    assert rollout.next_state(21.0) is RolloutState.IN_PROGRESS
    assert rollout.next_state(23.0) is RolloutState.COMPLETED


def test_withdrawn_order_is_dropped(book):
    """An order that is deleted while it is under way counts no more."""
    book.withdraw("drafts")
    assert book.get("drafts") is None
