"""The log of one partition, across append failures and changes of owner."""

import pytest

from cardamomnotch_core.journal.const import BILL_RETENTION_S
from cardamomnotch_core.journal.models import ProposalOutcome, WorkspaceTotal

from .conftest import BILLS, CLAIMS, NOW_S, LogStore, claim, done

_GRANTED, _FOUND = ProposalOutcome.GRANTED, ProposalOutcome.FOUND
_UNAVAILABLE = ProposalOutcome.UNAVAILABLE


@pytest.fixture
def store():
    """Return a store with an empty log."""
    return LogStore()


def _open_log(store, partition=CLAIMS, owner_id="a"):
    log = store.open(partition, owner_id)
    store.append(log, store.advance())
    return log


def _propose_all(store, log, proposals):
    outcomes = []
    for proposal_id, proposal in enumerate(proposals):
        outcomes.append(log.propose(proposal, proposal_id, NOW_S).outcome)
        store.append(log, store.advance())
    return outcomes


@pytest.mark.parametrize(
    ("proposals", "outcomes"),
    [
        pytest.param(
            [claim("k", "1"), claim("k", "2")],
            [_GRANTED, _FOUND],
            id="second claim finds the first",
        ),
        pytest.param(
            [claim("k", "1"), claim("k", "2", "1"), claim("k", "3", "1")],
            [_GRANTED, _GRANTED, _FOUND],
            id="claim is replaced once",
        ),
        pytest.param(
            [claim("k", "1"), done("k", "1"), claim("k", "2", "1")],
            [_GRANTED, _GRANTED, _FOUND],
            id="outcome is final",
        ),
        pytest.param(
            [done("k", "1"), done("k", "1"), done("k", "2")],
            [_GRANTED, _FOUND, _FOUND],
            id="outcome is recorded once",
        ),
    ],
)
def test_first_write_wins(store, proposals, outcomes):
    """Of the proposals for one key, the first permitted one is recorded."""
    assert _propose_all(store, _open_log(store), proposals) == outcomes


def test_paused_owner_loses_the_partition(store):
    """An owner that resumes after its successor wrote commits nothing."""
    former = _open_log(store)
    former.propose(claim("k", "1"), 1, NOW_S)
    former.next_append(store.advance())
    successor = _open_log(store, owner_id="b")
    assert successor.propose(claim("k", "2"), 1, NOW_S).outcome == _GRANTED
    assert [item.result.outcome for item in store.append(former, store.advance())] == [
        _UNAVAILABLE
    ]
    assert former.is_lost
    assert [
        item.result.committed for item in store.append(successor, store.advance())
    ] == [True]


def test_append_without_answer_is_repeated(store):
    """A stored append whose answer was lost is not recorded twice."""
    log = _open_log(store)
    log.propose(done("k", "1"), 1, NOW_S)
    pending = log.next_append(store.advance())
    store.put(pending.sequence, pending.value)
    log.record_append_failure()
    resolved = store.append(log, store.advance())
    assert [item.result.committed for item in resolved] == [True]
    assert log.state.totals["crates"].requests == 1


def test_proposal_that_found_a_record_in_flight_is_resolved(store):
    """A proposal that found a record in flight is resolved by its commit."""
    log = _open_log(store)
    log.propose(claim("k", "1"), 1, NOW_S)
    pending = log.next_append(store.advance())
    log.propose(claim("k", "2"), 2, NOW_S)
    store.put(pending.sequence, pending.value)
    assert [item.proposal_id for item in log.record_commit()] == [1, 2]


@pytest.mark.parametrize(
    ("age_s", "outcome"),
    [
        pytest.param(0.0, _GRANTED, id="new"),
        pytest.param(
            BILL_RETENTION_S, ProposalOutcome.EXPIRED, id="may have been dropped"
        ),
    ],
)
def test_outcome_of_a_dropped_key_is_not_billed_again(store, age_s, outcome):
    """An outcome is expired if its record may have been dropped already."""
    log = _open_log(store, BILLS)
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
