"""Documents as changed parts against a known revision."""

from collections import deque
from collections.abc import Mapping, Sequence
from typing import Any

import attrs

from cardamomnotch_protocol.models import (
    ChangedPart,
    ConfigurationChanges,
    ConfigurationMessage,
)

from .const import MAX_CHANGED_PARTS, MAX_LOGGED_CHANGES

_Document = Mapping[str, Any]


def changed_parts(
    former: _Document, current: _Document
) -> tuple[ChangedPart, ...] | None:
    """Return what turns ``former`` into ``current``; None if it takes all.

    Parts are whole entries of a list, by name, or whole sections.
    """
    parts = list_changes(former, current)
    if len(parts) > MAX_CHANGED_PARTS:
        return None
    return parts if with_parts(former, parts) == current else None


def list_changes(former: _Document, current: _Document) -> tuple[ChangedPart, ...]:
    """Return every entry that differs, whatever the order of the lists."""
    return tuple(
        part
        for section in {**former, **current}
        for part in _section_parts(section, former.get(section), current.get(section))
    )


def _section_parts(section: str, former: Any, current: Any) -> list[ChangedPart]:
    if former == current:
        return []
    if not _is_named(former or ()) or not _is_named(current or ()):
        return [ChangedPart(section=section, value=current)]
    known, wanted = _by_name(former or ()), _by_name(current or ())
    removed = [
        ChangedPart(section=section, name=name) for name in known.keys() - wanted
    ]
    changed = [
        ChangedPart(section=section, name=name, value=entry)
        for name, entry in wanted.items()
        if known.get(name) != entry
    ]
    return removed + changed


def _is_named(entries: Any) -> bool:
    return not isinstance(entries, Mapping) and all(
        isinstance(entry, Mapping) and "name" in entry for entry in entries
    )


def _by_name(entries: Sequence[Mapping[str, Any]]) -> dict[str, Mapping[str, Any]]:
    return {entry["name"]: entry for entry in entries}


def with_parts(document: _Document, parts: Sequence[ChangedPart]) -> dict[str, Any]:
    """Return ``document`` with each part replaced, added or removed."""
    result = dict(document)
    sections = {part.section for part in parts if part.name}
    lists = {section: _by_name(result.get(section) or ()) for section in sections}
    for part in parts:
        if not part.name:
            result[part.section] = part.value
        elif part.value is None:
            lists[part.section].pop(part.name, None)
        else:
            lists[part.section][part.name] = part.value
    for section, entries in lists.items():
        result[section] = list(entries.values())
    return result


@attrs.frozen
class _LoggedChange:
    from_revision: int
    to_revision: int
    parts: tuple[ChangedPart, ...]


class ChangeLog:
    """The last changes, to bring others up from a revision they name."""

    def __init__(self) -> None:
        self._changes: deque[_LoggedChange] = deque(maxlen=MAX_LOGGED_CHANGES)

    def note(self, former: ConfigurationMessage, current: ConfigurationMessage) -> None:
        """Log the change between two messages that followed each other."""
        parts = changed_parts(former.document, current.document)
        if parts is None:
            self._changes.clear()
            return
        change = _LoggedChange(former.revision, current.revision, parts)
        self._changes.append(change)

    def changes_since(
        self, revision: int, current: ConfigurationMessage
    ) -> ConfigurationChanges | None:
        """Return what leads from ``revision`` to ``current``, if it is logged."""
        parts: list[ChangedPart] = []
        at = None
        for change in self._changes:
            if change.from_revision == revision:
                at = revision
            if at is None:
                continue
            parts = _joined(parts, change.parts)
            at = change.to_revision
        if at != current.revision or len(parts) > MAX_CHANGED_PARTS:
            return None
        return ConfigurationChanges(
            based_on=revision,
            revision=current.revision,
            change_id=current.change_id,
            digest=current.digest,
            parts=tuple(parts),
        )


def _joined(
    former: Sequence[ChangedPart], later: Sequence[ChangedPart]
) -> list[ChangedPart]:
    """Return both in order, an entry that changed twice only once.

    A removal is kept before what follows it, since an entry that comes back
    goes to the end of its list.
    """
    joined = list(former)
    last = {(part.section, part.name): index for index, part in enumerate(joined)}
    for part in later:
        index = last.get((part.section, part.name))
        if index is None or None in (part.value, joined[index].value):
            last[part.section, part.name] = len(joined)
            joined.append(part)
        else:
            joined[index] = part
    return joined


def message_from_changes(
    known: ConfigurationMessage, changes: ConfigurationChanges
) -> ConfigurationMessage | None:
    """Return the whole message, or None if ``changes`` start elsewhere.

    Its digest is checked with the document, as that of any message.
    """
    if known.revision != changes.based_on:
        return None
    return ConfigurationMessage(
        revision=changes.revision,
        change_id=changes.change_id,
        digest=changes.digest,
        document=with_parts(known.document, changes.parts),
    )
