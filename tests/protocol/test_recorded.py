"""Tests with messages of an earlier release and of the next one."""

from pathlib import Path

import attrs
import orjson
import pytest

from cardamomnotch_core.admission.limiter import ConcurrencyLimiter
from cardamomnotch_core.nodes import actions, events
from cardamomnotch_core.nodes.identity import SidecarIdentity
from cardamomnotch_core.nodes.sidecar_node import SidecarNode
from cardamomnotch_protocol import codec
from cardamomnotch_protocol.models import (
    MESSAGE_CLASSES,
    AttemptRequest,
    HeartbeatRequest,
)

_RECORDED_PATH = Path(__file__).parent / "recorded" / "protocol-1.jsonl"
_RECORDED_MESSAGES = _RECORDED_PATH.read_bytes().splitlines(keepends=True)


def _message_type(line):
    return orjson.loads(line)["type"]


def _as_next_release(line):
    """Return the recorded message as the next release would send it."""
    fields = orjson.loads(line)
    fields.update(protocol_version=2, compatible_with=1, added_later={"deep": [1]})
    return orjson.dumps(fields) + b"\n"


@pytest.mark.parametrize("line", _RECORDED_MESSAGES, ids=_message_type)
def test_recorded_message_is_preserved(line):
    """Decoding and encoding preserve all fields of a recorded message."""
    recorded = orjson.loads(line)
    encoded_again = orjson.loads(codec.encode(codec.decode(line).message))
    assert {name: encoded_again.get(name) for name in recorded} == recorded


@pytest.mark.parametrize("line", _RECORDED_MESSAGES, ids=_message_type)
def test_message_of_the_next_release_is_accepted(line):
    """Fields that the next release adds do not affect the known fields."""
    message = codec.decode(_as_next_release(line)).message
    assert message == codec.decode(line).message
    assert message.unknown_fields == {"added_later": {"deep": [1]}}


@pytest.mark.parametrize("line", _RECORDED_MESSAGES, ids=_message_type)
def test_message_with_required_fields_only_is_accepted(line):
    """Fields that an earlier release does not send have defaults."""
    cls = MESSAGE_CLASSES[_message_type(line)]
    required = {
        field.name for field in attrs.fields(cls) if field.default is attrs.NOTHING
    }
    envelope_fields = {"type", "protocol_version", "compatible_with"}
    fields = {
        name: value
        for name, value in orjson.loads(line).items()
        if name in required | envelope_fields
    }
    assert isinstance(codec.decode(orjson.dumps(fields) + b"\n").message, cls)


def _decode_recorded(cls, convert):
    """Decode the recorded message of class ``cls`` after ``convert``."""
    line = next(
        line for line in _RECORDED_MESSAGES if _message_type(line) == cls.message_type
    )
    return codec.decode(convert(line)).message


@pytest.mark.parametrize(
    "convert", [bytes, _as_next_release], ids=["this release", "next release"]
)
def test_sidecar_handles_both_releases_alike(convert):
    """Heartbeats and attempts of both releases lead to the same actions."""
    node = SidecarNode(
        SidecarIdentity(vm_id="u", zone="a", incarnation="incarnation-1"),
        ConcurrencyLimiter(limit=1),
    )
    heartbeat = events.HeartbeatArrived(
        request=_decode_recorded(HeartbeatRequest, convert)
    )
    reply, fetch = node.handle(heartbeat, 0.0)
    assert isinstance(reply, actions.ReplyToHeartbeat)
    assert fetch == actions.FetchConfiguration(address="entry_address-1")
    attempt = events.AttemptArrived(request=_decode_recorded(AttemptRequest, convert))
    assert isinstance(node.handle(attempt, 0.0)[0], actions.FetchConfiguration)


def test_recorded_message_types_still_exist():
    """Every recorded message type is still registered."""
    assert {_message_type(line) for line in _RECORDED_MESSAGES} <= set(MESSAGE_CLASSES)
