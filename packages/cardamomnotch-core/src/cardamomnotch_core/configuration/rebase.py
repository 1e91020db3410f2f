"""Joining changes that started from the same lists."""

from collections.abc import Mapping
from typing import Any

import attrs

from .deltas import list_changes, with_parts

_Document = Mapping[str, Any]


@attrs.frozen(kw_only=True)
class Rebase:
    """A document with both changes, or the paths where they differ."""

    document: _Document
    conflicts: tuple[str, ...] = ()


def differing_paths(former: _Document, current: _Document) -> tuple[str, ...]:
    """Return the entries that differ, as "section[name]"."""
    return tuple(sorted(part.path for part in list_changes(former, current)))


def rebase(base: _Document, mine: _Document, theirs: _Document) -> Rebase:
    """Put what ``mine`` changes in ``base`` on top of ``theirs``."""
    my_parts = {part.path: part for part in list_changes(base, mine)}
    their_parts = {part.path: part for part in list_changes(base, theirs)}
    conflicts = tuple(
        sorted(
            path
            for path in my_parts.keys() & their_parts
            if my_parts[path] != their_parts[path]
        )
    )
    document = with_parts(theirs, tuple(my_parts.values()))
    return Rebase(document=document, conflicts=conflicts)
