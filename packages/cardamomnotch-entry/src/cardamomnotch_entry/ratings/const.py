"""Limits of the rating of answers."""

from typing import Final

# Answers that wait for the rating service; more are left unrated.
MAX_OPEN_RATINGS: Final = 64
# An answer that is longer is rated by its start.
MAX_RATED_ANSWER_BYTES: Final = 65_536
