"""Constants of the prompt cache estimate and of the weighing."""

from typing import Final

# Size of an upstream's prompt cache if its service states no memory, in tokens.
CACHED_PROMPT_TOKENS: Final = 300_000

# Parts stored over all upstreams, and for each upstream at least.
MAX_CACHED_PARTS: Final = 20_000
MIN_PARTS_PER_UPSTREAM: Final = 16

# Time after which a prompt counts as read although no first token was reported, in
# seconds: the notice of the first token may be lost.
READ_AFTER_S: Final = 3.0

# Probability that a part whose prefill has begun and not ended spares the next request
# its prefill: that request waits for the first one, which may still fail. The wait is
# part of the placement's cost.
BEING_READ_CHANCE: Final = 0.95

# Tokens cached at an upstream for each token known to be: start notices of other
# entries may be lost.
UNSEEN_READ_FACTOR: Final = 1.05

# Tokens used more recently than a part, relative to the cache, up to which the part is
# surely cached, and from which it is surely evicted.
SURELY_CACHED_FRACTION: Final = 0.85
SURELY_EVICTED_FRACTION: Final = 1.15

# Half-life of a part's uses, in seconds.
USE_HALF_LIFE_S: Final = 20.0

# Oldest parts that are looked at to value what a prompt evicts.
MAX_EVICTED_PARTS: Final = 4

# Smoothing factor of the typical own tokens of a request.
OWN_TOKENS_STEP: Final = 0.05

# Cost of evicting a part, relative to its prefill time and its uses: the next prompt
# would evict it anyway. A higher cost keeps prompts from the upstreams that have read
# them when memory is short everywhere, so that all are read again.
EVICTED_COST: Final = 0.3

# Delay of each running request by a prefill beside it, as a share of its time:
# prompts are read in chunks between the tokens of other requests.
PREFILL_DELAY_FACTOR: Final = 0.02

# Upstreams that may have a prefix cached, unless its share of the requests needs more;
# also the number of a prefix's upstreams that are stored.
MAX_PREFIX_UPSTREAMS: Final = 8

# Prompt prefixes whose requests are counted.
MAX_PREFIXES: Final = 20_000

# Requests of other prefixes that are assumed in a share, so that the first requests
# after a start do not count as a large share.
SHARE_PRIOR_REQUESTS: Final = 50.0

# Cost of reading a prefix at a further upstream, relative to its prefill time: as many
# as may have it, and proportionally less before.
READ_AGAIN_COST: Final = 2.0
READ_BEYOND_LIMIT_COST: Final = 6.0

# Costs that differ by less, relative to the lowest or in milliseconds, are equal.
NEAR_TIE_FRACTION: Final = 0.03
NEAR_TIE_MS: Final = 4.0
