"""The command that gathers a request's log lines."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs
import click
import orjson

_REQUEST_ENDED = "request ended"
# Changes of state that are shown from before the request's arrival, seconds.
_BEFORE_S = 10.0
_HIDDEN = frozenset(
    {"time", "process", "level", "logger", "message", "request", "attempts"}
)


@attrs.frozen(kw_only=True, order=False)
class LogLine:
    """One line of a process's log."""

    time_s: float
    process: str
    message: str
    fields: dict[str, Any]


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the JSON lines among ``lines``; text before the object is skipped."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = orjson.loads(line[start:])
        except orjson.JSONDecodeError:
            continue
        if not isinstance(fields, dict) or "message" not in fields:
            continue
        yield LogLine(
            time_s=float(fields.get("time", 0.0)),
            process=str(fields.get("process", "")),
            message=str(fields["message"]),
            fields=fields,
        )


def explain_request(request_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return what the logs say of a request, in the order of time.

    Beside its own lines, those with which its process told a change of state
    shortly before or during the request.
    """
    in_order = sorted(lines, key=lambda line: line.time_s)
    own = [line for line in in_order if line.fields.get("request") == request_id]
    if not own:
        return []
    shown = [line for line in in_order if _belongs(line, own)]
    return [text for line in shown for text in _describe(line)]


def _belongs(line: LogLine, own: list[LogLine]) -> bool:
    if line in own:
        return True
    if line.message == _REQUEST_ENDED:
        return False
    return any(
        line.process == request.process
        and _arrived_at_s(request) - _BEFORE_S <= line.time_s <= request.time_s
        for request in own
    )


def _arrived_at_s(line: LogLine) -> float:
    return line.time_s - float(line.fields.get("ms", 0)) / 1000


def _describe(line: LogLine) -> Iterator[str]:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN and value not in ("", [], None)
    )
    yield f"{line.time_s:.3f} {line.process} {line.message} {fields}".rstrip()
    for number, attempt in enumerate(line.fields.get("attempts", ()), 1):
        parts = " ".join(f"{name}={value}" for name, value in attempt.items())
        yield f"    attempt {number}: {parts}"


@click.command()
@click.argument("request_id")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
def explain(request_id: str, files: tuple[Path, ...]) -> None:
    """Print what the logs in FILES say of request REQUEST_ID."""
    lines: list[LogLine] = []
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as source:
            lines.extend(read_lines(source))
    found = explain_request(request_id, lines)
    if not found:
        raise click.ClickException(f"no line names request {request_id}")
    for text in found:
        click.echo(text)
