"""Constants of the entry."""

from typing import Final

HEADER_CLASS: Final = "X-Cardamomnotch-Class"
HEADER_IDEMPOTENCY_KEY: Final = "Idempotency-Key"
HEADER_REQUEST_ID: Final = "X-Cardamomnotch-Request-Id"
HEADER_RESULT_CODE: Final = "X-Cardamomnotch-Result-Code"
HEADER_TIMEOUT: Final = "X-Cardamomnotch-Timeout-S"
HEADER_VERSION: Final = "X-Cardamomnotch-Version"

PATH_COMPLETIONS: Final = "/v1/chat/completions"
PATH_MODELS: Final = "/v1/models"
PATH_SERVICES: Final = "/services/{service}/{path:.*}"

# Time for the first frame of an attempt, and longest silence after it.
ATTEMPT_SILENCE_S: Final = 3.0
ATTEMPT_CONNECT_S: Final = 1.0
HEARTBEAT_CHECK_S: Final = 0.2
HEARTBEAT_TIMEOUT_S: Final = 1.0
VM_LIST_INTERVAL_S: Final = 1.0
WATCH_RENEWAL_S: Final = 20.0
WATCH_RETRY_S: Final = 1.0
DEFAULT_DRAIN_GRACE_S: Final = 300.0
DEFAULT_EXPECTED_TOKENS: Final = 256
