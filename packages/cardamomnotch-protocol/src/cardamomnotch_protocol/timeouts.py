"""Time limits of replies that may be large."""

from typing import Final

# The largest reply: the greatest value of the store in base64, with its key.
MAX_REPLY_BYTES: Final = 1_500_000
# Least rate at which a reply has to arrive, in bytes per second.
MIN_REPLY_BYTES_PER_S: Final = 65_536


def longest_reply_s(silence_s: float) -> float:
    """Return how long a whole reply may take, in seconds.

    A peer that is silent for ``silence_s`` is given up by a time limit for each
    pause; this one ends a reply that arrives below the least rate.
    """
    return silence_s + MAX_REPLY_BYTES / MIN_REPLY_BYTES_PER_S
