"""Taking zones, versions and VMs out of service and putting them back."""

from enum import StrEnum

import attrs

from .models import Configuration


class OutOfServiceKind(StrEnum):
    """What can be out of service.

    The value is the name of the field in ``OutOfServiceMarks``.
    """

    ZONE = "zones_out"
    VERSION = "versions_out"
    VM = "vms_out"


def set_out_of_service(
    configuration: Configuration, kind: OutOfServiceKind, name: str, *, out: bool
) -> Configuration:
    """Return the configuration with ``name`` out of or back in service."""
    names = set(getattr(configuration.marks, kind.value))
    names = names | {name} if out else names - {name}
    marks = attrs.evolve(configuration.marks, **{kind.value: tuple(sorted(names))})
    return attrs.evolve(configuration, marks=marks)
