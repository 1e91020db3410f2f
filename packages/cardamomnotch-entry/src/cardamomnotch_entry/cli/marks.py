"""Commands that mark zones, versions and VMs in or out of service."""

from pathlib import Path

import click

from cardamomnotch_core.configuration.document import (
    configuration_from_document,
    document_from_configuration,
)
from cardamomnotch_core.configuration.marks import MarkKind, set_mark
from cardamomnotch_core.configuration.models import Configuration
from cardamomnotch_platform.store.configuration import RevisionConflictError

from .changes import async_change, async_open_store
from .options import run_command, settings_option

_MAX_TRIES = 10


def _mark_group(name: str, kind: MarkKind) -> click.Group:
    """Return the group of commands ``name in`` and ``name out``."""

    @click.group(name=name, help=f"Mark a {name} in or out of service.")
    def group() -> None:
        pass

    def add(word: str, *, out: bool) -> None:
        @group.command(name=word, help=f"Mark a {name} {word} of service.")
        @click.argument("item")
        @settings_option
        def command(item: str, settings_path: Path) -> None:
            revision = run_command(_async_mark(settings_path, kind, item, out=out))
            click.echo(f"revision {revision} accepted: {name} {item} {word}")

    add("in", out=False)
    add("out", out=True)
    return group


async def _async_mark(
    settings_path: Path, kind: MarkKind, item: str, *, out: bool
) -> int:
    def change(configuration: Configuration) -> Configuration:
        changed = set_mark(configuration, kind, item, out=out)
        return configuration_from_document(document_from_configuration(changed))

    async with async_open_store(settings_path) as store:
        for _ in range(_MAX_TRIES - 1):
            # A mark stands for itself, so it may be put on top of any change.
            try:
                return await async_change(store, change)
            except RevisionConflictError:
                continue
        return await async_change(store, change)


zone = _mark_group("zone", MarkKind.ZONE)
version = _mark_group("version", MarkKind.VERSION)
vm = _mark_group("vm", MarkKind.VM)
