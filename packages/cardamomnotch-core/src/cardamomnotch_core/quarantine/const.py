"""Times and sizes of crash attribution and quarantine."""

from typing import Final

# How long a request that has crashed upstreams is refused.
QUARANTINE_S: Final = 600.0
# How long a prompt part that was answered is not suspected.
ANSWER_RETENTION_S: Final = 60.0
# Number of answered prompt parts that an entry keeps.
MAX_ANSWERED_PARTS: Final = 10_000
# How long a request that was in flight at a crash stays a suspect.
SUSPECT_RETENTION_S: Final = 30.0
# How long other entries wait for the entry whose request was in flight at a
# crash to attribute it.
ATTRIBUTION_WAIT_S: Final = 2.0
# Retry time sent with refusals of suspects that may not run yet.
SUSPECT_RETRY_AFTER_S: Final = 1.0
# Hexadecimal digits of the request body's digest in a fingerprint key.
FINGERPRINT_DIGITS: Final = 32
