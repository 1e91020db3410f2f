"""Constants of the entry's side of the journal."""

from typing import Final

OWNER_LEASE_TTL_S: Final = 5
OWNER_LEASE_RENEWAL_INTERVAL_S: Final = 2.0
APPEND_RETRY_DELAY_S: Final = 0.5
# Longest wait for the reply of a partition's owner.
PROPOSAL_TIMEOUT_S: Final = 2.0
# Longest time that the end of a caller's answer is delayed until the owner of
# the partition acknowledges the outcome.
ACKNOWLEDGEMENT_TIMEOUT_S: Final = 0.25
# Proposals to a partition whose owner was unreachable fail without a call for
# this time, so claims are refused.
NO_OWNER_RETRY_DELAY_S: Final = 0.5
# Interval at which an entry asks whether acknowledged outcomes are committed.
COMMIT_CHECK_INTERVAL_S: Final = 1.2
# Outcomes that an entry buffers; sidecars buffer their own as well.
MAX_BUFFERED_OUTCOMES: Final = 50_000
# Longest wait at shutdown for outcomes that are not committed yet.
FLUSH_TIMEOUT_S: Final = 3.0
