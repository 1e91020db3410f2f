"""Constants of configuration distribution."""

from typing import Final

# The store counts as unresponsive after this time without a response. Watches
# of the store are renewed more often than that.
STORE_TIMEOUT_S: Final = 30.0
# All other entries together count as unresponsive after this time without a
# response from any of them.
PEERS_TIMEOUT_S: Final = 10.0
# How long an entry that reaches neither the store nor another entry continues
# to accept callers' requests.
MAX_ISOLATION_S: Final = 60.0
# How long an entry that was paused waits for the store or another entry to
# confirm its revision.
CATCH_UP_TIMEOUT_S: Final = 10.0
# Configuration changes that a process keeps, to send other processes the
# difference from an older revision.
MAX_LOGGED_CHANGES: Final = 64
# A change of more parts than this is sent as the whole document.
MAX_CHANGED_PARTS: Final = 64
