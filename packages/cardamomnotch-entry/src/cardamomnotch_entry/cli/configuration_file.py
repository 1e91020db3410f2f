"""Reading the operators' configuration from files."""

import tomllib
from pathlib import Path
from typing import Any

import orjson

from cardamomnotch_core.configuration.document import configuration_from_document
from cardamomnotch_core.configuration.exceptions import ConfigurationError
from cardamomnotch_core.configuration.models import Configuration

_PARSERS = {".json": orjson.loads, ".toml": tomllib.loads}


def load_configuration(path: Path) -> Configuration:
    """Return the validated configuration in the file ``path``.

    Raises ConfigurationError, with the path in front of each problem.
    """
    try:
        return configuration_from_document(_parse(path))
    except ConfigurationError as error:
        raise ConfigurationError(
            tuple(f"{path}: {problem}" for problem in error.problems)
        ) from error


def _parse(path: Path) -> Any:
    parser = _PARSERS.get(path.suffix)
    if parser is None:
        raise ConfigurationError(("unknown file type: expected a .toml or .json file",))
    try:
        return parser(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigurationError((str(error.strerror),)) from error
    except ValueError as error:
        raise ConfigurationError((str(error),)) from error
