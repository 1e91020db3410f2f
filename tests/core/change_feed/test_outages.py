"""Outages of the store, and replies that take long."""

import pytest

from cardamomnotch_core.change_feed.outages import OutageDetector

# Times at which the calls of replies were sent, and at which these arrived.
REPLIES = {
    "steady": ([(n * 0.6, n * 0.6 + 0.6) for n in range(20)], 0.0),
    "slow": ([(n * 4.2, n * 4.2 + 4.0) for n in range(20)], 0.2),
    "slow after a quick one": ([(0.0, 0.01), (0.21, 5.0), (5.2, 5.8)], 0.2),
    "outage": ([(0.0, 0.6), (10.0, 10.1)], 9.4),
    "outage after a slow reply": ([(0.0, 0.6), (0.6, 5.0), (15.0, 15.1)], 10.0),
    "late reply to an earlier call": ([(0.0, 0.6), (0.6, 1.2), (0.3, 6.0)], 0.0),
}


@pytest.mark.parametrize("is_own", [True, False], ids=["own call", "passed on"])
@pytest.mark.parametrize(("replies", "expected_s"), REPLIES.values(), ids=REPLIES)
def test_slow_replies_are_taken_for_outages(replies, expected_s, is_own):
    """Only time in which no call was answered counts."""
    detector = OutageDetector()
    record = detector.record_reply if is_own else detector.record_confirmation
    longest_s = max(record(asked, now) for asked, now in replies)
    assert longest_s == pytest.approx(expected_s)


def test_outage_is_missed_while_its_last_confirmation_is_repeated():
    """Confirmations of the same call, with other ages, do not end an outage."""
    detector = OutageDetector()
    detector.record_confirmation(0.0, 0.6)
    for number in range(30):
        assert not detector.record_confirmation(0.001 * number, 0.6 + 0.3 * number)
    assert detector.record_confirmation(10.0, 10.1) == pytest.approx(9.4)
