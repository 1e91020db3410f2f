"""Messages that carry the configuration."""

from collections.abc import Mapping
from typing import Any

import attrs

from .base import Message, message


@message("configuration")
@attrs.frozen(kw_only=True)
class ConfigurationMessage(Message):
    """Carries the whole configuration at one revision."""

    revision: int
    change_id: str
    digest: str
    document: Mapping[str, Any]
    # Identifiers of the changes accepted before this one, latest first. A
    # writer whose response was lost finds its change here, even if other
    # changes followed.
    former_change_ids: tuple[str, ...] = ()


@message("configuration_reply")
@attrs.frozen(kw_only=True)
class ConfigurationReply(Message):
    """Tells the revision that is active at the process that replies."""

    revision: int


@attrs.frozen(kw_only=True)
class ChangedPart:
    """A changed element of the configuration document.

    It is the element ``name`` of the list ``section``, or the whole table
    ``section`` if ``name`` is empty. A value of None means that the element
    was removed.
    """

    section: str
    name: str = ""
    value: Any = None

    @property
    def path(self) -> str:
        """Return the path of the element in the document."""
        return f"{self.section}[{self.name}]" if self.name else self.section


@message("configuration_changes")
@attrs.frozen(kw_only=True)
class ConfigurationChanges(Message):
    """Carries the changes from one configuration revision to another.

    ``based_on`` is the revision to which the changes apply. ``digest`` is the
    digest of the whole document after the changes.
    """

    based_on: int
    revision: int
    change_id: str
    digest: str
    parts: tuple[ChangedPart, ...] = ()
