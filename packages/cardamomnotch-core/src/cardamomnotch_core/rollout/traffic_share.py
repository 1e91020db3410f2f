"""Which requests a version in roll-out takes."""

import zlib

_HASHES = 2**32


def is_in_share(version: str, routing_key: str, share: float) -> bool:
    """Return whether ``routing_key`` falls into the first ``share`` of keys.

    A key stays in as the share grows, and each version has its own order.
    """
    if share >= 1:
        return True
    return zlib.crc32(f"{version}:{routing_key}".encode()) < share * _HASHES
