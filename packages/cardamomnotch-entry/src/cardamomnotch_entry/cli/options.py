"""Options and error handling shared by the commands."""

import asyncio
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar

import click

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_runtime.const import EXIT_BAD_SETTINGS
from cardamomnotch_runtime.settings import SettingsError

_T = TypeVar("_T")
EXIT_FAILED = 1

settings_option = click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path),
    required=True,
    envvar="CARDAMOMNOTCH_SETTINGS",
    help="TOML settings file.",
)


def run_command(coroutine: Coroutine[Any, Any, _T]) -> _T:
    """Run ``coroutine`` and return its result; exit if it fails.

    Only a CardamomnotchError is reported this way.
    """
    try:
        return asyncio.run(coroutine)
    except CardamomnotchError as error:
        exit_with_error(error)


def exit_with_error(error: CardamomnotchError) -> None:
    """Print ``error`` and exit: 2 for invalid input, 1 for other errors."""
    sys.stderr.write(f"error: {error}\n")
    is_invalid_input = isinstance(error, SettingsError) or hasattr(error, "problems")
    sys.exit(EXIT_BAD_SETTINGS if is_invalid_input else EXIT_FAILED)
