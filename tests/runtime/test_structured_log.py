"""Log lines that never block."""

import logging
import os

import orjson
import pytest

from cardamomnotch_runtime.structured_log import (
    JsonLineFormatter,
    LineWriter,
    LineWriterHandler,
    log_event,
)


@pytest.fixture
def pipe():
    """Return both ends of a pipe."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    """Return the decoded lines that lie in the pipe."""
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 65_536)
        except BlockingIOError:
            return [orjson.loads(line) for line in data.splitlines()]


def test_line_has_message_process_and_fields(pipe):
    """A line carries its message, its process and its fields."""
    reader, writer = pipe
    logger = logging.getLogger("tests.structured")
    handler = LineWriterHandler(LineWriter(writer, lambda: 0.0))
    handler.setFormatter(JsonLineFormatter("entry-a"))
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    log_event(logger, "request ended", code=7, nested={"a": [1]})
    logger.removeHandler(handler)
    (line,) = read_lines(reader)
    assert (line["process"], line["message"]) == ("entry-a", "request ended")
    assert (line["code"], line["nested"], line["logger"]) == (
        7,
        {"a": [1]},
        "structured",
    )


def test_lines_above_the_rate_limit_are_counted(pipe):
    """Lines over the rate are dropped, and their number is logged."""
    reader, writer = pipe
    now_s = [0.0]
    lines = LineWriter(writer, lambda: now_s[0], max_lines_per_s=3)
    for number in range(10):
        lines.write(b'{"n": %d}\n' % number)
    now_s[0] = 1.0
    lines.write(b'{"n": 10}\n')
    found = read_lines(reader)
    assert [line.get("n") for line in found] == [0, 1, 2, None, 10]
    assert found[3]["dropped"] == 7


def test_full_pipe_does_not_block(pipe):
    """A reader that is slow loses lines, and never delays the process."""
    reader, writer = pipe
    now_s = [0.0]
    lines = LineWriter(writer, lambda: now_s[0], max_lines_per_s=10_000)
    text = b'{"text": "%s"}\n' % (b"x" * 1000)
    for _ in range(2_000):
        lines.write(text)
    assert lines.dropped
    read_lines_without_torn_ends(reader)
    now_s[0] = 1.0
    lines.write(b'{"text": "after"}\n')
    assert b'"after"' in read_all(reader, lines)


def read_all(reader, lines):
    """Return all bytes, letting the writer flush what waits."""
    os.set_blocking(reader, False)
    data = b""
    for _ in range(20):
        try:
            data += os.read(reader, 1_000_000)
        except BlockingIOError:
            lines.write(b'{"text": "flush"}\n')
    return data


def read_lines_without_torn_ends(reader):
    """Empty the pipe."""
    os.set_blocking(reader, False)
    try:
        while True:
            os.read(reader, 1_000_000)
    except BlockingIOError:
        return
