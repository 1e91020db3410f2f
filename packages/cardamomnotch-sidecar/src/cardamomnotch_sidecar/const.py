"""Constants of the sidecar."""

from typing import Final

from cardamomnotch_core.admission import const as admission

UPSTREAM_KIND_ENGINE: Final = "engine"
UPSTREAM_KIND_SERVICE: Final = "service"

HEADER_REQUEST_ID: Final = "X-Request-Id"

# A keep-alive frame is sent to readers after this time without other frames.
KEEP_ALIVE_INTERVAL_S: Final = 1.0
# Time within which a reader's host must acknowledge sent data.
READER_ACK_TIMEOUT_MS: Final = 5000
# Bytes of one answer that are kept for readers that reconnect.
MAX_ANSWER_BUFFER_BYTES: Final = 2 * 1_048_576
# Maximum size of an upstream's response that is read completely before it is
# passed on, and of one event of a stream.
MAX_RESPONSE_BYTES: Final = 4 * 1_048_576
MAX_EVENT_BYTES: Final = 1_048_576
# Largest count in an upstream's usage or report that is taken as meant: every JSON
# reader holds it exactly.
MAX_COUNT: Final = 2**53
# Longest Retry-After of an upstream, in seconds.
MAX_RETRY_AFTER_S: Final = 3_600.0
# Time for which an answer is kept after its end.
ANSWER_RETENTION_S: Final = 60.0
# Interval at which the upstream's load report is fetched.
REPORT_INTERVAL_S: Final = 0.5
DEFAULT_COLD_CONCURRENCY: Final = admission.DEFAULT_COLD_LIMIT
DEFAULT_WARM_UP_COMPLETIONS: Final = admission.DEFAULT_WARM_UP_COMPLETIONS
# Time that a planned stop allows for attempts in flight to end.
DEFAULT_DRAIN_GRACE_S: Final = 300.0
# A call fails after this time without data from the upstream.
DEFAULT_READ_TIMEOUT_S: Final = 30.0
