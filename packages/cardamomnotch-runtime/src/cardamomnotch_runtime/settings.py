"""Settings in TOML, checked at the edge."""

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
    """Settings that cannot be used; the text names file and key."""

    code = ResultCode.INVALID_SETTINGS


def _check_address(_: Any, attribute: attrs.Attribute, value: str) -> None:
    host, separator, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        number = int(port)
    except ValueError as error:
        raise ValueError(
            f'{attribute.name}: expected "ip:port", not {value!r}'
        ) from error
    if not separator or not 0 < number <= _MAX_PORT:
        raise ValueError(
            f"{attribute.name}: port of {value!r} must lie from 1 to {_MAX_PORT}"
        )


def _check_optional_address(owner: Any, attribute: attrs.Attribute, value: str) -> None:
    if value:
        _check_address(owner, attribute, value)


def address_field() -> Any:
    """Return a required attrs field that holds "ip:port"."""
    return attrs.field(validator=_check_address)


def optional_address_field() -> Any:
    """Return an attrs field that holds "ip:port", or nothing."""
    return attrs.field(default="", validator=_check_optional_address)


def host_and_port(address: str) -> tuple[str, int]:
    """Return the parts of a checked "ip:port"."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


@attrs.frozen(kw_only=True)
class NodeSettings:
    """Table ``node``: who this process is, and where it listens."""

    vm_id: str
    zone: str
    # Address for the system's own processes.
    inner_address: str = address_field()
    # Address for operators: health, metrics, state.
    admin_address: str = address_field()
    # Keys that inner callers may use; the first is sent. Two while changing.
    inner_keys: tuple[str, ...] = attrs.field(
        validator=attrs.validators.min_len(1), repr=False
    )


@attrs.frozen(kw_only=True)
class LogSettings:
    """Table ``log``: level, and plain or json lines."""

    level: str = attrs.field(default="info", validator=LOG_LEVEL_VALIDATOR)
    format: str = attrs.field(
        default="plain", validator=attrs.validators.in_(("plain", "json"))
    )


def read_toml(path: Path) -> dict[str, Any]:
    """Return the document in ``path``; raises SettingsError that names it."""
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error


def load_settings(path: Path, cls: type[_T]) -> _T:
    """Return the checked settings of ``path``.

    Raises SettingsError with one line that names the file and each key.
    """
    document = read_toml(path)
    try:
        return structure(_CONVERTER, document, cls)
    except SchemaError as error:
        raise SettingsError(f"{path}: {error.detail}") from error
