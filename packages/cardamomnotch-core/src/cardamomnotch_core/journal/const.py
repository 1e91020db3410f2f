"""Sizes and times of the journal."""

from typing import Final

BILL_PARTITIONS: Final = 48
CLAIM_PARTITIONS: Final = 4
# Time between two appends of one partition: while somebody waits, and else.
URGENT_APPEND_INTERVAL_S: Final = 0.02
APPEND_INTERVAL_S: Final = 1.0
# How long keys are remembered after their outcome was recorded.
BILL_RETENTION_S: Final = 900.0
CLAIM_RETENTION_S: Final = 86_400.0
# Allowance for the clocks of two successive owners.
CLOCK_MARGIN_S: Final = 60.0
# Bytes of records in one append; the store takes a megabyte a value.
MAX_APPEND_BYTES: Final = 512 * 1024
# Bytes of a record in a message or log, without its answer.
RECORD_OVERHEAD_BYTES: Final = 400
MAX_CHECKPOINT_CHUNK_RECORDS: Final = 2000
# A checkpoint follows once the log has outgrown it, and at least this.
MIN_CHECKPOINT_LOG_BYTES: Final = 256 * 1024
MAX_STORED_ANSWER_BYTES: Final = 16 * 1024
RETRY_AFTER_S: Final = 2.0
KEY_DIGEST_BYTES: Final = 16
