"""Defaults and times of the load model."""

from typing import Final

DEFAULT_SEED: Final = 1
DEFAULT_SECONDS: Final = 20.0
# Time on the way of what entries tell each other, in seconds.
NOTICE_DELAY_S: Final = 0.01
# Time from the end of a prefill to the first token, and from there to the end of an
# answer, in seconds.
FIRST_STEP_S: Final = 0.05
DECODING_S: Final = 1.0
# Size of an upstream's prompt cache, in tokens.
CACHE_TOKENS: Final = 500_000
# Bytes of a request's body for each token of its prompt.
BYTES_PER_TOKEN: Final = 4
# Share of the answers that a model rates correctly, and its ratings of an answer that
# it takes for good and for bad.
RATING_RELIABILITY: Final = 0.8
CONFIDENT: Final = 90
UNSURE: Final = 10
# Most upstreams that a request tries.
MAX_ATTEMPTS: Final = 5
