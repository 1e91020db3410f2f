"""One partition's log, its owner and its successor."""

import pytest

from cardamomnotch_core.journal.const import BILL_RETENTION_S
from cardamomnotch_core.journal.models import ProposalOutcome, WorkspaceTotal

from .conftest import BILLS, CLAIMS, NOW_S, LogStore, claim, done

_GRANTED, _FOUND = ProposalOutcome.GRANTED, ProposalOutcome.FOUND
_UNAVAILABLE = ProposalOutcome.UNAVAILABLE


@pytest.fixture
def store():
    """Return an empty log."""
    return LogStore()


def _owner(store, partition=CLAIMS, owner_id="a"):
    log = store.open(partition, owner_id)
    store.append(log, store.tick())
    return log


def _propose_all(store, log, proposals):
    outcomes = []
    for proposal_id, proposal in enumerate(proposals):
        outcomes.append(log.propose(proposal, proposal_id, NOW_S).outcome)
        store.append(log, store.tick())
    return outcomes


@pytest.mark.parametrize(
    ("proposals", "outcomes"),
    [
        pytest.param([claim("k", "1"), claim("k", "2")], [_GRANTED, _FOUND], id="two"),
        pytest.param(
            [claim("k", "1"), claim("k", "2", "1"), claim("k", "3", "1")],
            [_GRANTED, _GRANTED, _FOUND],
            id="replaced once",
        ),
        pytest.param(
            [claim("k", "1"), done("k", "1"), claim("k", "2", "1")],
            [_GRANTED, _GRANTED, _FOUND],
            id="done is final",
        ),
        pytest.param(
            [done("k", "1"), done("k", "1"), done("k", "2")],
            [_GRANTED, _FOUND, _FOUND],
            id="billed once",
        ),
    ],
)
def test_first_write_wins(store, proposals, outcomes):
    """Of the proposals for one key, the first that may follow holds."""
    assert _propose_all(store, _owner(store), proposals) == outcomes


def test_paused_owner_steps_down(store):
    """An owner that wakes after its successor wrote promises nothing."""
    old = _owner(store)
    old.propose(claim("k", "1"), 1, NOW_S)
    old.next_append(store.tick())
    new = _owner(store, owner_id="b")
    assert new.propose(claim("k", "2"), 1, NOW_S).outcome == _GRANTED
    assert [item.result.outcome for item in store.append(old, store.tick())] == [
        _UNAVAILABLE
    ]
    assert old.is_lost
    assert [item.result.committed for item in store.append(new, store.tick())] == [True]


def test_lost_answer_is_put_again(store):
    """An append whose answer was lost is found to stand, not written twice."""
    log = _owner(store)
    log.propose(done("k", "1"), 1, NOW_S)
    pending = log.next_append(store.tick())
    store.put(pending.sequence, pending.value)
    log.record_append_failure()
    settled = store.append(log, store.tick())
    assert [item.result.committed for item in settled] == [True]
    assert log.state.totals["crates"].requests == 1


def test_found_in_flight_is_settled_too(store):
    """Whoever finds a record in flight is answered with its commit."""
    log = _owner(store)
    log.propose(claim("k", "1"), 1, NOW_S)
    pending = log.next_append(store.tick())
    log.propose(claim("k", "2"), 2, NOW_S)
    store.put(pending.sequence, pending.value)
    assert [item.proposal_id for item in log.record_commit()] == [1, 2]


@pytest.mark.parametrize(
    ("age_s", "outcome"),
    [
        pytest.param(0.0, _GRANTED, id="new"),
        pytest.param(BILL_RETENTION_S, ProposalOutcome.EXPIRED, id="may be forgotten"),
    ],
)
def test_forgotten_key_is_never_billed_again(store, age_s, outcome):
    """An outcome older than what was forgotten is refused as expired."""
    log = _owner(store, BILLS)
    log.propose(done("k", "1"), 1, NOW_S)
    store.append(log, NOW_S + 2.0)
    now_s = NOW_S + 2 * BILL_RETENTION_S
    log.make_checkpoint(now_s)
    key = "k" if age_s else "other"
    result = log.propose(done(key, "1", age_s=2 * age_s), 2, now_s)
    assert result.outcome == outcome
    store.append(log, now_s + 2.0)
    expected = 1 if age_s else 2
    assert log.state.totals["crates"] == WorkspaceTotal(
        requests=expected, prompt_tokens=expected, completion_tokens=2 * expected
    )
