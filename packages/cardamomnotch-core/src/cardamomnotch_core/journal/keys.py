"""Digests of request keys, and the partitions that they fall into."""

import hashlib

from .const import BILL_PARTITIONS, CLAIM_PARTITIONS, KEY_DIGEST_BYTES
from .models import PartitionId, PartitionKind

_PARTITIONS = {
    PartitionKind.BILLS: BILL_PARTITIONS,
    PartitionKind.CLAIMS: CLAIM_PARTITIONS,
}


def record_key(request_key: str, fingerprint: str = "") -> str:
    """Return the journal's key of a request.

    ``fingerprint`` is given for requests that may run again: two bodies under
    one caller's key are then two bills.
    """
    data = f"{request_key}\n{fingerprint}".encode()
    return hashlib.blake2b(data, digest_size=KEY_DIGEST_BYTES).hexdigest()


def partition_of(kind: PartitionKind, key: str) -> PartitionId:
    """Return the partition that holds ``key``."""
    return PartitionId(kind, int(key[:8], 16) % _PARTITIONS[kind])


def all_partitions() -> tuple[PartitionId, ...]:
    """Return every partition."""
    return tuple(
        PartitionId(kind, number)
        for kind, count in _PARTITIONS.items()
        for number in range(count)
    )
