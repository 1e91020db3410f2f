"""What the revision in force rests on."""

import pytest

from cardamomnotch_core.configuration.belief import BeliefState, ConfigurationBelief
from cardamomnotch_core.configuration.const import (
    CATCH_UP_LIMIT_S,
    ISOLATION_LIMIT_S,
    STORE_SILENT_AFTER_S,
)
from cardamomnotch_core.configuration.holder import ConfigurationHolder
from cardamomnotch_core.configuration.models import Configuration, ConfigurationRecord

_HELD = 5


def _belief(held: int = _HELD) -> ConfigurationBelief:
    holder = ConfigurationHolder()
    if held:
        record = ConfigurationRecord(
            revision=held, change_id="c", configuration=Configuration()
        )
        holder.offer(record)
    return ConfigurationBelief(holder)


@pytest.mark.parametrize(
    ("store", "peer_heard", "others", "state"),
    [
        pytest.param(5, True, 2, BeliefState.CONFIRMED, id="store and peers"),
        pytest.param(6, False, 2, BeliefState.CONFIRMED, id="store ahead"),
        pytest.param(4, True, 2, BeliefState.STORE_BEHIND, id="older copy"),
        pytest.param(0, False, 0, BeliefState.STORE_BEHIND, id="empty copy"),
        pytest.param(None, True, 2, BeliefState.FOLLOWING_PEERS, id="store down"),
        pytest.param(None, False, 0, BeliefState.ALONE, id="only entry"),
        pytest.param(None, False, 2, BeliefState.ISOLATED, id="cut off from all"),
    ],
)
def test_state_follows_from_store_and_peers(store, peer_heard, others, state):
    """Each combination of what store and peers say has its state."""
    belief = _belief()
    belief.take_peers_listed(others)
    if store is not None:
        belief.take_store_answer(store, _HELD, 0.0, 0.0)
    if peer_heard:
        belief.take_peer(0.0, 0.0)
    assert belief.advance(1.0)
    assert belief.state is state
    assert belief.may_serve(1.0)


def test_change_that_a_peer_told_first_does_not_accuse_the_store():
    """A read that began before the change was heard of is no older copy."""
    belief = _belief()
    belief.take_store_answer(4, 4, 0.0, 0.0)
    belief.advance(0.0)
    assert belief.state is BeliefState.CONFIRMED


def test_nothing_held_is_not_ready():
    """Without any revision nothing is served, whoever answers."""
    belief = _belief(held=0)
    belief.take_store_answer(0, 0, 0.0, 0.0)
    belief.advance(0.0)
    assert belief.state is BeliefState.EMPTY
    assert not belief.may_serve(0.0)


def test_isolation_is_bounded():
    """A process that hears nobody stops taking callers after the limit."""
    belief = _belief()
    belief.take_peers_listed(2)
    belief.take_store_answer(_HELD, _HELD, 0.0, 0.0)
    belief.advance(0.0)
    silent_at_s = STORE_SILENT_AFTER_S + 1.0
    belief.advance(silent_at_s)
    assert belief.state is BeliefState.ISOLATED
    assert belief.may_serve(silent_at_s + ISOLATION_LIMIT_S)
    assert not belief.may_serve(silent_at_s + ISOLATION_LIMIT_S + 0.1)


@pytest.mark.parametrize(
    ("asked_at_s", "now_s", "state"),
    [
        pytest.param(99.0, 100.1, BeliefState.CATCHING_UP, id="asked before"),
        pytest.param(100.0, 100.1, BeliefState.FOLLOWING_PEERS, id="asked since"),
        pytest.param(
            0.0, 100.1 + CATCH_UP_LIMIT_S, BeliefState.FOLLOWING_PEERS, id="limit"
        ),
    ],
)
def test_pause_ends_with_an_answer_asked_since(asked_at_s, now_s, state):
    """Answers from before the pause prove nothing after it."""
    belief = _belief()
    belief.take_peers_listed(2)
    belief.wake(100.0)
    belief.take_peer(asked_at_s, now_s)
    belief.advance(now_s)
    assert belief.state is state
