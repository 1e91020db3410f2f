"""Size and time limits of the journal."""

from typing import Final

# Number of partitions of each kind.
BILL_PARTITIONS: Final = 48
CLAIM_PARTITIONS: Final = 4
# Time between two appends of one partition: with a claim waiting for its
# commit, and otherwise.
URGENT_APPEND_INTERVAL_S: Final = 0.02
APPEND_INTERVAL_S: Final = 1.0
# Time for which a request key is kept after it was last recorded.
BILL_RETENTION_S: Final = 900.0
CLAIM_RETENTION_S: Final = 86_400.0
# Allowance for the clock difference between two successive owners.
CLOCK_MARGIN_S: Final = 60.0
# Limit on the records in one append; the store accepts values up to 1 MB.
MAX_APPEND_BYTES: Final = 512 * 1024
# Estimated size of a record in a message or log, without its response body.
RECORD_OVERHEAD_BYTES: Final = 400
MAX_CHECKPOINT_CHUNK_RECORDS: Final = 2000
# A checkpoint is due once the log is larger than the last one and than this.
MIN_CHECKPOINT_LOG_BYTES: Final = 256 * 1024
# Longer response bodies are not stored, only their size.
MAX_STORED_ANSWER_BYTES: Final = 16 * 1024
# Retry time sent while the journal is unavailable.
RETRY_AFTER_S: Final = 2.0
KEY_DIGEST_BYTES: Final = 16
