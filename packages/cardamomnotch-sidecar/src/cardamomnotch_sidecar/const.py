"""Constants of the sidecar."""

from typing import Final

from cardamomnotch_core.admission import const as admission

CONF_ENGINE: Final = "engine"
CONF_SERVICE: Final = "service"

HEADER_REQUEST_ID: Final = "X-Request-Id"

# Silence after which a keep-alive frame is sent.
KEEP_ALIVE_S: Final = 1.0
# Time in which a reader's host must acknowledge what was sent.
READER_SILENCE_MS: Final = 5000
# Bytes of one answer that are kept for readers that come back.
MAX_ANSWER_BUFFER_BYTES: Final = 2 * 1_048_576
# How long an ended answer is kept.
ANSWER_RETENTION_S: Final = 60.0
REPORT_INTERVAL_S: Final = 0.5
DEFAULT_COLD_CONCURRENCY: Final = admission.DEFAULT_COLD_LIMIT
DEFAULT_WARM_UP_COMPLETIONS: Final = admission.DEFAULT_WARM_UP_COMPLETIONS
# Time that a planned stop gives to attempts in flight.
DEFAULT_DRAIN_GRACE_S: Final = 300.0
# Silence of the upstream after which a call is given up.
DEFAULT_SILENCE_S: Final = 30.0
