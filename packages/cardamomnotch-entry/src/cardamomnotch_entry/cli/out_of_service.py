"""Commands that take zones, versions and VMs out of service and back."""

from pathlib import Path

import click

from cardamomnotch_core.configuration.changes import OutOfServiceChange
from cardamomnotch_core.configuration.out_of_service import OutOfServiceKind

from ..configuration.writer import async_apply_change
from .options import run_command, settings_option
from .store import async_open_store


def _out_of_service_group(name: str, kind: OutOfServiceKind) -> click.Group:
    """Return the group ``name`` with the commands ``in`` and ``out``."""

    @click.group(name=name, help=f"Mark a {name} in or out of service.")
    def group() -> None:
        pass

    def add(word: str, *, out: bool) -> None:
        @group.command(name=word, help=f"Mark a {name} {word} of service.")
        @click.argument("item")
        @settings_option
        def command(item: str, settings_path: Path) -> None:
            change = OutOfServiceChange(kind=kind, name=item, out=out)
            revision = run_command(_async_apply(settings_path, change))
            click.echo(f"revision {revision} accepted: {name} {item} {word}")

    add("in", out=False)
    add("out", out=True)
    return group


async def _async_apply(settings_path: Path, change: OutOfServiceChange) -> int:
    async with async_open_store(settings_path) as store:
        return await async_apply_change(store, change)


zone = _out_of_service_group("zone", OutOfServiceKind.ZONE)
version = _out_of_service_group("version", OutOfServiceKind.VERSION)
vm = _out_of_service_group("vm", OutOfServiceKind.VM)
