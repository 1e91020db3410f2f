"""Constants of the exchange with peers."""

from typing import Final

PEER_INTERVAL_S: Final = 2.0
PEER_TIMEOUT_S: Final = 1.0
# A change is told within this time, each peer at a moment of its own.
MAX_NOTIFY_DELAY_S: Final = 0.2
