"""Prints the reference of all settings, docs/operators/settings.md."""

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
_SETTINGS_CLASSES = (
    ("`cardamomnotch serve`", EntrySettings),
    ("`cardamomnotch-sidecar run`", SidecarSettings),
    ("`platform/serve.py`, the relaying entry", RelaySettings),
    ("`cardamomnotch config`, `zone`, `version`, `vm`", OperatorSettings),
)
_FIELD_PATTERN = re.compile(r"    (\w+): ")
_COMMENT_PATTERN = re.compile(r"    # (.*)")
_TABLE_PREFIX_PATTERN = re.compile(r"^Table ``\w+``: ")
_UNIT_BY_SUFFIX = {"_s": "seconds", "_ms": "milliseconds", "_bytes": "bytes"}


def main() -> None:
    """Print the settings reference."""
    print(page(), end="")


def page() -> str:
    """Return the settings reference as Markdown."""
    lines = [_HEADER]
    for command, settings_class in _SETTINGS_CLASSES:
        lines += ["", f"## {command}"]
        lines += _settings_file_lines(settings_class)
    return "\n".join(lines) + "\n"


def _settings_file_lines(settings_class: type) -> Iterator[str]:
    fields = attrs.fields(attrs.resolve_types(settings_class))
    top_level_fields = [field for field in fields if not attrs.has(field.type)]
    if top_level_fields:
        yield from _table_lines("Top of the file", "", settings_class, top_level_fields)
    for field in fields:
        if attrs.has(field.type):
            table_class = attrs.resolve_types(field.type)
            summary = _TABLE_PREFIX_PATTERN.sub("", inspect.getdoc(table_class) or "")
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
    comments = _field_comments(cls)
    for field in fields:
        meaning = comments.get(field.name, "")
        if not field.repr:
            meaning = f"{meaning} Secret.".strip()
        yield (
            f"| `{field.name}` | {_type_name(field.type)} | {_format_default(field)}"
            f" | {_unit_of(field.name)} | {meaning} |"
        )


def _field_comments(cls: type) -> dict[str, str]:
    """Return the comment above each field of ``cls``, by field name."""
    comment_by_field: dict[str, str] = {}
    comment_lines: list[str] = []
    for line in inspect.getsource(cls).splitlines():
        if comment := _COMMENT_PATTERN.match(line):
            comment_lines.append(comment[1])
            continue
        if field := _FIELD_PATTERN.match(line):
            comment_by_field[field[1]] = " ".join(comment_lines)
        comment_lines = []
    return comment_by_field


def _type_name(field_type: Any) -> str:
    type_names = {
        str: "text",
        int: "whole number",
        float: "number",
        bool: "true or false",
    }
    if field_type in type_names:
        return type_names[field_type]
    item_types = get_args(field_type)
    return f"list of {_type_name(item_types[0])}" if item_types else field_type.__name__


def _format_default(field: attrs.Attribute) -> str:
    if field.default is attrs.NOTHING:
        return "required"
    if isinstance(field.default, attrs.Factory):
        return "empty"
    return f"`{field.default}`" if field.default not in ("", ()) else "empty"


def _unit_of(name: str) -> str:
    return next(
        (unit for suffix, unit in _UNIT_BY_SUFFIX.items() if name.endswith(suffix)), ""
    )


if __name__ == "__main__":
    main()
