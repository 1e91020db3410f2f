"""Parser for the server-sent events of chat-completions streams."""

from collections.abc import Iterator
from typing import Any

import orjson

from cardamomnotch_protocol.models import Usage
from cardamomnotch_protocol.result_codes import ResultCode

from ..const import MAX_COUNT, MAX_EVENT_BYTES
from .models import UpstreamError

_DATA_PREFIX = b"data:"
_DONE = b"[DONE]"
_SEPARATOR = b"\n\n"


def usage_from_json(data: dict[str, Any]) -> Usage:
    """Return the token usage of a completion or chunk; zeros if missing.

    Raises AttributeError, TypeError or ValueError if it is malformed.
    """
    usage = data.get("usage") or {}
    return Usage(
        prompt_tokens=_token_count(usage, "prompt_tokens"),
        completion_tokens=_token_count(usage, "completion_tokens"),
    )


def _token_count(usage: dict[str, Any], name: str) -> int:
    value = usage.get(name, 0)
    # Compared before the conversion, which fails for infinity.
    if not 0 <= float(value) <= MAX_COUNT:
        raise ValueError(f"{name} is not between 0 and {MAX_COUNT}")
    return int(value)


class CompletionStream:
    """Validates a completion stream event by event, up to its end."""

    def __init__(self) -> None:
        self._buffer = b""
        self._completion_id = ""
        self._done = False
        self._finish_reason = ""
        self._usage = Usage()

    @property
    def usage(self) -> Usage:
        """Return the latest token usage in the stream."""
        return self._usage

    @property
    def pending_bytes(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._buffer)

    @property
    def is_complete(self) -> bool:
        """Return whether a finish reason and ``[DONE]`` have been received."""
        return self._done and bool(self._finish_reason) and not self._buffer

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Yield complete events, without the final ``[DONE]`` marker.

        Raises UpstreamError for an invalid event, for one that belongs to
        another completion, and for one that exceeds its size limit.
        """
        # A CR LF may be split between two reads, so the whole buffer is
        # searched.
        self._buffer = (self._buffer + data).replace(b"\r\n", b"\n")
        while (end := self._buffer.find(_SEPARATOR)) >= 0:
            event = self._buffer[: end + len(_SEPARATOR)]
            self._buffer = self._buffer[end + len(_SEPARATOR) :]
            if self._accept_event(event):
                yield event
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise UpstreamError(
                f"stream event is larger than {MAX_EVENT_BYTES} bytes",
                code=ResultCode.UPSTREAM_RESPONSE_TOO_LARGE,
            )

    def _accept_event(self, event: bytes) -> bool:
        """Process ``event`` and return whether to forward it to the caller."""
        if not event.startswith(_DATA_PREFIX):
            return True
        text = event[len(_DATA_PREFIX) :].strip()
        if text == _DONE:
            self._done = True
            return False
        try:
            self._accept_chunk(orjson.loads(text))
        except (AttributeError, TypeError, ValueError) as error:
            raise UpstreamError(
                "stream event is not a completion chunk",
                code=ResultCode.UPSTREAM_FAILED,
            ) from error
        return True

    def _accept_chunk(self, chunk: dict[str, Any]) -> None:
        if "error" in chunk:
            raise UpstreamError(
                "engine sent an error event in the stream",
                code=ResultCode.UPSTREAM_FAILED,
            )
        completion_id = str(chunk.get("id", ""))
        if self._completion_id and completion_id != self._completion_id:
            raise UpstreamError(code=ResultCode.CROSSED_ANSWER)
        self._completion_id = completion_id
        for choice in chunk.get("choices", ()):
            self._finish_reason = choice.get("finish_reason") or self._finish_reason
        if chunk.get("usage"):
            self._usage = usage_from_json(chunk)
