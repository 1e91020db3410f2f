"""Tests of encoding and decoding the inner protocol's frames."""

import orjson
import pytest

from cardamomnotch_protocol import codec
from cardamomnotch_protocol.const import MAX_HEADER_BYTES, MAX_PAYLOAD_BYTES
from cardamomnotch_protocol.exceptions import ProtocolError
from cardamomnotch_protocol.models import (
    MESSAGE_CLASSES,
    AnswerChunk,
    AttemptFinished,
    AttemptRefused,
    AttemptRequest,
    HeartbeatReply,
    Load,
    Usage,
)
from cardamomnotch_protocol.result_codes import ResultCode

_REQUEST = AttemptRequest(
    attempt_id="a-1",
    request_id="a",
    request_key="w:a",
    workspace="w",
    incarnation="i",
    revision=3,
    timeout_ms=1000,
    headers={"Accept": "text/plain"},
)
_MESSAGES = [
    _REQUEST,
    AnswerChunk(attempt_id="a-1", offset=7),
    AttemptFinished(
        attempt_id="a-1", code=ResultCode.OK, usage=Usage(completion_tokens=2)
    ),
    AttemptRefused(
        attempt_id="a-1", incarnation="i", revision=3, code=ResultCode.UPSTREAM_FULL
    ),
    HeartbeatReply(
        vm_id="v",
        zone="z",
        incarnation="i",
        revision=1,
        accepting=True,
        versions=("m/1",),
        load=Load(in_flight=2, limit=4),
    ),
]


def _changed_header(**changes: object) -> bytes:
    """Return a valid header with ``changes``; None removes a field."""
    frame = codec.encode(AnswerChunk(attempt_id="a-1", offset=7))
    fields = orjson.loads(frame)
    fields.update(changes)
    fields = {key: value for key, value in fields.items() if value is not None}
    return orjson.dumps(fields) + b"\n"


@pytest.mark.parametrize("message", _MESSAGES, ids=lambda item: item.message_type)
def test_decoding_returns_the_encoded_message(message):
    """Decoding an encoded message returns an equal message and payload."""
    frame = codec.decode(codec.encode(message, b"body\n{}"))
    assert frame.message == message
    assert type(frame.message) is type(message)
    assert frame.payload == b"body\n{}"


def test_decoder_accepts_any_split_of_the_stream():
    """Frames that arrive one byte at a time are decoded whole."""
    data = b"".join(
        codec.encode(AnswerChunk(attempt_id="a", offset=size), b"x" * size)
        for size in range(4)
    )
    decoder = codec.FrameDecoder()
    frames = [
        frame for index in range(len(data)) for frame in decoder.feed(data[index:][:1])
    ]
    assert [len(frame.payload) for frame in frames] == [0, 1, 2, 3]
    assert decoder.is_empty


def test_unknown_field_is_preserved():
    """Decoding and encoding preserve a field added by a newer release."""
    message = codec.decode(_changed_header(added_later={"deep": [1]})).message
    assert message.unknown_fields == {"added_later": {"deep": [1]}}
    decoded_again = codec.decode(codec.encode(message)).message
    assert decoded_again.unknown_fields == {"added_later": {"deep": [1]}}


def test_newer_compatible_version_is_accepted():
    """A newer message is decoded if it is compatible with this version."""
    frame = codec.decode(_changed_header(protocol_version=9, compatible_with=1))
    assert frame.message == AnswerChunk(attempt_id="a-1", offset=7)


def test_unknown_result_code_becomes_unknown_outcome():
    """A result code of a newer release is decoded as OUTCOME_UNKNOWN."""
    data = codec.encode(AttemptFinished(attempt_id="a", code=ResultCode.OK))
    newer = data.replace(b'"code":0', b'"code":399')
    assert codec.decode(newer).message.code is ResultCode.OUTCOME_UNKNOWN


@pytest.mark.parametrize(
    ("data", "code"),
    [
        pytest.param(b"{\n", ResultCode.MALFORMED_MESSAGE, id="bad JSON"),
        pytest.param(b"[]\n", ResultCode.MALFORMED_MESSAGE, id="not an object"),
        pytest.param(b"", ResultCode.MALFORMED_MESSAGE, id="empty"),
        pytest.param(
            _changed_header(type="x"), ResultCode.MALFORMED_MESSAGE, id="unknown type"
        ),
        pytest.param(
            _changed_header(attempt_id=None),
            ResultCode.MALFORMED_MESSAGE,
            id="missing field",
        ),
        pytest.param(
            _changed_header(offset="7"), ResultCode.MALFORMED_MESSAGE, id="wrong type"
        ),
        pytest.param(
            _changed_header(compatible_with=9, protocol_version=9),
            ResultCode.UNSUPPORTED_PROTOCOL,
            id="newer version",
        ),
        pytest.param(
            _changed_header(compatible_with=0, protocol_version=0),
            ResultCode.UNSUPPORTED_PROTOCOL,
            id="older version",
        ),
        pytest.param(
            _changed_header(protocol_version=None),
            ResultCode.MALFORMED_MESSAGE,
            id="no version",
        ),
        pytest.param(
            _changed_header(payload_bytes=MAX_PAYLOAD_BYTES + 1),
            ResultCode.MESSAGE_TOO_LARGE,
            id="oversize payload",
        ),
        pytest.param(
            b"x" * (MAX_HEADER_BYTES + 1),
            ResultCode.MESSAGE_TOO_LARGE,
            id="oversize header",
        ),
        pytest.param(
            _changed_header(payload_bytes=3),
            ResultCode.MALFORMED_MESSAGE,
            id="short payload",
        ),
    ],
)
def test_invalid_frame_is_rejected(data, code):
    """Decoding an invalid frame raises ProtocolError with its result code."""
    with pytest.raises(ProtocolError) as raised:
        codec.decode(data)
    assert raised.value.code is code


def test_message_classes_are_registered_by_type():
    """Every message class is registered under its own message type."""
    assert all(cls.message_type == name for name, cls in MESSAGE_CLASSES.items())
