"""Digests of request keys, and the partitions that hold them."""

import hashlib

from .const import BILL_PARTITIONS, CLAIM_PARTITIONS, KEY_DIGEST_BYTES
from .models import PartitionId, PartitionKind

_PARTITION_COUNTS = {
    PartitionKind.BILLS: BILL_PARTITIONS,
    PartitionKind.CLAIMS: CLAIM_PARTITIONS,
}


def record_key(request_key: str, fingerprint: str = "") -> str:
    """Return the journal's key of a request.

    ``fingerprint`` is given for idempotent requests: two request bodies under
    the same key of a caller are then billed separately.
    """
    data = f"{request_key}\n{fingerprint}".encode()
    return hashlib.blake2b(data, digest_size=KEY_DIGEST_BYTES).hexdigest()


def partition_of(kind: PartitionKind, key: str) -> PartitionId:
    """Return the partition that holds ``key``."""
    return PartitionId(kind, int(key[:8], 16) % _PARTITION_COUNTS[kind])


def all_partitions() -> tuple[PartitionId, ...]:
    """Return all partitions of the journal."""
    return tuple(
        PartitionId(kind, number)
        for kind, count in _PARTITION_COUNTS.items()
        for number in range(count)
    )
