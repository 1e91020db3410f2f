"""Commands that check, print and apply the configuration."""

import sys
from pathlib import Path

import attrs
import click
import orjson

from cardamomnotch_core.configuration.document import document_from_configuration
from cardamomnotch_core.configuration.exceptions import ConfigurationError
from cardamomnotch_core.configuration.models import Configuration

from ..configuration.rebase import async_rebase
from ..configuration.writer import (
    async_edit_configuration,
    async_read_configuration_record,
)
from .configuration_file import load_configuration
from .fleet import async_wait_until_active
from .options import EXIT_FAILED, exit_with_error, run_command, settings_option
from .store import async_open_store

_PATH_ARGUMENT = click.argument("path", type=click.Path(path_type=Path))


@click.group()
def config() -> None:
    """Check, show and apply the operators' configuration."""


@config.command()
@_PATH_ARGUMENT
def check(path: Path) -> None:
    """Check the configuration file PATH without applying it."""
    _load(path)
    click.echo(f"{path}: the configuration is valid")


@config.command()
@settings_option
def show(settings_path: Path) -> None:
    """Print the accepted configuration as JSON."""
    click.echo(run_command(_async_show(settings_path)))


@config.command()
@_PATH_ARGUMENT
@settings_option
@click.option(
    "--based-on",
    type=int,
    help="Refuse the change unless this revision is the accepted one.",
)
@click.option(
    "--rebase",
    "base_path",
    type=click.Path(path_type=Path),
    help="File that PATH was edited from; only the differences are applied.",
)
@click.option(
    "--above",
    default=0,
    help="Revision to exceed; needed if the store was restored from an older copy.",
)
@click.option(
    "--wait", is_flag=True, help="Wait until the revision is active in every process."
)
@click.option("--wait-timeout", "timeout_s", default=30.0, show_default=True)
def apply(
    path: Path,
    settings_path: Path,
    based_on: int | None,
    base_path: Path | None,
    above: int,
    wait: bool,
    timeout_s: float,
) -> None:
    """Write the configuration file PATH to the store."""
    configuration = _load(path)
    base = _load(base_path) if base_path else None
    revision = run_command(
        async_apply(
            settings_path, configuration, based_on=based_on, base=base, above=above
        )
    )
    click.echo(f"revision {revision} accepted")
    if wait and not run_command(
        async_wait_until_active(settings_path, revision, timeout_s, click.echo)
    ):
        sys.exit(EXIT_FAILED)


def _load(path: Path) -> Configuration:
    try:
        return load_configuration(path)
    except ConfigurationError as error:
        exit_with_error(error)


async def _async_show(settings_path: Path) -> str:
    async with async_open_store(settings_path) as store:
        record = await async_read_configuration_record(store)
    if record is None:
        return "{}"
    # The key "lists" is part of the command's output format.
    document = {
        "revision": record.revision,
        "lists": document_from_configuration(record.configuration),
    }
    return orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()


async def async_apply(
    settings_path: Path,
    configuration: Configuration,
    *,
    based_on: int | None = None,
    base: Configuration | None = None,
    above: int = 0,
) -> int:
    """Write ``configuration`` to the store and return its revision.

    With ``base``, only the differences from ``base`` are applied, on top of
    the accepted configuration.

    Raises RevisionConflictError if another change conflicts with this one.
    """
    async with async_open_store(settings_path) as store:
        if base is not None:
            return await async_rebase(store, configuration, base)
        # Quarantined requests and crashes are recorded by entries, not by
        # operators, and stay when a file is applied.
        return await async_edit_configuration(
            store,
            lambda current: attrs.evolve(
                configuration,
                quarantined=current.quarantined,
                crashes=current.crashes,
            ),
            based_on,
            above,
        )
