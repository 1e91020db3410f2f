"""Strict conversion of decoded JSON or TOML into attrs classes."""

from collections.abc import Mapping
from typing import Any, TypeVar

import cattrs
from cattrs.errors import ClassValidationError, IterableValidationError
from cattrs.preconf.orjson import make_converter

from .exceptions import SchemaError
from .result_codes import ResultCode

_T = TypeVar("_T")
_KNOWN_RESULT_CODES = frozenset(int(code) for code in ResultCode)


def _require_string(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise TypeError(f"expected a string, not {type(value).__name__}")
    return value


def _require_integer(value: Any, _: type) -> int:
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"expected an integer, not {type(value).__name__}")
    return value


def _require_number(value: Any, _: type) -> float:
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise TypeError(f"expected a number, not {type(value).__name__}")
    return float(value)


def _require_boolean(value: Any, _: type) -> bool:
    if not isinstance(value, bool):
        raise TypeError(f"expected true or false, not {type(value).__name__}")
    return value


def _read_result_code(value: Any, _: type) -> ResultCode:
    number = _require_integer(value, int)
    if number not in _KNOWN_RESULT_CODES:
        # The sender is a newer release. OUTCOME_UNKNOWN is the safe reading:
        # the request may have run.
        return ResultCode.OUTCOME_UNKNOWN
    return ResultCode(number)


def strict_converter(*, forbid_extra_keys: bool) -> cattrs.Converter:
    """Return a converter that rejects values of the wrong type.

    Integers are accepted where a float is expected.
    """
    converter = make_converter(forbid_extra_keys=forbid_extra_keys)
    converter.register_structure_hook(str, _require_string)
    converter.register_structure_hook(int, _require_integer)
    converter.register_structure_hook(float, _require_number)
    converter.register_structure_hook(bool, _require_boolean)
    converter.register_structure_hook(ResultCode, _read_result_code)
    return converter


def _format_problem(error: BaseException, _: type | None) -> str:
    if isinstance(error, KeyError):
        return "required key is missing"
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return f"unknown key: {', '.join(sorted(error.extra_fields))}"
    return str(error) or type(error).__name__


def structure(converter: cattrs.Converter, data: Any, cls: type[_T]) -> _T:
    """Convert ``data`` to an instance of ``cls``.

    Raises SchemaError with one line for each problem, which names its path.
    """
    if not isinstance(data, Mapping):
        raise SchemaError((f"expected an object, not {type(data).__name__}",))
    try:
        return converter.structure(data, cls)
    except (ClassValidationError, IterableValidationError) as error:
        problems = cattrs.transform_error(error, format_exception=_format_problem)
        raise SchemaError(
            tuple(_strip_root_path(problem) for problem in problems)
        ) from error
    except (TypeError, ValueError, KeyError, AttributeError) as error:
        raise SchemaError((str(error),)) from error


def _strip_root_path(problem: str) -> str:
    return problem.replace("$.", "").replace(" @ $", "")
