"""Log lines as JSON objects, written without blocking the loop."""

import hashlib
import logging
import os
import traceback
from collections.abc import Callable
from typing import Any, Final

import orjson

# Lines that a process may write in a second; more are dropped and counted.
MAX_LINES_PER_S: Final = 400
# Bytes that wait for a reader that is slow before lines are dropped.
MAX_PENDING_BYTES: Final = 262_144
# Enough to tell an installation's keys apart.
_DIGEST_BYTES: Final = 4
_ATTR_FIELDS: Final = "fields"


def log_event(
    logger: logging.Logger, message: str, level: int = logging.INFO, **fields: Any
) -> None:
    """Log ``message`` with named fields."""
    if logger.isEnabledFor(level):
        logger.log(level, message, extra={_ATTR_FIELDS: fields})


def secret_digest(secret: str) -> str:
    """Return what names ``secret`` in logs without telling it."""
    data = secret.encode(errors="surrogateescape")
    return hashlib.blake2s(data, digest_size=_DIGEST_BYTES).hexdigest()


class LineWriter:
    """Writes lines to a file descriptor that must never block.

    What exceeds the rate or the pipe is dropped, and counted in ``dropped``.
    """

    def __init__(
        self,
        descriptor: int,
        clock: Callable[[], float],
        max_lines_per_s: int = MAX_LINES_PER_S,
    ) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._max_lines_per_s = max_lines_per_s
        self._second = -1
        self._lines = 0
        self._pending = b""
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped since the last report."""
        return self._dropped

    def write(self, line: bytes) -> None:
        """Write ``line``, or count it as dropped."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._lines = 0
        self._flush()
        too_many = self._lines >= self._max_lines_per_s
        if too_many or len(self._pending) > MAX_PENDING_BYTES:
            self._dropped += 1
            return
        self._lines += 1
        if self._dropped:
            report = {"message": "log lines dropped", "dropped": self._dropped}
            line = orjson.dumps(report) + b"\n" + line
            self._dropped = 0
        self._pending += line
        self._flush()

    def _flush(self) -> None:
        while self._pending:
            try:
                written = os.write(self._descriptor, self._pending)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more, so nobody can be told.
                self._dropped += 1
                self._pending = b""
                return
            self._pending = self._pending[written:]


class JsonLineFormatter(logging.Formatter):
    """Formats a record as one JSON object; time in seconds since 1970."""

    def __init__(self, process: str = "") -> None:
        super().__init__()
        self._process = {"process": process} if process else {}

    def format(self, record: logging.LogRecord) -> str:
        """Return ``record`` as JSON."""
        fields = {
            "time": record.created,
            **self._process,
            "level": record.levelname.lower(),
            "logger": record.name.rpartition(".")[2],
            "message": record.getMessage(),
            **getattr(record, _ATTR_FIELDS, {}),
        }
        if record.exc_info:
            fields["traceback"] = "".join(traceback.format_exception(*record.exc_info))
        return orjson.dumps(fields, default=str).decode()


class LineWriterHandler(logging.Handler):
    """Sends formatted records to a LineWriter."""

    def __init__(self, writer: LineWriter) -> None:
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Write ``record``."""
        self._writer.write(self.format(record).encode() + b"\n")
