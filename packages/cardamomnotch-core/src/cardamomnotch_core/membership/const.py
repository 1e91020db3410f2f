"""Constants of membership."""

from typing import Final

ROLE_ENTRY: Final = "entry"
ROLE_UPSTREAM: Final = "upstream"

# Entries that an entry tells its revision on its own account.
PEERS_PER_ENTRY: Final = 4
# Upstreams that an entry uses for each version or service, and entries that
# use each upstream whatever else they use.
UPSTREAMS_PER_VERSION: Final = 16
ENTRIES_PER_UPSTREAM: Final = 4

HEARTBEAT_INTERVAL_S: Final = 1.0
# Answers to attempts stand in for heartbeats no longer than this.
HEARTBEAT_AT_LEAST_EVERY_S: Final = 5.0
# Heartbeats that an entry sends to all its upstreams together.
HEARTBEATS_PER_ENTRY_PER_S: Final = 12
# Heartbeats that a sidecar takes from all its entries together.
HEARTBEATS_PER_SIDECAR_PER_S: Final = 20
# An entry that a sidecar has not heard of for this long is forgotten.
ENTRY_FORGOTTEN_AFTER_S: Final = 60.0
# An upstream silent for this long gets no new work; it is longer where the
# sidecar asks for fewer heartbeats.
SILENT_AFTER_S: Final = 3.0
SILENT_AFTER_INTERVALS: Final = 3
# A gap between two timer events after which the process counts as paused.
PAUSED_AFTER_S: Final = 3.0
