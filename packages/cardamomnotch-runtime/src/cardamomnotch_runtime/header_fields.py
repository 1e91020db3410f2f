"""Checks of HTTP header fields that are passed on to another connection."""

import re
from collections.abc import Mapping
from enum import StrEnum
from typing import Final

import attrs

# RFC 9110, sections 5.1 and 5.5; the server refuses to write other fields.
_TOKEN: Final = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL_CHARACTER: Final = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
# Bytes that are not UTF-8, as the library decodes them.
_SURROGATE: Final = re.compile(r"[\ud800-\udfff]")
# Maximum number of characters of a name that are logged.
_MAX_NAME_CHARS: Final = 80


class HeaderFault(StrEnum):
    """Why a header field cannot be passed on."""

    CONTROL_CHARACTER = "its value contains a control character"
    INVALID_NAME = "its name is not a token"
    NOT_UTF_8 = "its value is not UTF-8"


@attrs.frozen
class InvalidHeader:
    """A header field that cannot be passed on, without its value."""

    # May be truncated.
    name: str
    fault: HeaderFault

    def __str__(self) -> str:
        return f"header {self.name!r} cannot be passed on: {self.fault}"


def find_invalid_header(headers: Mapping[str, str]) -> InvalidHeader | None:
    """Return the first header field that cannot be passed on; None if all can."""
    for name, value in headers.items():
        if _CONTROL_CHARACTER.search(value):
            return InvalidHeader(name[:_MAX_NAME_CHARS], HeaderFault.CONTROL_CHARACTER)
        if not _TOKEN.fullmatch(name):
            return InvalidHeader(name[:_MAX_NAME_CHARS], HeaderFault.INVALID_NAME)
    return None


def find_invalid_text(headers: Mapping[str, str]) -> InvalidHeader | None:
    """Return the first header field that a JSON message cannot carry either."""
    for name, value in headers.items():
        if _SURROGATE.search(value):
            return InvalidHeader(name[:_MAX_NAME_CHARS], HeaderFault.NOT_UTF_8)
    return find_invalid_header(headers)
