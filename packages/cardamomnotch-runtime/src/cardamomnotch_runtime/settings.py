"""Settings from TOML files, validated when they are loaded."""

import ipaddress
import tomllib
from pathlib import Path
from typing import Any, TypeVar

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError, SchemaError
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_protocol.schema import strict_converter, structure

_T = TypeVar("_T")
_CONVERTER = strict_converter(forbid_extra_keys=True)
_MAX_PORT = 65_535
LOG_LEVEL_VALIDATOR = attrs.validators.in_(("debug", "info", "warning", "error"))


class SettingsError(CardamomnotchError):
    """Unusable settings; the message names the file and the key."""

    code = ResultCode.INVALID_SETTINGS


def _check_address(_: Any, attribute: attrs.Attribute, value: str) -> None:
    host, separator, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        port_number = int(port)
    except ValueError as error:
        raise ValueError(
            f'{attribute.name}: expected "ip:port", not {value!r}'
        ) from error
    if not separator or not 0 < port_number <= _MAX_PORT:
        raise ValueError(
            f"{attribute.name}: port of {value!r} must be between 1 and {_MAX_PORT}"
        )


def _check_optional_address(
    instance: Any, attribute: attrs.Attribute, value: str
) -> None:
    if value:
        _check_address(instance, attribute, value)


def address_field() -> Any:
    """Return a required attrs field that holds an "ip:port" address."""
    return attrs.field(validator=_check_address)


def optional_address_field() -> Any:
    """Return an attrs field that holds an "ip:port" address or is empty."""
    return attrs.field(default="", validator=_check_optional_address)


def host_and_port(address: str) -> tuple[str, int]:
    """Return host and port of a validated "ip:port" address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Table ``node``: identity and listening addresses of this process."""

    vm_id: str
    zone: str
    # Address that serves the system's other processes.
    inner_address: str = address_field()
    # Address that serves health, metrics and the state dump to operators.
    admin_address: str = address_field()
    # Keys accepted from the system's other processes; the first one is sent to
    # them. List the old and the new key while a key is being replaced.
    inner_keys: tuple[str, ...] = attrs.field(
        validator=attrs.validators.min_len(1), repr=False
    )


@attrs.frozen(kw_only=True)
class LogSettings:
    """Table ``log``: log level and format, plain or json."""

    level: str = attrs.field(default="info", validator=LOG_LEVEL_VALIDATOR)
    format: str = attrs.field(
        default="plain", validator=attrs.validators.in_(("plain", "json"))
    )


def read_toml(path: Path) -> dict[str, Any]:
    """Return the TOML document in ``path``.

    Raises SettingsError that names the file.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}") from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error


def load_settings(path: Path, cls: type[_T]) -> _T:
    """Return the validated settings in ``path``.

    Raises SettingsError with one line that names the file and each bad key.
    """
    document = read_toml(path)
    try:
        return structure(_CONVERTER, document, cls)
    except SchemaError as error:
        raise SettingsError(f"{path}: {error.detail}") from error
