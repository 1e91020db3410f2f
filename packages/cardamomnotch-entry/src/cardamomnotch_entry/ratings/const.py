"""Limits for the rating of answers."""

from typing import Final

# Ratings in progress at the rating service; further answers are not rated.
MAX_PENDING_RATINGS: Final = 64
# Only this many bytes from the start of an answer are rated.
MAX_RATED_ANSWER_BYTES: Final = 65_536
