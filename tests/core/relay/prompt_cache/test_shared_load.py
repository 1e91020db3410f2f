"""What callers of loads with shared prompts get, with and without the weighing."""

import pytest
from tests.fixtures.prompt_load import create_load, create_mixed_load, play

from cardamomnotch_core.relay.prompt_cache.const import MAX_PREFIX_UPSTREAMS

# Share of the tokens read again that the weighing has to save.
MIN_SAVED = 0.25


@pytest.mark.parametrize(("requests_per_s", "seed"), [(40.0, 1), (60.0, 1), (60.0, 2)])
@pytest.mark.parametrize("hot_share", [0.0, 0.3], ids=["light skew", "one hot prefix"])
def test_weighing_saves_reads_and_no_caller_waits_longer(
    hot_share, requests_per_s, seed
):
    """Prompts are read again less often, and first tokens come no later."""
    case = create_load(hot_share=hot_share, requests_per_s=requests_per_s, seed=seed)
    before, after = play(case, weighs=False), play(case, weighs=True)
    assert after.again_tokens <= (1 - MIN_SAVED) * before.again_tokens
    assert after.p90_s <= before.p90_s
    assert after.median_s <= before.median_s


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_hot_prefix_is_read_at_few_upstreams(seed):
    """A prefix of 30 % of the requests does not spread over all upstreams."""
    played = play(create_load(hot_share=0.3, seed=seed), weighs=True)
    assert 1 < played.hot_upstreams <= MAX_PREFIX_UPSTREAMS


def test_prefix_of_all_requests_is_not_held_to_few_upstreams():
    """No caller waits because few upstreams have read what all requests share."""
    case = create_load(hot_share=1.0, requests_per_s=130.0, seconds=30.0)
    before, after = play(case, weighs=False), play(case, weighs=True)
    assert after.p90_s <= before.p90_s
    assert after.median_s <= before.median_s
    assert after.hot_upstreams > 2 * MAX_PREFIX_UPSTREAMS


@pytest.mark.parametrize("upstream_tokens", [150_000, 300_000])
def test_short_memory_does_not_turn_the_weighing_into_a_loss(upstream_tokens):
    """Where not all prompts fit, callers wait no longer than without the weighing.

    A full charge for evicted parts sent prompts away from where they were cached.
    """
    case = create_load(upstream_tokens=upstream_tokens, requests_per_s=40.0)
    before, after = play(case, weighs=False), play(case, weighs=True)
    assert after.p90_s <= before.p90_s
    assert after.median_s <= before.median_s
    assert after.again_tokens <= before.again_tokens


@pytest.mark.parametrize("upstream_tokens", [250_000, 500_000])
def test_short_shared_parts_do_not_cost_callers_time(upstream_tokens):
    """Where little of a prompt is shared, as recorded, callers lose nothing."""
    case = create_mixed_load(upstream_tokens=upstream_tokens)
    before, after = play(case, weighs=False), play(case, weighs=True)
    assert after.p90_s <= before.p90_s
    assert after.median_s <= before.median_s
    assert after.again_tokens <= before.again_tokens
