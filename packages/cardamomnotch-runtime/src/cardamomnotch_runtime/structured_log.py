"""Logging of JSON lines without blocking the event loop."""

import hashlib
import json
import logging
import os
import traceback
from collections.abc import Callable
from typing import Any, Final

import orjson

# Log lines that a process writes per second; further ones are dropped.
MAX_LINES_PER_S: Final = 400
# Bytes that are buffered for a slow reader before log lines are dropped.
MAX_PENDING_BYTES: Final = 262_144
# Length of a secret's digest: enough to distinguish the keys of one
# installation.
_DIGEST_BYTES: Final = 4
# Attribute of a log record that holds the fields of ``log_event``.
_FIELDS_ATTRIBUTE: Final = "fields"


def log_event(
    logger: logging.Logger, message: str, level: int = logging.INFO, **fields: Any
) -> None:
    """Log ``message`` with named fields."""
    if logger.isEnabledFor(level):
        logger.log(level, message, extra={_FIELDS_ATTRIBUTE: fields})


def secret_digest(secret: str) -> str:
    """Return a short digest that identifies ``secret`` in logs."""
    data = secret.encode(errors="surrogateescape")
    return hashlib.blake2s(data, digest_size=_DIGEST_BYTES).hexdigest()


class LineWriter:
    """Writes log lines to a file descriptor without blocking.

    Lines that exceed the rate limit or the buffer are dropped and counted.
    The next line that is written is preceded by a report of that count.
    """

    def __init__(
        self,
        file_descriptor: int,
        clock: Callable[[], float],
        max_lines_per_s: int = MAX_LINES_PER_S,
    ) -> None:
        self._file_descriptor = file_descriptor
        self._clock = clock
        self._max_lines_per_s = max_lines_per_s
        self._current_second = -1
        self._lines_this_second = 0
        self._pending = b""
        self._dropped = 0
        os.set_blocking(file_descriptor, False)

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped since the last report."""
        return self._dropped

    def write(self, line: bytes) -> None:
        """Write ``line``, or count it as dropped."""
        second = int(self._clock())
        if second != self._current_second:
            self._current_second = second
            self._lines_this_second = 0
        self._flush()
        exceeds_rate = self._lines_this_second >= self._max_lines_per_s
        if exceeds_rate or len(self._pending) > MAX_PENDING_BYTES:
            self._dropped += 1
            return
        self._lines_this_second += 1
        if self._dropped:
            report = {"message": "log lines dropped", "dropped": self._dropped}
            line = orjson.dumps(report) + b"\n" + line
            self._dropped = 0
        self._pending += line
        self._flush()

    def _flush(self) -> None:
        while self._pending:
            try:
                written = os.write(self._file_descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the error cannot be logged.
                self._dropped += 1
                self._pending = b""
                return
            self._pending = self._pending[written:]


class JsonLineFormatter(logging.Formatter):
    """Formats a log record as one JSON object.

    ``time`` is in seconds since 1970.
    """

    def __init__(self, process: str = "") -> None:
        super().__init__()
        self._process = {"process": process} if process else {}

    def format(self, record: logging.LogRecord) -> str:
        """Return ``record`` as a line of JSON, without a line end."""
        fields = {
            "time": record.created,
            **self._process,
            "level": record.levelname.lower(),
            "logger": record.name.rpartition(".")[2],
            "message": record.getMessage(),
            **getattr(record, _FIELDS_ATTRIBUTE, {}),
        }
        if record.exc_info:
            fields["traceback"] = "".join(traceback.format_exception(*record.exc_info))
        try:
            return orjson.dumps(fields, default=str).decode()
        except TypeError:
            # A field has bytes that are no text, or a number over 64 bits. Whatever is
            # logged must not fail the request.
            return json.dumps(fields, default=repr, skipkeys=True)


class LineWriterHandler(logging.Handler):
    """Passes formatted log records to a LineWriter."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Format ``record`` and write it as one line."""
        self._writer.write(self.format(record).encode() + b"\n")
