"""Constants of the choice of a model."""

from typing import Final

# Answers whose confidence, from 0 to 100, is below this value are retried on a
# larger model.
DEFAULT_CONFIDENCE_FLOOR: Final = 50

# Share of a smallest model's answers with low confidence, until there are answers, and
# below which it is always asked first.
DEFAULT_LOW_CONFIDENCE_SHARE: Final = 0.5
MIN_LOW_CONFIDENCE_SHARE: Final = 0.25

# Probability that the largest model's answer is good until there are answers, and how
# far a model between two others, of which there are none, is from the smaller to the
# largest: a middle model is little better than the smallest.
DEFAULT_LARGEST_CHANCE: Final = 0.95
DEFAULT_MIDDLE_POSITION: Final = 0.2

# Share of the escalations without shortage that go to a model of which there are no
# answers. With the figures above such a model never pays, so it is not asked.
DEFAULT_EXPLORED_SHARE: Final = 0.0

# Decimals to which gains of models are compared before their prices are.
GAIN_DECIMALS: Final = 2

# Fraction of the time allowed for both models that they may take on idle upstreams
# without a look at the load.
IDLE_TIME_FRACTION: Final = 0.7

# Longest expected wait at an upstream that is asked the largest model at once without
# shortage of upstream time, in milliseconds.
MAX_WAIT_OF_LARGEST_MS: Final = 60.0

# Smoothing factor of what is learned of answers, prompts and outputs.
LEARNING_STEP: Final = 0.05

# Prompt tokens relative to the mean of the route that divide sizes into classes.
SIZE_CLASS_BOUNDS: Final = (0.5, 1.5)

# Loss of a request by its size relative to the mean of its route: the part that does
# not depend on the size, and the largest relative size.
BASE_SIZE_FACTOR: Final = 0.3
MAX_SIZE_FACTOR: Final = 4.0

# Quantile of the standard normal distribution that a placement's spread is for: four
# of five observed times stay under it.
SPREAD_QUANTILE: Final = 0.8416

# Waits of the last requests, as fractions of the shortest target latency, from which
# upstream time counts as short and at which it is as short as a wait can show. Two
# models one after the other wait twice, and on idle upstreams they take about half of
# the target latency of a long prompt.
LOW_WAIT_FRACTION: Final = 0.05
HIGH_WAIT_FRACTION: Final = 0.25

# The same for the pauses within streams, as fractions of the longest pause that is
# still on time: the longest pause of a stream is about three times its mean.
LOW_PAUSE_FRACTION: Final = 0.1
HIGH_PAUSE_FRACTION: Final = 0.33

# Largest shortage that waits and pauses show. Both are estimates, so that they alone
# never stop all escalations.
MAX_WAIT_SHORTAGE: Final = 0.9

# Time constant with which waits and pauses are smoothed, in seconds, and the least
# weight that their mean has: one long wait alone is no shortage.
WAIT_SMOOTHING_S: Final = 1.0
MIN_WAIT_WEIGHT: Final = 2.0

# Used share of the retry budget from which it counts as short.
LOW_BUDGET_SHARE: Final = 0.6

# Time for which a wish for a larger model counts as demand, in seconds, and number of
# wishes stored for each service.
DEMAND_WINDOW_S: Final = 10.0
MAX_WISHES: Final = 256
