"""Three-way merge of configuration documents."""

from collections.abc import Mapping
from typing import Any

import attrs

from .deltas import apply_parts, diff_documents

_Document = Mapping[str, Any]


@attrs.frozen(kw_only=True)
class Rebase:
    """A merged document, and the paths that both sides changed differently."""

    document: _Document
    conflicts: tuple[str, ...] = ()


def differing_paths(previous: _Document, current: _Document) -> tuple[str, ...]:
    """Return the paths of the items that differ, as "section[name]"."""
    return tuple(sorted(part.path for part in diff_documents(previous, current)))


def rebase(base: _Document, mine: _Document, theirs: _Document) -> Rebase:
    """Apply the changes from ``base`` to ``mine`` on top of ``theirs``.

    Where both sides changed an item, the document has the value of ``mine``;
    if the two values differ, the path is also listed as a conflict.
    """
    my_parts = {part.path: part for part in diff_documents(base, mine)}
    their_parts = {part.path: part for part in diff_documents(base, theirs)}
    conflicts = tuple(
        sorted(
            path
            for path in my_parts.keys() & their_parts
            if my_parts[path] != their_parts[path]
        )
    )
    document = apply_parts(theirs, tuple(my_parts.values()))
    return Rebase(document=document, conflicts=conflicts)
