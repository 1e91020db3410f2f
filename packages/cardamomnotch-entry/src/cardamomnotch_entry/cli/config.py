"""Commands for the operators' lists."""

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
from .fleet import async_wait_in_force
from .options import EXIT_FAILED, exit_with_error, run_command, settings_option
from .store import async_open_store

_FILE = click.argument("path", type=click.Path(path_type=Path))


@click.group()
def config() -> None:
    """Check, show and apply the operators' lists."""


@config.command()
@_FILE
def check(path: Path) -> None:
    """Check the lists in PATH without applying them."""
    _load(path)
    click.echo(f"{path}: the lists are valid")


@config.command()
@settings_option
def show(settings_path: Path) -> None:
    """Print the accepted lists as JSON."""
    click.echo(run_command(_async_show(settings_path)))


@config.command()
@_FILE
@settings_option
@click.option("--based-on", type=int, help="Revision that the file started from.")
@click.option(
    "--rebase",
    "base_path",
    type=click.Path(path_type=Path),
    help="Lists that PATH started from; only what differs is applied.",
)
@click.option(
    "--above",
    default=0,
    help="Revision that processes act on, if the store was restored below it.",
)
@click.option("--wait", is_flag=True, help="Wait until it is in force everywhere.")
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
    """Put the lists in PATH into the store."""
    configuration = _load(path)
    base = _load(base_path) if base_path else None
    revision = run_command(
        async_apply(
            settings_path, configuration, based_on=based_on, base=base, above=above
        )
    )
    click.echo(f"revision {revision} accepted")
    if wait and not run_command(
        async_wait_in_force(settings_path, revision, timeout_s, click.echo)
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
    """Return the accepted revision of ``configuration``.

    With ``base``, what differs from it goes on top of whatever is accepted.
    Raises RevisionConflictError that names the entries others have changed.
    """
    async with async_open_store(settings_path) as store:
        if base is not None:
            return await async_rebase(store, configuration, base)
        # What entries have found out stays when operators apply a file.
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
