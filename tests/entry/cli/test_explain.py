"""The ``explain`` command collects a request's lines from several logs."""

import orjson
import pytest
from click.testing import CliRunner

from cardamomnotch_entry.cli import main


def log_line(time_s, process, message, **fields):
    """Return a structured log line."""
    return orjson.dumps(
        {"time": time_s, "process": process, "message": message, **fields}
    ).decode()


@pytest.fixture
def logs(tmp_path):
    """Return the paths of two logs; lines of the second have a prefix."""
    first = tmp_path / "a.log"
    first.write_text(
        "\n".join(
            [
                "plain text {",
                log_line(80.0, "entry-a", "store is available"),
                log_line(95.0, "entry-a", "store is unavailable", detail="/kv: reset"),
                log_line(99.0, "entry-a", "request ended", request="other", ms=10),
                log_line(
                    100.0,
                    "entry-a",
                    "request ended",
                    request="wanted",
                    ms=400,
                    status=503,
                    attempts=[{"upstream": "up-1", "outcome": "lost"}],
                ),
            ]
        )
    )
    second = tmp_path / "b.log"
    second.write_text(
        "\n".join(
            f"  12.1 {text}"
            for text in (
                log_line(96.0, "entry-b", "store is unavailable"),
                log_line(100.5, "entry-b", "request ended", request="wanted", ms=30),
            )
        )
    )
    return [str(first), str(second)]


def test_lines_are_printed_in_time_order(logs):
    """The request's lines and state changes of its processes are printed."""
    result = CliRunner().invoke(main, ["explain", "wanted", *logs])
    assert result.exit_code == 0
    assert [text.split(" ", 1)[1] for text in result.output.splitlines()] == [
        "entry-a store is unavailable detail=/kv: reset",
        "entry-b store is unavailable",
        "entry-a request ended ms=400 status=503",
        "   attempt 1: upstream=up-1 outcome=lost",
        "entry-b request ended ms=30",
    ]


def test_unknown_request_is_an_error(logs):
    """A request id that no log contains is reported as an error."""
    result = CliRunner().invoke(main, ["explain", "nobody", *logs])
    assert result.exit_code == 1
    assert "no line names request nobody" in result.output
