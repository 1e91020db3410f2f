"""Constants of the inner protocol, used between the system's processes."""

from typing import Final

# Protocol version that this release writes, and the oldest that it reads.
PROTOCOL_VERSION: Final = 1
OLDEST_READABLE_VERSION: Final = 1

# Names of the header fields that describe the frame; all other header fields
# belong to the message.
ATTR_COMPATIBLE_WITH: Final = "compatible_with"
ATTR_PAYLOAD_BYTES: Final = "payload_bytes"
ATTR_PROTOCOL_VERSION: Final = "protocol_version"
ATTR_TYPE: Final = "type"

MAX_HEADER_BYTES: Final = 1_048_576 * 2
MAX_PAYLOAD_BYTES: Final = 8 * 1_048_576

CONTENT_TYPE_FRAMES: Final = "application/x-cardamomnotch-frames"

PATH_ATTEMPTS: Final = "/inner/v1/attempts"
PATH_CONFIGURATION: Final = "/inner/v1/configuration"
PATH_FENCE: Final = "/inner/v1/fence"
PATH_HEARTBEAT: Final = "/inner/v1/heartbeat"
PATH_JOURNAL: Final = "/inner/v1/journal"
PATH_OUTCOMES: Final = "/inner/v1/outcomes"
PATH_PEERS: Final = "/inner/v1/peers"
