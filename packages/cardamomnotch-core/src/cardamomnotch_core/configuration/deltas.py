"""Differences between configuration documents of two revisions."""

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


def exact_diff(
    previous: _Document, current: _Document
) -> tuple[ChangedPart, ...] | None:
    """Return the parts that turn ``previous`` into exactly ``current``.

    A part is one named item of a section, or a whole section. Returns None if
    there are too many parts or they do not restore the order of the items; the
    whole document has to be sent then.
    """
    parts = diff_documents(previous, current)
    if len(parts) > MAX_CHANGED_PARTS:
        return None
    return parts if apply_parts(previous, parts) == current else None


def diff_documents(previous: _Document, current: _Document) -> tuple[ChangedPart, ...]:
    """Return every part that differs; the order of named items is ignored."""
    return tuple(
        part
        for section in {**previous, **current}
        for part in _diff_section(section, previous.get(section), current.get(section))
    )


def _diff_section(section: str, previous: Any, current: Any) -> list[ChangedPart]:
    if previous == current:
        return []
    if not _is_named_list(previous or ()) or not _is_named_list(current or ()):
        return [ChangedPart(section=section, value=current)]
    old_items, new_items = _items_by_name(previous or ()), _items_by_name(current or ())
    removed = [
        ChangedPart(section=section, name=name) for name in old_items.keys() - new_items
    ]
    changed = [
        ChangedPart(section=section, name=name, value=item)
        for name, item in new_items.items()
        if old_items.get(name) != item
    ]
    return removed + changed


def _is_named_list(section: Any) -> bool:
    return not isinstance(section, Mapping) and all(
        isinstance(item, Mapping) and "name" in item for item in section
    )


def _items_by_name(
    items: Sequence[Mapping[str, Any]],
) -> dict[str, Mapping[str, Any]]:
    return {item["name"]: item for item in items}


def apply_parts(document: _Document, parts: Sequence[ChangedPart]) -> dict[str, Any]:
    """Return ``document`` with each part replaced, added or removed."""
    result = dict(document)
    sections = {part.section for part in parts if part.name}
    named_items = {
        section: _items_by_name(result.get(section) or ()) for section in sections
    }
    for part in parts:
        if not part.name:
            result[part.section] = part.value
        elif part.value is None:
            named_items[part.section].pop(part.name, None)
        else:
            named_items[part.section][part.name] = part.value
    for section, items in named_items.items():
        result[section] = list(items.values())
    return result


@attrs.frozen
class _LoggedChange:
    from_revision: int
    to_revision: int
    parts: tuple[ChangedPart, ...]


class ChangeLog:
    """The latest configuration changes, from which differences are built."""

    def __init__(self) -> None:
        self._changes: deque[_LoggedChange] = deque(maxlen=MAX_LOGGED_CHANGES)

    def append(
        self, previous: ConfigurationMessage, current: ConfigurationMessage
    ) -> None:
        """Log the change between two consecutive configurations.

        A change that can only be sent as the whole document clears the log.
        """
        parts = exact_diff(previous.document, current.document)
        if parts is None:
            self._changes.clear()
            return
        change = _LoggedChange(previous.revision, current.revision, parts)
        self._changes.append(change)

    def changes_since(
        self, revision: int, current: ConfigurationMessage
    ) -> ConfigurationChanges | None:
        """Return the changes from ``revision`` to ``current``.

        Returns None if they are not all logged or have too many parts.
        """
        parts: list[ChangedPart] = []
        reached_revision = None
        for change in self._changes:
            if change.from_revision == revision:
                reached_revision = revision
            if reached_revision is None:
                continue
            parts = _merge_parts(parts, change.parts)
            reached_revision = change.to_revision
        if reached_revision != current.revision or len(parts) > MAX_CHANGED_PARTS:
            return None
        return ConfigurationChanges(
            based_on=revision,
            revision=current.revision,
            change_id=current.change_id,
            digest=current.digest,
            parts=tuple(parts),
        )


def _merge_parts(
    earlier: Sequence[ChangedPart], later: Sequence[ChangedPart]
) -> list[ChangedPart]:
    """Return both in order, with only the last value of an item changed twice.

    A removal and the addition that follows it are both kept, since an item
    that is added again goes to the end of its section.
    """
    merged = list(earlier)
    last_index = {(part.section, part.name): index for index, part in enumerate(merged)}
    for part in later:
        index = last_index.get((part.section, part.name))
        if index is None or None in (part.value, merged[index].value):
            last_index[part.section, part.name] = len(merged)
            merged.append(part)
        else:
            merged[index] = part
    return merged


def message_from_changes(
    base: ConfigurationMessage, changes: ConfigurationChanges
) -> ConfigurationMessage | None:
    """Return the configuration that results from ``changes`` to ``base``.

    Returns None if ``changes`` are based on another revision. The digest is
    not checked here but when the message is converted to a record.
    """
    if base.revision != changes.based_on:
        return None
    return ConfigurationMessage(
        revision=changes.revision,
        change_id=changes.change_id,
        digest=changes.digest,
        document=apply_parts(base.document, changes.parts),
    )
