"""Constants of the shared runtime."""

from typing import Final

EXIT_BAD_SETTINGS: Final = 2

HEADER_INNER_KEY: Final = "X-Cardamomnotch-Inner-Key"

MAX_BODY_BYTES: Final = 4 * 1_048_576
# Limit of a body between processes: a caller's body with the header of its
# frame, or one batch of the journal.
MAX_INNER_BODY_BYTES: Final = 2 * MAX_BODY_BYTES
# Interval at which a process sends its node a timer event.
TIMER_INTERVAL_S: Final = 1.0
# Time that the servers may take to close after the drain's grace period.
SHUTDOWN_MARGIN_S: Final = 30.0
