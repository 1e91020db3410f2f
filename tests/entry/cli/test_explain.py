"""A request's lines, gathered from several logs."""

import orjson
import pytest
from click.testing import CliRunner

from cardamomnotch_entry.cli import main


def line(time_s, process, message, **fields):
    """Return one line of a log."""
    return orjson.dumps(
        {"time": time_s, "process": process, "message": message, **fields}
    ).decode()


@pytest.fixture
def logs(tmp_path):
    """Return two logs, the second with a prefix before each line."""
    first = tmp_path / "a.log"
    first.write_text(
        "\n".join(
            [
                "plain text {",
                line(80.0, "entry-a", "store is available"),
                line(95.0, "entry-a", "store is unavailable", detail="/kv: reset"),
                line(99.0, "entry-a", "request ended", request="other", ms=10),
                line(
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
                line(96.0, "entry-b", "store is unavailable"),
                line(100.5, "entry-b", "request ended", request="wanted", ms=30),
            )
        )
    )
    return [str(first), str(second)]


def test_lines_are_printed_in_time_order(logs):
    """Own lines of all logs, and changes of state of the same process."""
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
    """A request that no log names is said so."""
    result = CliRunner().invoke(main, ["explain", "nobody", *logs])
    assert result.exit_code == 1
    assert "no line names request nobody" in result.output
