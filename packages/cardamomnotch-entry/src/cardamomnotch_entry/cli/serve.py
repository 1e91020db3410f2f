"""The command that runs an entry."""

from pathlib import Path

import click

from cardamomnotch_runtime.const import SHUTDOWN_MARGIN_S
from cardamomnotch_runtime.process import exit_with_settings_error, run_node
from cardamomnotch_runtime.settings import SettingsError, load_settings

from ..composition import Entry
from ..settings import EntrySettings
from .options import settings_option


@click.command()
@settings_option
def serve(settings_path: Path) -> None:
    """Serve callers until SIGTERM, then drain the requests in flight."""
    try:
        settings = load_settings(settings_path, EntrySettings)
        entry = Entry(settings)
    except SettingsError as error:
        exit_with_settings_error(error)
    run_node(
        entry.async_setup,
        entry.async_unload,
        settings.log,
        settings.drain_grace_s + SHUTDOWN_MARGIN_S,
    )
