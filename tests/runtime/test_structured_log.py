"""Tests of logging that must not block the process."""

import json
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
    """Return the reading and the writing end of a pipe."""
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    """Read the lines that are in the pipe and return them decoded."""
    os.set_blocking(reader, False)
    data = b""
    while True:
        try:
            data += os.read(reader, 65_536)
        except BlockingIOError:
            return [orjson.loads(line) for line in data.splitlines()]


def test_line_has_message_process_and_fields(pipe):
    """A log line holds its message, its process and its fields."""
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
    """Lines above the rate limit are dropped, and their number is logged."""
    reader, writer = pipe
    now_s = [0.0]
    line_writer = LineWriter(writer, lambda: now_s[0], max_lines_per_s=3)
    for number in range(10):
        line_writer.write(b'{"n": %d}\n' % number)
    now_s[0] = 1.0
    line_writer.write(b'{"n": 10}\n')
    lines = read_lines(reader)
    assert [line.get("n") for line in lines] == [0, 1, 2, None, 10]
    assert lines[3]["dropped"] == 7


def test_full_pipe_does_not_block(pipe):
    """Lines for a slow reader are dropped instead of delaying the process."""
    reader, writer = pipe
    now_s = [0.0]
    line_writer = LineWriter(writer, lambda: now_s[0], max_lines_per_s=10_000)
    line = b'{"text": "%s"}\n' % (b"x" * 1000)
    for _ in range(2_000):
        line_writer.write(line)
    assert line_writer.dropped
    empty_pipe(reader)
    now_s[0] = 1.0
    line_writer.write(b'{"text": "after"}\n')
    assert b'"after"' in read_all(reader, line_writer)


def read_all(reader, line_writer):
    """Read the pipe while ``line_writer`` flushes its buffered lines."""
    os.set_blocking(reader, False)
    data = b""
    for _ in range(20):
        try:
            data += os.read(reader, 1_000_000)
        except BlockingIOError:
            line_writer.write(b'{"text": "flush"}\n')
    return data


def empty_pipe(reader):
    """Discard the bytes in the pipe, which may end within a line."""
    os.set_blocking(reader, False)
    try:
        while True:
            os.read(reader, 1_000_000)
    except BlockingIOError:
        return


@pytest.mark.parametrize(
    "value",
    [2**65, 10**400, b"\xff".decode("utf-8", "surrogateescape"), {1: {2**70}}],
    ids=["over 64 bits", "hundreds of digits", "no text", "set"],
)
def test_field_that_is_no_json_fails_its_caller(value):
    """A line with such a field is written in another way, and nothing is raised."""
    record = logging.makeLogRecord(
        {"name": "tests", "msg": "request ended", "fields": {"odd": value}}
    )
    line = json.loads(JsonLineFormatter().format(record))
    assert line["message"] == "request ended"
    assert line["odd"]
