"""Frames of the protocol: a header line in JSON, then the payload's bytes."""

from collections.abc import Iterator
from typing import Any

import attrs
import orjson

from .const import (
    ATTR_COMPATIBLE_WITH,
    ATTR_PAYLOAD_BYTES,
    ATTR_PROTOCOL_VERSION,
    ATTR_TYPE,
    MAX_HEADER_BYTES,
    MAX_PAYLOAD_BYTES,
    OLDEST_READABLE_VERSION,
    PROTOCOL_VERSION,
)
from .exceptions import ProtocolError, SchemaError
from .models import MESSAGE_CLASSES, Message
from .result_codes import ResultCode
from .schema import strict_converter, structure

_ENVELOPE_FIELDS = frozenset(
    (ATTR_COMPATIBLE_WITH, ATTR_PAYLOAD_BYTES, ATTR_PROTOCOL_VERSION, ATTR_TYPE)
)
_CONVERTER = strict_converter(forbid_extra_keys=False)
_FIELD_NAMES = {
    cls: frozenset(attrs.fields_dict(cls)) - {"unknown_fields"}
    for cls in MESSAGE_CLASSES.values()
}


@attrs.frozen
class Frame:
    """A decoded message with its payload."""

    message: Message
    payload: bytes = b""


def encode(message: Message, payload: bytes = b"") -> bytes:
    """Encode ``message`` and ``payload`` as one frame."""
    header: dict[str, Any] = {
        ATTR_PROTOCOL_VERSION: PROTOCOL_VERSION,
        ATTR_COMPATIBLE_WITH: OLDEST_READABLE_VERSION,
        ATTR_TYPE: message.message_type,
    }
    if payload:
        header[ATTR_PAYLOAD_BYTES] = len(payload)
    header.update(message.unknown_fields)
    fields = _CONVERTER.unstructure(message)
    del fields["unknown_fields"]
    header.update(fields)
    return orjson.dumps(header) + b"\n" + payload


def _check_version(header: dict[str, Any]) -> None:
    version = header.get(ATTR_PROTOCOL_VERSION)
    compatible_version = header.get(ATTR_COMPATIBLE_WITH, version)
    if not isinstance(version, int) or not isinstance(compatible_version, int):
        raise ProtocolError("message header holds no integer protocol version")
    if compatible_version > PROTOCOL_VERSION or version < OLDEST_READABLE_VERSION:
        raise ProtocolError(
            f"protocol version {version} is not supported",
            code=ResultCode.UNSUPPORTED_PROTOCOL,
        )


def _read_header(line: bytes) -> dict[str, Any]:
    try:
        header = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(f"message header is not valid JSON: {error}") from error
    if not isinstance(header, dict):
        raise ProtocolError("message header is not a JSON object")
    _check_version(header)
    return header


def _payload_size(header: dict[str, Any]) -> int:
    size = header.get(ATTR_PAYLOAD_BYTES, 0)
    if not isinstance(size, int) or size < 0:
        raise ProtocolError(
            "payload size in the message header is not a number of bytes"
        )
    if size > MAX_PAYLOAD_BYTES:
        raise ProtocolError(
            f"payload of {size} bytes exceeds the limit of {MAX_PAYLOAD_BYTES} bytes",
            code=ResultCode.MESSAGE_TOO_LARGE,
        )
    return size


def _message_from_header(header: dict[str, Any]) -> Message:
    message_type = header.get(ATTR_TYPE)
    cls = MESSAGE_CLASSES.get(message_type) if isinstance(message_type, str) else None
    if cls is None:
        raise ProtocolError(f"unknown message type {message_type!r}")
    known_names = _FIELD_NAMES[cls]
    fields = {key: value for key, value in header.items() if key in known_names}
    unknown_fields = {
        key: value
        for key, value in header.items()
        if key not in known_names and key not in _ENVELOPE_FIELDS
    }
    if unknown_fields:
        fields["unknown_fields"] = unknown_fields
    try:
        return structure(_CONVERTER, fields, cls)
    except SchemaError as error:
        raise ProtocolError(
            f"invalid message {message_type}: {error.detail}"
        ) from error


class FrameDecoder:
    """Decodes a stream of bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._header: dict[str, Any] | None = None

    @property
    def is_empty(self) -> bool:
        """Return whether no part of an incomplete frame is buffered."""
        return not self._buffer and self._header is None

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add ``data`` and yield each frame that is complete now.

        Raises ProtocolError if the bytes are not a valid frame.
        """
        self._buffer += data
        while (frame := self._next_frame()) is not None:
            yield frame

    def _next_frame(self) -> Frame | None:
        if self._header is None:
            self._header = self._next_header()
        if self._header is None:
            return None
        size = _payload_size(self._header)
        if len(self._buffer) < size:
            return None
        payload = bytes(self._buffer[:size])
        del self._buffer[:size]
        header, self._header = self._header, None
        return Frame(_message_from_header(header), payload)

    def _next_header(self) -> dict[str, Any] | None:
        header_end = self._buffer.find(b"\n")
        if (
            max(header_end, len(self._buffer) if header_end < 0 else 0)
            > MAX_HEADER_BYTES
        ):
            raise ProtocolError(
                "message header exceeds the size limit",
                code=ResultCode.MESSAGE_TOO_LARGE,
            )
        if header_end < 0:
            return None
        line = bytes(self._buffer[:header_end])
        del self._buffer[: header_end + 1]
        return _read_header(line)


def decode(data: bytes) -> Frame:
    """Decode ``data``, which must hold exactly one frame.

    Raises ProtocolError otherwise.
    """
    decoder = FrameDecoder()
    frames = list(decoder.feed(data))
    if len(frames) != 1 or not decoder.is_empty:
        raise ProtocolError(f"expected exactly one complete frame, found {len(frames)}")
    return frames[0]
