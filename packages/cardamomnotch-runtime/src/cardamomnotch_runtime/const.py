"""Constants of the shared parts."""

from typing import Final

EXIT_BAD_SETTINGS: Final = 2

HEADER_INNER_KEY: Final = "X-Cardamomnotch-Inner-Key"

MAX_BODY_BYTES: Final = 4 * 1_048_576
# A caller's body with its header, or one batch of the journal.
MAX_INNER_BODY_BYTES: Final = 2 * MAX_BODY_BYTES
TIMER_INTERVAL_S: Final = 1.0
# Time beyond the drain's grace that servers get to close.
SHUTDOWN_MARGIN_S: Final = 30.0
