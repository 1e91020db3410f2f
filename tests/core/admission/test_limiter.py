"""The limiter follows completed work and falls back on signs of overload."""

import pytest

from cardamomnotch_core.admission.limiter import ConcurrencyLimiter
from cardamomnotch_core.admission.models import (
    LimiterSettings,
    UpstreamSignal,
    WarmUpState,
)
from cardamomnotch_core.admission.signals import signal_from_call_end
from cardamomnotch_protocol.result_codes import ResultCode

_SETTINGS = LimiterSettings(max_limit=16, cold_limit=2, warm_up_completions=4)


def _fill(limiter, prefix="attempt"):
    """Admit until refused, and return the admitted ids."""
    ids = (f"{prefix}-{number}" for number in range(100))
    return [one for one in ids if limiter.admit(one, 10)]


def _complete(limiter, count):
    """Run the limiter full for ``count`` completions."""
    done = 0
    while done < count:
        for attempt_id in _fill(limiter, f"round-{done}"):
            limiter.release(attempt_id, UpstreamSignal.COMPLETED, now_s=float(done))
            done += 1


@pytest.fixture
def limiter():
    """Return a limiter that has warmed up."""
    warm = ConcurrencyLimiter(settings=_SETTINGS)
    _complete(warm, 60)
    assert warm.warm_up_state is WarmUpState.WARM
    return warm


def test_a_new_limiter_is_cautious():
    """A sidecar that has just started keeps to the cold limit."""
    assert len(_fill(ConcurrencyLimiter(settings=_SETTINGS))) == 2


@pytest.mark.parametrize(
    ("sign", "limit", "warm_up_state"),
    [
        pytest.param(UpstreamSignal.RESTARTED, 2, WarmUpState.COLD, id="restarted"),
        pytest.param(
            UpstreamSignal.OVERLOADED, 8, WarmUpState.WARMING, id="overloaded"
        ),
        pytest.param(
            UpstreamSignal.RETURNED, 4, WarmUpState.WARMING, id="back in service"
        ),
        pytest.param(UpstreamSignal.NONE, 16, WarmUpState.WARM, id="nothing told"),
    ],
)
def test_signs_lower_the_limit(limiter, sign, limit, warm_up_state):
    """Each sign leads from warm to its limit."""
    limiter.observe(sign)
    assert (limiter.load.limit, limiter.warm_up_state) == (limit, warm_up_state)


def test_repeated_overload_ends_cold(limiter):
    """Overload that goes on leads back to the cold limit."""
    for _ in range(3):
        limiter.observe(UpstreamSignal.OVERLOADED)
    assert (limiter.load.limit, limiter.warm_up_state) == (2, WarmUpState.COLD)


def test_one_overload_is_counted_once(limiter):
    """Calls admitted before a reduction do not reduce the limit again."""
    for attempt_id in _fill(limiter):
        limiter.release(attempt_id, UpstreamSignal.OVERLOADED)
    assert limiter.load.limit == 8


def test_work_of_the_former_incarnation_warms_nothing(limiter):
    """Completions admitted before the restart leave the cold limit alone."""
    old = _fill(limiter)
    limiter.observe(UpstreamSignal.RESTARTED)
    for attempt_id in old:
        limiter.release(attempt_id, UpstreamSignal.COMPLETED)
    assert (limiter.load.limit, limiter.warm_up_state) == (2, WarmUpState.COLD)


def test_idle_upstream_does_not_grow():
    """One request at a time proves nothing about many."""
    limiter = ConcurrencyLimiter(settings=_SETTINGS)
    for number in range(100):
        limiter.admit(str(number), 1)
        limiter.release(str(number), UpstreamSignal.COMPLETED)
    assert limiter.load.limit <= 3


def test_slow_first_tokens_are_overload(limiter):
    """First tokens far above the learnt latency lower the limit."""
    for number in range(100):
        limiter.admit(str(number), 1, streamed=True)
        latency_ms = 50.0 if number < 90 else 800.0
        limiter.release(str(number), UpstreamSignal.COMPLETED, 0.0, latency_ms)
    assert limiter.load.limit < 16


def test_tokens_are_limited_in_proportion():
    """Long requests fill the upstream before the slots are used."""
    settings = LimiterSettings(max_limit=8, max_tokens_in_flight=1000)
    limiter = ConcurrencyLimiter(settings=settings)
    assert [limiter.admit(str(n), 400) for n in range(3)] == [True, True, False]
    assert limiter.admit("small", 100)


def test_a_request_over_the_token_limit_runs_alone():
    """A single request larger than the limit is not refused for good."""
    settings = LimiterSettings(max_limit=8, max_tokens_in_flight=1000)
    assert ConcurrencyLimiter(settings=settings).admit("large", 5000)


def test_low_priority_leaves_slots_to_interactive():
    """Drafts never take the last slots."""
    limiter = ConcurrencyLimiter(limit=16)
    drafts = [limiter.admit(f"draft-{n}", 1, priority=1) for n in range(20)]
    assert sum(drafts) == 14
    assert limiter.admit("question", 1, priority=0)


def test_retry_after_follows_the_completion_rate(limiter):
    """Refused attempts are spread over the completions to come."""
    waits = [limiter.retry_after_s(60.0) for _ in range(5)]
    assert waits == sorted(waits)
    assert waits[0] < waits[-1]


@pytest.mark.parametrize(
    ("code", "lost", "sign"),
    [
        pytest.param(ResultCode.OK, False, UpstreamSignal.COMPLETED, id="whole"),
        pytest.param(
            ResultCode.UPSTREAM_FULL, False, UpstreamSignal.OVERLOADED, id="busy"
        ),
        pytest.param(
            ResultCode.UPSTREAM_FAILED, False, UpstreamSignal.OVERLOADED, id="5xx"
        ),
        pytest.param(
            ResultCode.UPSTREAM_FAILED, True, UpstreamSignal.RESTARTED, id="reset"
        ),
        pytest.param(ResultCode.SHORT_ANSWER, True, UpstreamSignal.RESTARTED, id="cut"),
        pytest.param(
            ResultCode.UPSTREAM_UNREACHABLE, True, UpstreamSignal.RESTARTED, id="dial"
        ),
        pytest.param(
            ResultCode.ATTEMPT_CANCELLED, False, UpstreamSignal.NONE, id="cancelled"
        ),
    ],
)
def test_ends_of_calls_are_read_as_signs(code, lost, sign):
    """A broken connection is a restart, a refusal an overload."""
    assert signal_from_call_end(code, connection_lost=lost) is sign
