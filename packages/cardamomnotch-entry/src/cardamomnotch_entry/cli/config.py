"""Commands for the operators' lists."""

from pathlib import Path

import attrs
import click
import orjson

from cardamomnotch_core.configuration.document import document_from_configuration
from cardamomnotch_core.configuration.exceptions import ConfigurationError
from cardamomnotch_core.configuration.models import Configuration

from ..lists.writer import async_read_record, async_replace
from .documents import load_configuration
from .options import exit_with_error, run_command, settings_option
from .stores import async_open_store

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
def apply(path: Path, settings_path: Path, based_on: int | None) -> None:
    """Put the lists in PATH into the store."""
    configuration = _load(path)
    revision = run_command(_async_apply(settings_path, configuration, based_on))
    click.echo(f"revision {revision} accepted")


def _load(path: Path) -> Configuration:
    try:
        return load_configuration(path)
    except ConfigurationError as error:
        exit_with_error(error)


async def _async_show(settings_path: Path) -> str:
    async with async_open_store(settings_path) as store:
        record = await async_read_record(store)
    if record is None:
        return "{}"
    document = {
        "revision": record.revision,
        "lists": document_from_configuration(record.configuration),
    }
    return orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()


async def _async_apply(
    settings_path: Path, configuration: Configuration, based_on: int | None
) -> int:
    async with async_open_store(settings_path) as store:
        # What entries have found out stays when operators apply a file.
        return await async_replace(
            store,
            lambda current: attrs.evolve(
                configuration,
                quarantined=current.quarantined,
                crashes=current.crashes,
            ),
            based_on,
        )
