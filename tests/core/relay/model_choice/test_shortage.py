"""How short upstream time and the retry budget are."""

from itertools import pairwise

import pytest

from cardamomnotch_core.relay.model_choice.const import MAX_WAIT_SHORTAGE
from cardamomnotch_core.relay.model_choice.shortage import ShortageEstimates
from cardamomnotch_core.relay.models import Share
from cardamomnotch_core.relay.rates.const import RESERVED_RETRY_SHARE
from cardamomnotch_core.relay.rates.retries import BudgetUse, RetryBudget

WAITS_PER_S = 50


@pytest.fixture
def estimates(make_route):
    """Return estimates of a service whose shortest target latency is 2 s."""
    estimates = ShortageEstimates(lambda service, now_s: BudgetUse(used=0, allowed=9))
    routes = [
        make_route("short", target_latency_s=2.0, models=("small", "large")),
        make_route("long", target_latency_s=9.0, models=("small", "large")),
    ]
    estimates.set_routes(routes)
    return estimates


def record_waits(estimates, waiting_ms, from_s, to_s):
    """Record waits, and return the shortage after each."""
    values = []
    for number in range(round((to_s - from_s) * WAITS_PER_S)):
        now_s = from_s + number / WAITS_PER_S
        estimates.record_wait("drafts", waiting_ms, now_s)
        values.append(estimates.get("drafts", now_s).value)
    return values


@pytest.mark.parametrize(
    ("waiting_ms", "expected"),
    [(0.0, 0.0), (99.0, 0.0), (300.0, 0.45), (500.0, 0.9), (5_000.0, 0.9)],
    ids=["none", "a twentieth of the target", "between", "a quarter", "far more"],
)
def test_shortage_by_wait(estimates, waiting_ms, expected):
    """The shortage follows the wait in relation to the shortest target latency."""
    values = record_waits(estimates, waiting_ms, 0.0, 10.0)
    assert values[-1] == pytest.approx(expected, abs=0.01)


@pytest.mark.parametrize(
    ("fraction", "expected"),
    [(0.0, 0.0), (0.09, 0.0), (0.215, 0.45), (0.33, 0.9), (2.0, 0.9)],
    ids=["none", "a tenth of the longest", "between", "a third", "late"],
)
def test_shortage_by_pauses(estimates, fraction, expected):
    """Streams whose events come late show a shortage without any wait.

    Prompts that are read beside them delay every event, and the longest pause of a
    stream makes it late.
    """
    for number in range(500):
        estimates.record_pause("drafts", fraction, number / WAITS_PER_S)
    shortage = estimates.get("drafts", 10.0)
    assert shortage.value == pytest.approx(expected, abs=0.01)
    assert shortage.budget_part == shortage.wait_part == 0.0


def test_shortage_rises_and_falls_gradually(estimates):
    """A change of load by no means switches all requests at once."""
    record_waits(estimates, 0.0, 0.0, 5.0)
    rising = record_waits(estimates, 800.0, 5.0, 10.0)
    falling = record_waits(estimates, 0.0, 10.0, 15.0)
    assert rising == sorted(rising)
    assert falling == sorted(falling, reverse=True)
    assert rising[-1] == pytest.approx(MAX_WAIT_SHORTAGE, abs=0.02)
    assert falling[-1] == 0.0
    for values in (rising, falling):
        steps = [abs(b - a) for a, b in pairwise(values)]
        assert max(steps) < 0.05


def test_shortage_ends_without_requests(estimates):
    """An old wait does not refuse the first request after a pause."""
    record_waits(estimates, 5_000.0, 0.0, 5.0)
    assert estimates.get("drafts", 11.0).value == pytest.approx(0.0, abs=0.01)


@pytest.mark.parametrize(
    ("used", "expected"),
    [(0, 0.0), (60, 0.0), (75, 0.5), (90, 1.0), (100, 1.0)],
    ids=["unused", "from six tenths", "between", "only the reserve", "all"],
)
def test_shortage_by_retry_budget(make_route, used, expected):
    """The shortage is full when only the part for failures is left."""
    estimates = ShortageEstimates(
        lambda service, now_s: BudgetUse(used=used, allowed=100.0)
    )
    estimates.set_routes([make_route(models=("small", "large"))])
    assert estimates.get("drafts", 0.0).value == pytest.approx(expected)


def test_deployment_without_a_retry_budget_is_not_short_of_it():
    """Where retries are never allowed, their absence changes no first model."""
    assert BudgetUse(used=0, allowed=0.0).share == 0.0


def test_escalations_leave_retries_for_failures():
    """A burst of escalations does not leave failed requests without a retry."""
    budget = RetryBudget(ratio=0.5, slack=0.0, window_s=10.0)
    for _ in range(1_000):
        budget.record_request("drafts", 0.0)
    escalations = 0
    while budget.try_spend("drafts", 0.0, reserved_share=RESERVED_RETRY_SHARE):
        escalations += 1
    allowed = budget.use("drafts", 0.0).allowed
    retries = 0
    while budget.try_spend("drafts", 0.0):
        retries += 1
    assert escalations + retries == budget.use("drafts", 0.0).used == int(allowed)
    assert retries >= int(RESERVED_RETRY_SHARE * allowed)


def test_services_that_disappear_are_forgotten(estimates, make_route):
    """What was learned of a service that no route uses is deleted."""
    record_waits(estimates, 5_000.0, 0.0, 1.0)
    shares = (Share(service="others", weight=1.0),)
    estimates.set_routes([make_route(models=("small", "large"), shares=shares)])
    record_waits(estimates, 5_000.0, 1.0, 2.0)
    assert list(estimates.services) == ["others"]
    assert estimates.get("drafts", 2.0).value == 0.0
