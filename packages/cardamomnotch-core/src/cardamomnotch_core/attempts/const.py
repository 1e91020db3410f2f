"""Limits of attempts."""

from typing import Final

# How long a sidecar remembers an attempt that has ended or was fenced.
ATTEMPT_RETENTION_S: Final = 120.0
MAX_ATTEMPTS_PER_REQUEST: Final = 4
# A refusal without a time of its own names this one.
DEFAULT_RETRY_AFTER_S: Final = 1.0
# How often a request that may not be repeated goes back to its attempt.
MAX_REJOINS: Final = 3
# How long a sidecar remembers an attempt that was fenced before its start.
FENCE_RETENTION_S: Final = 3600.0
# Time without a reader after which an idempotent attempt is cancelled.
ORPHAN_TIMEOUT_S: Final = 10.0
# Time that a request gets when neither caller nor class nor service says.
DEFAULT_DEADLINE_S: Final = 120.0
