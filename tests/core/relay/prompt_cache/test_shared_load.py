"""What callers of loads with shared prompts get, with and without the weighing."""

import pytest
from tests.fixtures.prompt_load import create_load, play

from cardamomnotch_core.relay.prompt_cache.const import MAX_PREFIX_UPSTREAMS

# Share of the tokens read again that the weighing has to save.
MIN_SAVED = 0.25


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("hot_share", [0.0, 0.3], ids=["light skew", "one hot prefix"])
def test_weighing_saves_reads_and_no_caller_waits_longer(hot_share, seed):
    """Prompts are read again less often, and first tokens come no later."""
    case = create_load(hot_share=hot_share, seed=seed)
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
