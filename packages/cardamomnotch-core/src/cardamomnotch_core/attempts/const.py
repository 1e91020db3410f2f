"""Limits of attempts."""

from typing import Final

# How long a sidecar remembers an attempt that has ended or was fenced.
ATTEMPT_RETENTION_S: Final = 120.0
MAX_ATTEMPTS_PER_REQUEST: Final = 4
# A refusal without a time of its own names this one.
DEFAULT_RETRY_AFTER_S: Final = 1.0
