"""The ``cardamomnotch-sidecar`` command line."""

from pathlib import Path

import click

from cardamomnotch_runtime.const import SHUTDOWN_MARGIN_S
from cardamomnotch_runtime.process import exit_with_settings_error, run_node
from cardamomnotch_runtime.settings import SettingsError, load_settings

from .composition import Sidecar
from .settings import SidecarSettings

_SETTINGS_OPTION = click.option(
    "--settings",
    "path",
    type=click.Path(path_type=Path),
    required=True,
    envvar="CARDAMOMNOTCH_SETTINGS",
    help="TOML settings file of the sidecar.",
)


@click.group()
@click.version_option(package_name="cardamomnotch-sidecar")
def main() -> None:
    """Run the sidecar of an upstream."""


@main.command()
@_SETTINGS_OPTION
def run(path: Path) -> None:
    """Serve until SIGTERM, then drain the attempts in flight."""
    try:
        settings = load_settings(path, SidecarSettings)
        sidecar = Sidecar(settings)
    except SettingsError as error:
        exit_with_settings_error(error)
    run_node(
        sidecar.async_setup,
        sidecar.async_unload,
        settings.log,
        settings.drain_grace_s + SHUTDOWN_MARGIN_S,
    )


@main.command()
@_SETTINGS_OPTION
def check(path: Path) -> None:
    """Check the settings file and exit."""
    try:
        load_settings(path, SidecarSettings)
    except SettingsError as error:
        exit_with_settings_error(error)
    click.echo(f"{path}: settings are valid")
