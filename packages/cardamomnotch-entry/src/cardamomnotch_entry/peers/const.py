"""Constants of the exchange of configuration revisions with peers."""

from typing import Final

EXCHANGE_INTERVAL_S: Final = 2.0
EXCHANGE_TIMEOUT_S: Final = 1.0
# Upper bound of the random delay before a change is announced; it spreads the
# calls of many entries over time.
MAX_NOTIFY_DELAY_S: Final = 0.2
