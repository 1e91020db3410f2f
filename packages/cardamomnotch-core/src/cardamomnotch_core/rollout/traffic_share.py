"""Assignment of requests to a version's traffic share."""

import zlib

_HASH_COUNT = 2**32


def is_in_share(version: str, routing_key: str, share: float) -> bool:
    """Return whether the hash of ``routing_key`` lies within ``share``.

    A key within a share remains within any larger share. The hash includes
    ``version``, so shares of different versions contain different keys.
    """
    if share >= 1:
        return True
    return zlib.crc32(f"{version}:{routing_key}".encode()) < share * _HASH_COUNT
