"""Limits and retention times of requests and attempts."""

from typing import Final

# How long a sidecar remembers an attempt that has ended.
ATTEMPT_RETENTION_S: Final = 120.0
MAX_ATTEMPTS_PER_REQUEST: Final = 4
# Sent with refusals that have no retry time of their own.
DEFAULT_RETRY_AFTER_S: Final = 1.0
# How often the entry reattaches a non-idempotent request to its running
# attempt after a lost connection.
MAX_REATTACHES: Final = 3
# How long a sidecar remembers an attempt that was fenced before it started.
FENCE_RETENTION_S: Final = 3600.0
# Time after which an idempotent attempt whose answer is not read is cancelled.
ORPHAN_TIMEOUT_S: Final = 10.0
# Used when neither the caller, the service nor the request class sets one.
DEFAULT_DEADLINE_S: Final = 120.0
