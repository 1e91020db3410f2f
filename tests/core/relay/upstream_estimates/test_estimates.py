"""Tests of the estimates of the times to the first token and to the end."""

import pytest

from cardamomnotch_core.relay.const import MAX_ATTEMPT_S
from cardamomnotch_core.relay.fleet import Fleet
from cardamomnotch_core.relay.placement.const import (
    DEFAULT_SPREAD,
    RUNNING_REQUEST_DELAY_MS,
)
from cardamomnotch_core.relay.placement.first_token import (
    FirstTokenModel,
    QueueEstimate,
)
from cardamomnotch_core.relay.upstream_estimates.const import (
    MAX_ESTIMATED_MODELS,
)
from cardamomnotch_core.relay.upstream_estimates.coordinator import UpstreamEstimates

TOKENS = 10_000
# Time to the first token of the test's engines on an idle upstream.
IDLE_MS = 50 + TOKENS * 0.03


@pytest.fixture
def fleet(make_upstream):
    """Return a fleet of two upstreams."""
    fleet = Fleet()
    for number in range(2):
        fleet.put(make_upstream(f"up-{number}"), 0.0)
    return fleet


@pytest.fixture
def states(fleet):
    """Return the states of the two upstreams."""
    return list(fleet)


@pytest.fixture
def estimates():
    """Return estimates without samples."""
    return UpstreamEstimates()


@pytest.fixture
def prompt(make_facts):
    """Return the facts of a request with a prompt."""
    return make_facts(prompt_tokens=TOKENS, max_output_tokens=100)


@pytest.fixture
def run(estimates, prompt):
    """Return a function that runs one request alone, and returns when it ended."""

    def run_one(state, now_s, first_token_ms=IDLE_MS, key="key", decoding_s=0.0):
        estimates.record_sent(state, key, prompt, "m", TOKENS, now_s)
        state.in_flight += 1
        now_s += first_token_ms / 1000
        estimates.record_first_token(state, key, first_token_ms / 1000, now_s)
        now_s += decoding_s
        state.in_flight -= 1
        estimates.record_end(state, key, now_s, completed=True)
        return now_s

    return run_one


@pytest.fixture
def expected_ms(estimates, prompt):
    """Return a function that returns the expected time to the first token."""

    def expect(state, now_s):
        estimate = estimates.first_token(state, prompt, "m", TOKENS, now_s)
        return estimate.prefill_ms + estimate.waiting_ms

    return expect


@pytest.fixture
def trained_s(states, run):
    """Let both upstreams answer thirty requests; return the time then."""
    now_s = 0.0
    for _ in range(30):
        for state in states:
            now_s = run(state, now_s) + 0.1
    return now_s


def test_time_of_an_idle_upstream_is_learned(states, expected_ms, trained_s):
    """Models differ by a factor of 14 in the prefill time of a token."""
    for state in states:
        assert expected_ms(state, trained_s) == pytest.approx(IDLE_MS, rel=0.05)


@pytest.mark.parametrize("factor", [2, 4, 8], ids=str)
def test_slow_upstream_is_recognized_within_five_answers(
    states, expected_ms, run, trained_s, factor
):
    """Requests went on to upstreams that had become slow."""
    slow, other = states
    now_s = trained_s
    for _ in range(5):
        now_s = run(slow, now_s, IDLE_MS * factor)
    assert expected_ms(slow, now_s) > IDLE_MS * factor * 0.6
    assert expected_ms(other, now_s) == pytest.approx(IDLE_MS, rel=0.25)


def test_single_late_answer_has_little_effect(states, expected_ms, run, trained_s):
    """An outlier must not keep requests from an upstream."""
    now_s = run(states[0], trained_s, IDLE_MS * 10)
    assert expected_ms(states[0], now_s) < IDLE_MS * 1.35


@pytest.mark.parametrize("wait_s", [0.0, 20.0], ids=["by answers", "by time"])
def test_upstream_that_is_fast_again_is_recognized(
    states, expected_ms, run, trained_s, wait_s
):
    """An upstream that is avoided as slow gives no answers that show its recovery."""
    slow, _ = states
    now_s = trained_s
    for _ in range(8):
        now_s = run(slow, now_s, IDLE_MS * 4)
    slow_ms = expected_ms(slow, now_s)
    now_s += wait_s
    for _ in range(0 if wait_s else 6):
        now_s = run(slow, now_s)
    assert expected_ms(slow, now_s) < slow_ms * 0.7


def test_faster_upstream_has_a_factor_below_one(states, run, trained_s):
    """The estimate before knew no upstream that is faster than usual."""
    now_s = trained_s
    for _ in range(10):
        now_s = run(states[0], now_s, IDLE_MS / 2)
    assert states[0].queue.speed.factor(now_s) < 0.75


def test_frozen_upstream_is_recognized_without_an_answer(
    states, estimates, prompt, expected_ms, trained_s
):
    """A frozen upstream answers nothing: only the missing answer shows it."""
    frozen, other = states
    for number, state in enumerate(states):
        estimates.record_sent(state, number, prompt, "m", TOKENS, trained_s)
    now_s = trained_s + IDLE_MS / 1000
    estimates.record_first_token(other, 1, IDLE_MS / 1000, now_s)
    assert expected_ms(frozen, now_s + 2.0) > 1_800
    assert expected_ms(other, now_s + 2.0) < IDLE_MS * 1.2


def test_hanging_request_does_not_mark_its_upstream_as_frozen(
    states, estimates, prompt, expected_ms, run, trained_s
):
    """The answer of one request was lost, while later ones were answered."""
    state, _ = states
    estimates.record_sent(state, "hanging", prompt, "m", TOKENS, trained_s)
    now_s = trained_s + 2.0
    for _ in range(3):
        now_s = run(state, now_s)
    assert expected_ms(state, now_s + 1.0) < IDLE_MS * 1.3


def test_pending_prompts_delay_by_less_than_their_prefill(
    states, estimates, prompt, expected_ms, trained_s
):
    """Upstreams read urgent prompts first, so not all of them are ahead."""
    state, _ = states
    for number in range(4):
        estimates.record_sent_by_other(state, number, "m", IDLE_MS, trained_s)
    wait_ms = expected_ms(state, trained_s) - IDLE_MS
    assert 300 < wait_ms < 4 * 300 * 0.8


def test_other_entrys_attempts_show_the_speed(states, estimates, expected_ms):
    """An entry sends each upstream one request in some seconds only."""
    state, _ = states
    usual_ms = expected_ms(state, 0.0)
    now_s = 0.0
    for number in range(5):
        key = ("other", number)
        estimates.record_sent_by_other(state, key, "m", 260, now_s)
        now_s += 1.0
        state.queue.finish(key, now_s, answered=True)
    assert expected_ms(state, now_s) > usual_ms * 2


def test_attempts_with_lost_notices_are_forgotten(states, estimates, expected_ms):
    """The notices of an answer and of an end can be lost."""
    state, _ = states
    usual_ms = expected_ms(state, 0.0)
    for number in range(20):
        estimates.record_sent_by_other(state, ("other", number), "m", 500, 0.0)
        state.remote_in_flight["other", number] = 0.0
    assert expected_ms(state, 1.0) > usual_ms * 3
    assert expected_ms(state, MAX_ATTEMPT_S + 0.1) == pytest.approx(usual_ms)


def test_attempts_of_a_gone_entry_are_dropped(states, estimates, expected_ms):
    """A killed entry sends no notices of the ends of its attempts."""
    state, _ = states
    usual_ms = expected_ms(state, 0.0)
    for number in range(20):
        estimates.record_sent_by_other(state, ("other", number), "m", 500, 0.0)
        state.remote_in_flight["other", number] = 0.0
    state.forget_entry("other")
    assert expected_ms(state, 1.0) == pytest.approx(usual_ms)


def test_restarted_upstream_has_no_speed_and_no_load(
    fleet, states, estimates, expected_ms, run, trained_s, make_upstream
):
    """A new process under the same id has neither the old one's load nor its speed."""
    now_s = trained_s
    for _ in range(5):
        now_s = run(states[0], now_s, IDLE_MS * 4)
    estimates.record_sent_by_other(states[0], ("other", 1), "m", 5_000, now_s)
    fleet.put(make_upstream("up-0", started_ms=2), now_s)
    assert expected_ms(fleet.get("up-0"), now_s) == pytest.approx(IDLE_MS, rel=0.1)


def test_slow_version_is_compared_with_the_usual_time(
    states, estimates, prompt, expected_ms, run, trained_s
):
    """A slow version would be kept if its own slowness were expected of it."""
    slow, now_s = states[0], trained_s
    for _ in range(10):
        now_s = run(slow, now_s, IDLE_MS * 4)
    assert expected_ms(slow, now_s) > IDLE_MS * 2
    usual = estimates.record_sent(slow, "key", prompt, "m", TOKENS, now_s)
    assert usual.expected_ms == pytest.approx(IDLE_MS, rel=0.2)
    assert usual.idle_ms == pytest.approx(IDLE_MS, rel=0.2)


def test_requests_without_a_prompt_keep_their_estimate(make_facts, states, estimates):
    """Plain services are served as before: slots, and 8 ms a running request."""
    state, _ = states
    facts = make_facts()
    queue, model = QueueEstimate(), FirstTokenModel()
    slots = state.upstream.slots
    for number in range(80):
        now_s = number * 0.003
        estimate = estimates.first_token(state, facts, "", 0, now_s)
        assert estimate.prefill_ms == model.expected_ms("", 0)
        running_ms = state.in_flight * RUNNING_REQUEST_DELAY_MS
        assert estimate.waiting_ms == queue.waiting_ms(now_s, slots) + running_ms
        assert estimate.spread == DEFAULT_SPREAD
        estimates.record_sent(state, number, facts, "", 0, now_s)
        queue.start(number, model.expected_ms("", 0), now_s, slots)
        state.in_flight += 1
        if number % 3 == 0:
            estimates.record_first_token(state, number, 0.001, now_s + 0.001)
            queue.finish(number, now_s + 0.001, answered=True)
    assert not list(estimates.errors)


@pytest.mark.parametrize("decoding_s", [0.3, 3.0], ids=["fast", "slow"])
def test_time_to_the_end_is_learned(estimates, states, run, decoding_s):
    """Streams were sent to upstreams on which they could not end in time."""
    now_s = 0.0
    for _ in range(40):
        now_s = run(states[0], now_s, decoding_s=decoding_s)
    end_ms = estimates.end_ms(states[0], "m", 100, now_s)
    assert end_ms == pytest.approx(decoding_s * 1000, rel=0.25)
    assert estimates.end_ms(states[0], "m", 200, now_s) > end_ms * 1.5
    assert estimates.end_ms(states[0], "m", 0, now_s) == 0.0


def test_aborted_streams_do_not_shorten_the_time_to_the_end(
    estimates, states, prompt, run
):
    """Callers that disconnect early make answers look short."""
    state, now_s = states[0], 0.0
    for _ in range(40):
        now_s = run(state, now_s, decoding_s=3.0)
    usual_ms = estimates.end_ms(state, "m", 100, now_s)
    for key in range(20):
        estimates.record_sent(state, key, prompt, "m", TOKENS, now_s)
        now_s += IDLE_MS / 1000
        estimates.record_first_token(state, key, IDLE_MS / 1000, now_s)
        estimates.record_end(state, key, now_s, completed=False)
    assert estimates.end_ms(state, "m", 100, now_s) == pytest.approx(usual_ms, rel=0.1)


def test_memory_is_bounded(estimates, states, prompt, run):
    """Neither ended attempts nor models that are no longer used accumulate."""
    state, now_s = states[0], 0.0
    for number in range(2 * MAX_ESTIMATED_MODELS):
        estimates.first_token(state, prompt, f"model-{number}", TOKENS, now_s)
        now_s = run(state, now_s, key=number)
        estimates.record_sent(state, "lost", prompt, "m", TOKENS, now_s)
        estimates.record_end(state, "lost", now_s, completed=False)
    assert estimates.tracked_count == 0
    assert not state.queue.prompts
    assert len(estimates._models) <= MAX_ESTIMATED_MODELS


def test_error_is_tracked_by_model_and_load(estimates, states, run, trained_s):
    """Operators see at which load the expectation is wrong."""
    (error,) = estimates.errors
    assert error.model == "m"
    assert error.samples == 60
    assert error.median == pytest.approx(1.0, abs=0.25)
    assert error.spread >= 1.0
