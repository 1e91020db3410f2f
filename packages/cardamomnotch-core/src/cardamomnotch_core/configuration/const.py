"""Constants of the configuration in force."""

from typing import Final

# The store counts as silent after this long without an answer; a watch is
# renewed more often than that.
STORE_SILENT_AFTER_S: Final = 30.0
# The same for the peers together.
PEERS_SILENT_AFTER_S: Final = 10.0
# How long an entry that hears neither store nor peer still takes callers.
ISOLATION_LIMIT_S: Final = 60.0
# How long an entry that has paused waits for anybody's answer.
CATCH_UP_LIMIT_S: Final = 10.0
# Changes that a process keeps to bring others up from.
MAX_LOGGED_CHANGES: Final = 64
# Changes larger than this travel as the whole document.
MAX_CHANGED_PARTS: Final = 64
