"""The command that collects the log lines of one request."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import attrs
import click
import orjson

_REQUEST_ENDED = "request ended"
# State changes that precede the request by at most this time are shown too.
_CONTEXT_BEFORE_ARRIVAL_S = 10.0
_HIDDEN_FIELDS = frozenset(
    {"time", "process", "level", "logger", "message", "request", "attempts"}
)


@attrs.frozen(kw_only=True, order=False)
class LogLine:
    """A structured log line of a process."""

    time_s: float
    process: str
    message: str
    fields: dict[str, Any]


def parse_log_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the JSON log lines among ``lines``.

    A prefix before the JSON object, such as a container's timestamp, is
    skipped.
    """
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
    """Return the formatted log lines of a request, ordered by time.

    They include the state changes that the same process logged shortly before
    or during the request.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    request_lines = [
        line for line in ordered if line.fields.get("request") == request_id
    ]
    if not request_lines:
        return []
    related = [line for line in ordered if _is_related(line, request_lines)]
    return [text for line in related for text in _describe(line)]


def _is_related(line: LogLine, request_lines: list[LogLine]) -> bool:
    if line in request_lines:
        return True
    if line.message == _REQUEST_ENDED:
        return False
    return any(
        line.process == request_line.process
        and _arrived_at_s(request_line) - _CONTEXT_BEFORE_ARRIVAL_S
        <= line.time_s
        <= request_line.time_s
        for request_line in request_lines
    )


def _arrived_at_s(line: LogLine) -> float:
    return line.time_s - float(line.fields.get("ms", 0)) / 1000


def _describe(line: LogLine) -> Iterator[str]:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN_FIELDS and value not in ("", [], None)
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
    """Print the lines of the log FILES that concern request REQUEST_ID."""
    lines: list[LogLine] = []
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as source:
            lines.extend(parse_log_lines(source))
    found = explain_request(request_id, lines)
    if not found:
        raise click.ClickException(f"no line names request {request_id}")
    for text in found:
        click.echo(text)
