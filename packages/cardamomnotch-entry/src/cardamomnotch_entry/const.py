"""Constants of the entry."""

from typing import Final

HEADER_BELOW_TARGET: Final = "X-Cardamomnotch-Below-Target"
HEADER_CLASS: Final = "X-Cardamomnotch-Class"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_NOT_RUN: Final = "X-Cardamomnotch-Not-Run"
HEADER_REQUEST_ID: Final = "X-Cardamomnotch-Request-Id"
HEADER_RESULT_CODE: Final = "X-Cardamomnotch-Result-Code"
HEADER_SESSION: Final = "X-Cardamomnotch-Session"
HEADER_SESSION_REPLACED: Final = "X-Cardamomnotch-Session-Replaced"
HEADER_TIMEOUT: Final = "X-Cardamomnotch-Timeout-S"
HEADER_VERSION: Final = "X-Cardamomnotch-Version"

PATH_COMPLETIONS: Final = "/v1/chat/completions"
PATH_MODELS: Final = "/v1/models"
PATH_SERVICES: Final = "/services/{service}/{path:.*}"

# Time for the first frame of an attempt, and longest silence after it.
ATTEMPT_SILENCE_S: Final = 3.0
ATTEMPT_CONNECT_S: Final = 1.0
# Longest time without a new byte in which a lost answer is asked for again.
REATTACH_LIMIT_S: Final = 6.0
REATTACH_PAUSE_S: Final = 0.2
# Connections refused in a row after which a sidecar's process counts as gone.
MAX_REFUSED_REATTACHES: Final = 3
# Time that another caller's attempt gets to arrive at its sidecar.
REJOIN_PATIENCE_S: Final = 1.0
FENCE_LIMIT_S: Final = 3.0
HEARTBEAT_CHECK_S: Final = 0.2
HEARTBEAT_TIMEOUT_S: Final = 1.0
VM_LIST_INTERVAL_S: Final = 1.0
WATCH_RENEWAL_S: Final = 20.0
WATCH_RETRY_S: Final = 0.5
MAX_WATCH_RETRY_S: Final = 20.0
DEFAULT_DRAIN_GRACE_S: Final = 300.0
DEFAULT_EXPECTED_TOKENS: Final = 256
MAX_IDEMPOTENCY_KEY_CHARS: Final = 255
