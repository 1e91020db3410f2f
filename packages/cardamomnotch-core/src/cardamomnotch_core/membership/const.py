"""Constants of membership."""

from typing import Final

# Roles in the VM list. An entry routes callers' requests to upstreams; on each
# upstream VM a sidecar admits the requests and answers heartbeats.
ROLE_ENTRY: Final = "entry"
ROLE_UPSTREAM: Final = "upstream"

# Other entries to which an entry reports its configuration revision.
PEERS_PER_ENTRY: Final = 4
# Upstreams that an entry uses for each version or service.
UPSTREAMS_PER_VERSION: Final = 16
# Entries that use each upstream, in addition to those that have chosen it
# among their UPSTREAMS_PER_VERSION.
ENTRIES_PER_UPSTREAM: Final = 4

HEARTBEAT_INTERVAL_S: Final = 1.0
# Responses to attempts replace heartbeats for no longer than this time.
MAX_HEARTBEAT_GAP_S: Final = 5.0
# Heartbeats that an entry sends to all its upstreams together.
HEARTBEATS_PER_ENTRY_PER_S: Final = 12
# Heartbeats that a sidecar accepts from all entries together.
HEARTBEATS_PER_SIDECAR_PER_S: Final = 20
# A sidecar drops an entry that has not sent a heartbeat for this time.
ENTRY_EXPIRY_S: Final = 60.0
# An upstream that has not responded for this time gets no new work. The time
# is longer where the sidecar asks for less frequent heartbeats.
UNRESPONSIVE_AFTER_S: Final = 3.0
UNRESPONSIVE_AFTER_INTERVALS: Final = 3
# A process counts as paused if two timer events are further apart than this.
PAUSED_AFTER_S: Final = 3.0
