"""Limit on the suspects of all requests that are held."""

import pytest

from cardamomnotch_core.relay.const import MAX_PROMPT_PARTS
from cardamomnotch_core.relay.crashes.const import CRASH_NOTICE_S
from cardamomnotch_core.relay.crashes.detection import AttemptEnd, CrashDetector
from cardamomnotch_core.relay.crashes.held_suspects import HeldSuspects
from cardamomnotch_core.relay.exceptions import RefusalError
from cardamomnotch_protocol.result_codes import ResultCode

MANY = frozenset(map(str, range(2_300)))


@pytest.fixture
def held():
    """Return a limit that admits two requests with many suspects."""
    return HeldSuspects(2 * len(MANY))


def test_requests_with_many_suspects_are_held_without_a_limit(held):
    """One too many is refused, until another has ended; ordinary ones are admitted."""
    for _ in range(2):
        held.admit(len(MANY))
    with pytest.raises(RefusalError) as refusal:
        held.admit(len(MANY))
    assert refusal.value.code is ResultCode.OVERLOADED
    assert refusal.value.retry_after_s > 0
    held.admit(MAX_PROMPT_PARTS)
    held.release(MAX_PROMPT_PARTS)
    held.release(len(MANY))
    held.admit(len(MANY))


def test_single_request_with_many_suspects_is_admitted():
    """A request is served however many suspects it has, if no other is held."""
    HeldSuspects(10).admit(len(MANY))


@pytest.mark.parametrize("is_ended", [False, True], ids=["forgotten", "process ended"])
def test_suspects_of_unanswered_requests_are_held_without_a_limit(held, is_ended):
    """They count until their upstream's end is attributed, or can no longer be."""
    detector = CrashDetector(held=held)
    for number in range(2):
        detector.record_sent(number, "process", MANY, 0.0)
        detector.record_ended(number, AttemptEnd.ABANDONED, 1.0)
    assert held.count == 2 * len(MANY)
    if is_ended:
        detector.record_process_ended("process", 2.0)
    else:
        detector.record_process_ended("other", 1.1 + CRASH_NOTICE_S)
    assert held.count == 0
