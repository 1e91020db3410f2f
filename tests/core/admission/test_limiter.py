"""Concurrency limiter: growth by completed requests, reduction on overload."""

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
    """Admit attempts until one is refused; return the ids of the admitted."""
    ids = (f"{prefix}-{number}" for number in range(100))
    return [attempt_id for attempt_id in ids if limiter.admit(attempt_id, 10)]


def _complete(limiter, count):
    """Complete ``count`` attempts while keeping the limiter full."""
    completed = 0
    while completed < count:
        for attempt_id in _fill(limiter, f"round-{completed}"):
            limiter.release(
                attempt_id, UpstreamSignal.COMPLETED, now_s=float(completed)
            )
            completed += 1


@pytest.fixture
def limiter():
    """Return a limiter that has warmed up."""
    warm = ConcurrencyLimiter(settings=_SETTINGS)
    _complete(warm, 60)
    assert warm.warm_up_state is WarmUpState.WARM
    return warm


def test_new_limiter_starts_at_the_cold_limit():
    """A new limiter admits no more attempts than the cold limit."""
    assert len(_fill(ConcurrencyLimiter(settings=_SETTINGS))) == 2


@pytest.mark.parametrize(
    ("signal", "limit", "warm_up_state"),
    [
        pytest.param(UpstreamSignal.RESTARTED, 2, WarmUpState.COLD, id="restarted"),
        pytest.param(
            UpstreamSignal.OVERLOADED, 8, WarmUpState.WARMING, id="overloaded"
        ),
        pytest.param(
            UpstreamSignal.RETURNED, 4, WarmUpState.WARMING, id="back in service"
        ),
        pytest.param(UpstreamSignal.NONE, 16, WarmUpState.WARM, id="no signal"),
    ],
)
def test_signals_set_limit_and_state(limiter, signal, limit, warm_up_state):
    """Each signal takes a warm limiter to its limit and warm-up state."""
    limiter.observe(signal)
    assert (limiter.load.limit, limiter.warm_up_state) == (limit, warm_up_state)


def test_repeated_overload_resets_to_cold(limiter):
    """Continued overload reduces the limit to the cold limit."""
    for _ in range(3):
        limiter.observe(UpstreamSignal.OVERLOADED)
    assert (limiter.load.limit, limiter.warm_up_state) == (2, WarmUpState.COLD)


def test_one_overload_is_counted_once(limiter):
    """Calls admitted before a reduction do not reduce the limit again."""
    for attempt_id in _fill(limiter):
        limiter.release(attempt_id, UpstreamSignal.OVERLOADED)
    assert limiter.load.limit == 8


def test_completions_from_before_a_restart_are_ignored(limiter):
    """Completed attempts admitted before a restart change nothing."""
    former_attempts = _fill(limiter)
    limiter.observe(UpstreamSignal.RESTARTED)
    for attempt_id in former_attempts:
        limiter.release(attempt_id, UpstreamSignal.COMPLETED)
    assert (limiter.load.limit, limiter.warm_up_state) == (2, WarmUpState.COLD)


def test_limit_does_not_grow_while_mostly_unused():
    """The limit does not grow if only one request runs at a time."""
    limiter = ConcurrencyLimiter(settings=_SETTINGS)
    for number in range(100):
        limiter.admit(str(number), 1)
        limiter.release(str(number), UpstreamSignal.COMPLETED)
    assert limiter.load.limit <= 3


def test_slow_first_tokens_reduce_the_limit(limiter):
    """First-token latencies far above the baseline reduce the limit."""
    for number in range(100):
        limiter.admit(str(number), 1, streamed=True)
        latency_ms = 50.0 if number < 90 else 800.0
        limiter.release(str(number), UpstreamSignal.COMPLETED, 0.0, latency_ms)
    assert limiter.load.limit < 16


def test_tokens_in_flight_are_limited():
    """Long requests are refused at the token limit, while slots are free."""
    settings = LimiterSettings(max_limit=8, max_tokens_in_flight=1000)
    limiter = ConcurrencyLimiter(settings=settings)
    assert [limiter.admit(str(n), 400) for n in range(3)] == [True, True, False]
    assert limiter.admit("small", 100)


def test_a_request_over_the_token_limit_runs_alone():
    """A request larger than the token limit is admitted if no other runs."""
    settings = LimiterSettings(max_limit=8, max_tokens_in_flight=1000)
    assert ConcurrencyLimiter(settings=settings).admit("large", 5000)


def test_slots_are_reserved_for_interactive_requests():
    """Low-priority requests never take the last slots."""
    limiter = ConcurrencyLimiter(limit=16)
    admitted = [limiter.admit(f"batch-{n}", 1, priority=1) for n in range(20)]
    assert sum(admitted) == 14
    assert limiter.admit("interactive", 1, priority=0)


def test_retry_after_follows_the_completion_rate(limiter):
    """Retry delays of refused attempts increase with the number refused."""
    delays_s = [limiter.retry_after_s(60.0) for _ in range(5)]
    assert delays_s == sorted(delays_s)
    assert delays_s[0] < delays_s[-1]


@pytest.mark.parametrize(
    ("code", "connection_lost", "signal"),
    [
        pytest.param(ResultCode.OK, False, UpstreamSignal.COMPLETED, id="completed"),
        pytest.param(
            ResultCode.UPSTREAM_FULL, False, UpstreamSignal.OVERLOADED, id="busy"
        ),
        pytest.param(
            ResultCode.UPSTREAM_FAILED, False, UpstreamSignal.OVERLOADED, id="5xx"
        ),
        pytest.param(
            ResultCode.UPSTREAM_FAILED,
            True,
            UpstreamSignal.RESTARTED,
            id="connection reset",
        ),
        pytest.param(
            ResultCode.SHORT_ANSWER, True, UpstreamSignal.RESTARTED, id="truncated"
        ),
        pytest.param(
            ResultCode.UPSTREAM_UNREACHABLE,
            True,
            UpstreamSignal.RESTARTED,
            id="connection refused",
        ),
        pytest.param(
            ResultCode.ATTEMPT_CANCELLED, False, UpstreamSignal.NONE, id="cancelled"
        ),
    ],
)
def test_call_results_are_mapped_to_signals(code, connection_lost, signal):
    """A lost connection means a restart, an error response an overload."""
    assert signal_from_call_end(code, connection_lost=connection_lost) is signal
