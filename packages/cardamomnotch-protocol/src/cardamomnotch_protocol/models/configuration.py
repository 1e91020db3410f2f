"""Messages that carry the operators' lists."""

from collections.abc import Mapping
from typing import Any

import attrs

from .base import Message, message


@message("configuration")
@attrs.frozen(kw_only=True)
class ConfigurationMessage(Message):
    """The operators' lists at one revision."""

    revision: int
    change_id: str
    digest: str
    document: Mapping[str, Any]
    # The changes accepted before this one, latest first, for a writer whose
    # answer was lost while others went on.
    former_change_ids: tuple[str, ...] = ()


@message("configuration_reply")
@attrs.frozen(kw_only=True)
class ConfigurationReply(Message):
    """The revision that is in force at the receiver."""

    revision: int


@attrs.frozen(kw_only=True)
class ChangedPart:
    """An entry of a list, by name, or a whole table, which has no name.

    No value means that the entry was removed.
    """

    section: str
    name: str = ""
    value: Any = None

    @property
    def path(self) -> str:
        """Return where it stands in the document."""
        return f"{self.section}[{self.name}]" if self.name else self.section


@message("configuration_changes")
@attrs.frozen(kw_only=True)
class ConfigurationChanges(Message):
    """What leads from one revision of the operators' lists to another.

    ``digest`` is that of the whole document that results.
    """

    based_on: int
    revision: int
    change_id: str
    digest: str
    parts: tuple[ChangedPart, ...] = ()
