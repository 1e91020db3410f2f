"""Marking zones, versions and VMs in or out of service."""

from enum import StrEnum

import attrs

from .models import Configuration


class MarkKind(StrEnum):
    """What can be marked; the value names the list in ``Marks``."""

    ZONE = "zones_out"
    VERSION = "versions_out"
    VM = "vms_out"


def set_mark(
    configuration: Configuration, kind: MarkKind, name: str, *, out: bool
) -> Configuration:
    """Return a configuration with ``name`` out of, or back in, service."""
    names = set(getattr(configuration.marks, kind.value))
    names = names | {name} if out else names - {name}
    marks = attrs.evolve(configuration.marks, **{kind.value: tuple(sorted(names))})
    return attrs.evolve(configuration, marks=marks)
