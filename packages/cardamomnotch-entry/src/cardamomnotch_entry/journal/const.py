"""Times of the journal at an entry."""

from typing import Final

OWNER_LEASE_S: Final = 5
OWNER_RENEWAL_S: Final = 2.0
APPEND_RETRY_S: Final = 0.5
# Longest wait for the owner's answer.
PROPOSAL_TIMEOUT_S: Final = 2.0
# Longest wait of a caller's last byte for the owner's receipt.
RECEIPT_WAIT_S: Final = 0.25
# Pause after a partition without an owner; claims are refused meanwhile.
NO_OWNER_PAUSE_S: Final = 0.5
# Time between two questions whether an outcome is committed.
COMMIT_CHECK_S: Final = 1.2
# Outcomes that an entry holds; the sidecars hold theirs as well.
MAX_HELD_OUTCOMES: Final = 50_000
# Time that a planned stop gives to what is not committed yet.
FLUSH_S: Final = 3.0
