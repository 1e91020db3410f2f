"""Constants of membership."""

from typing import Final

ROLE_ENTRY: Final = "entry"
ROLE_UPSTREAM: Final = "upstream"

# Entries that an entry tells its revision on its own account.
PEERS_PER_ENTRY: Final = 4
# An upstream silent for this long gets no new work.
SILENT_AFTER_S: Final = 3.0
# A gap between two timer events after which the process counts as paused.
PAUSED_AFTER_S: Final = 3.0
