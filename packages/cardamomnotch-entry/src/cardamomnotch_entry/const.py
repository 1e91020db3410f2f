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

# Longest wait for the first frame of an attempt, and for each later one.
ATTEMPT_READ_TIMEOUT_S: Final = 3.0
ATTEMPT_CONNECT_TIMEOUT_S: Final = 1.0
# Reattaching to an attempt fails after this time without a new answer byte.
REATTACH_TIMEOUT_S: Final = 6.0
REATTACH_RETRY_DELAY_S: Final = 0.2
# Consecutive refused connections after which the sidecar process is considered
# to have ended.
MAX_REFUSED_REATTACHES: Final = 3
# When a request joins an attempt of another caller, the sidecar may not have
# received that attempt yet; "not found" is accepted only after this time.
ATTEMPT_ARRIVAL_TIMEOUT_S: Final = 1.0
FENCE_TIMEOUT_S: Final = 3.0
HEARTBEAT_CHECK_INTERVAL_S: Final = 0.2
HEARTBEAT_TIMEOUT_S: Final = 1.0
VM_LIST_INTERVAL_S: Final = 1.0
WATCH_RENEWAL_INTERVAL_S: Final = 20.0
WATCH_RETRY_DELAY_S: Final = 0.5
# Less than the time within which a change must be active everywhere.
MAX_WATCH_RETRY_DELAY_S: Final = 10.0
# A watch that lasted this long ends the back-off of earlier failures, in
# seconds.
MIN_WATCH_S: Final = 1.0
DEFAULT_DRAIN_GRACE_S: Final = 300.0
DEFAULT_EXPECTED_TOKENS: Final = 256
MAX_IDEMPOTENCY_KEY_CHARS: Final = 255
