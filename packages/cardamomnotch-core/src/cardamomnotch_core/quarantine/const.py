"""Times of crash attribution and quarantine."""

from typing import Final

QUARANTINE_S: Final = 600.0
# How long a request that was in flight at a crash stays a suspect.
SUSPECT_RETENTION_S: Final = 30.0
# How long other entries leave the verdict to the entry that saw the crash.
VERDICT_WAIT_S: Final = 2.0
VERDICT_RETRY_AFTER_S: Final = 1.0
# Hexadecimal digits of a body's digest in a fingerprint.
FINGERPRINT_DIGITS: Final = 32
