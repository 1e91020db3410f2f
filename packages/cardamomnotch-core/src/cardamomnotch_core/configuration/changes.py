"""Single changes of the lists, by an operator or by an entry itself."""

from functools import singledispatch

import attrs

from .marks import MarkKind, set_mark
from .models import Configuration


class ListsChange:
    """Base of changes that stand for themselves, on top of any revision."""


@attrs.frozen(kw_only=True)
class MarkChange(ListsChange):
    """Mark an availability zone, a version or a VM in or out of service."""

    kind: MarkKind
    name: str
    out: bool


@singledispatch
def apply_change(change: ListsChange, configuration: Configuration) -> Configuration:
    """Return ``configuration`` with ``change`` made."""
    raise TypeError(f"no change {type(change).__name__}")


@apply_change.register
def _(change: MarkChange, configuration: Configuration) -> Configuration:
    return set_mark(configuration, change.kind, change.name, out=change.out)
