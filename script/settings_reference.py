"""Prints the reference of all settings for docs/operators/settings.md."""

import inspect
import re
from collections.abc import Iterator
from typing import Any, get_args

import attrs

from cardamomnotch_entry.relay.settings import RelaySettings
from cardamomnotch_entry.settings import EntrySettings, OperatorSettings
from cardamomnotch_sidecar.settings import SidecarSettings

_HEADER = """# Settings

One TOML file a process, checked before it starts: an unknown key, a wrong type
or a missing key ends the process with one line and exit code 2. Printed from
the code by `python -m script.settings_reference`; secrets are left out of the
state dump."""
_FILES = (
    ("`cardamomnotch serve`", EntrySettings),
    ("`cardamomnotch-sidecar run`", SidecarSettings),
    ("`platform/serve.py`, the relaying entry", RelaySettings),
    ("`cardamomnotch config`, `zone`, `version`, `vm`", OperatorSettings),
)
_FIELD = re.compile(r"    (\w+): ")
_COMMENT = re.compile(r"    # (.*)")
_TABLE_PREFIX = re.compile(r"^Table ``\w+``: ")
_UNITS = {"_s": "seconds", "_ms": "milliseconds", "_bytes": "bytes"}


def main() -> None:
    """Print the page."""
    print(page(), end="")


def page() -> str:
    """Return the page."""
    lines = [_HEADER]
    for command, settings_class in _FILES:
        lines += ["", f"## {command}"]
        lines += _file_lines(settings_class)
    return "\n".join(lines) + "\n"


def _file_lines(settings_class: type) -> Iterator[str]:
    fields = attrs.fields(attrs.resolve_types(settings_class))
    plain = [field for field in fields if not attrs.has(field.type)]
    if plain:
        yield from _table_lines("Top of the file", "", settings_class, plain)
    for field in fields:
        if attrs.has(field.type):
            table_class = attrs.resolve_types(field.type)
            summary = _TABLE_PREFIX.sub("", inspect.getdoc(table_class) or "")
            yield from _table_lines(
                f"`[{field.name}]`", summary, table_class, attrs.fields(table_class)
            )


def _table_lines(
    title: str, summary: str, cls: type, fields: list[attrs.Attribute]
) -> Iterator[str]:
    yield from ("", f"### {title}", "")
    if summary:
        yield from (summary[:1].upper() + summary[1:], "")
    yield "| key | type | default | unit | meaning |"
    yield "| --- | --- | --- | --- | --- |"
    comments = _comments(cls)
    for field in fields:
        meaning = comments.get(field.name, "")
        if not field.repr:
            meaning = f"{meaning} Secret.".strip()
        yield (
            f"| `{field.name}` | {_type_name(field.type)} | {_default(field)}"
            f" | {_unit(field.name)} | {meaning} |"
        )


def _comments(cls: type) -> dict[str, str]:
    """Return the comment above each field of ``cls``."""
    found: dict[str, str] = {}
    pending: list[str] = []
    for line in inspect.getsource(cls).splitlines():
        if comment := _COMMENT.match(line):
            pending.append(comment[1])
            continue
        if field := _FIELD.match(line):
            found[field[1]] = " ".join(pending)
        pending = []
    return found


def _type_name(field_type: Any) -> str:
    names = {str: "text", int: "whole number", float: "number", bool: "true or false"}
    if field_type in names:
        return names[field_type]
    arguments = get_args(field_type)
    return f"list of {_type_name(arguments[0])}" if arguments else field_type.__name__


def _default(field: attrs.Attribute) -> str:
    if field.default is attrs.NOTHING:
        return "required"
    if isinstance(field.default, attrs.Factory):
        return "empty"
    return f"`{field.default}`" if field.default not in ("", ()) else "empty"


def _unit(name: str) -> str:
    return next((unit for end, unit in _UNITS.items() if name.endswith(end)), "")


if __name__ == "__main__":
    main()
