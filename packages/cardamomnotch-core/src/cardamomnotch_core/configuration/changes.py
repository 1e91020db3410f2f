"""Changes that can be applied on top of any configuration revision."""

from functools import singledispatch

import attrs

from .models import Configuration
from .out_of_service import OutOfServiceKind, set_out_of_service


class IncrementalChange:
    """Base of changes that can be applied to any configuration revision."""


@attrs.frozen(kw_only=True)
class OutOfServiceChange(IncrementalChange):
    """Take a zone, a version or a VM out of service, or put it back."""

    kind: OutOfServiceKind
    name: str
    out: bool


@singledispatch
def apply_change(
    change: IncrementalChange, configuration: Configuration
) -> Configuration:
    """Return ``configuration`` with ``change`` applied."""
    raise TypeError(f"cannot apply a configuration change of {type(change).__name__}")


@apply_change.register
def _(change: OutOfServiceChange, configuration: Configuration) -> Configuration:
    return set_out_of_service(configuration, change.kind, change.name, out=change.out)
