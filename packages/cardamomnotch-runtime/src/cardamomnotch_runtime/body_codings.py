"""Checks of the codings of a response body that an HTTP client removes."""

import re
from collections.abc import Sequence
from typing import Final

# The client's parser compares in ASCII; other values are bodies without chunks for it.
_FLAGS: Final = re.IGNORECASE | re.ASCII
_REMOVED_TRANSFER_CODING: Final = re.compile(r"[ \t]*(chunked|identity)[ \t]*", _FLAGS)
_NO_CONTENT_CODING: Final = re.compile(r"[ \t]*(identity)?[ \t]*", _FLAGS)


def is_transfer_plain(transfer_codings: Sequence[str]) -> bool:
    """Return whether a body has no transfer coding but chunks.

    ``transfer_codings`` are the values of all headers Transfer-Encoding.
    """
    return len(transfer_codings) <= 1 and all(
        map(_REMOVED_TRANSFER_CODING.fullmatch, transfer_codings)
    )


def is_content_plain(content_codings: Sequence[str]) -> bool:
    """Return whether a body has no content coding.

    ``content_codings`` are the values of all headers Content-Encoding.
    """
    return all(map(_NO_CONTENT_CODING.fullmatch, content_codings))
