"""Messages of a former and of a next release, against this code."""

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

_RECORDED = Path(__file__).parent / "recorded" / "protocol-1.jsonl"
_LINES = _RECORDED.read_bytes().splitlines(keepends=True)


def _type(line):
    return orjson.loads(line)["type"]


def _of_next_release(line):
    """Return the message as a newer sender would write it."""
    fields = orjson.loads(line)
    fields.update(protocol_version=2, compatible_with=1, added_later={"deep": [1]})
    return orjson.dumps(fields) + b"\n"


@pytest.mark.parametrize("line", _LINES, ids=_type)
def test_recorded_message_is_preserved(line):
    """What the recorded release wrote is read, and nothing of it is lost."""
    recorded = orjson.loads(line)
    again = orjson.loads(codec.encode(codec.decode(line).message))
    assert {name: again.get(name) for name in recorded} == recorded


@pytest.mark.parametrize("line", _LINES, ids=_type)
def test_message_of_the_next_release_is_accepted(line):
    """Fields that a newer release adds change nothing of what is known."""
    message = codec.decode(_of_next_release(line)).message
    assert message == codec.decode(line).message
    assert message.unknown_fields == {"added_later": {"deep": [1]}}


@pytest.mark.parametrize("line", _LINES, ids=_type)
def test_message_with_required_fields_only_is_accepted(line):
    """Every field that a former release may not send has a default."""
    cls = MESSAGE_CLASSES[_type(line)]
    required = {
        field.name for field in attrs.fields(cls) if field.default is attrs.NOTHING
    }
    envelope = {"type", "protocol_version", "compatible_with"}
    fields = {
        name: value
        for name, value in orjson.loads(line).items()
        if name in required | envelope
    }
    assert isinstance(codec.decode(orjson.dumps(fields) + b"\n").message, cls)


def _decoded(cls, read):
    line = next(line for line in _LINES if _type(line) == cls.message_type)
    return codec.decode(read(line)).message


@pytest.mark.parametrize(
    "read", [bytes, _of_next_release], ids=["this release", "next release"]
)
def test_sidecar_handles_both_releases_alike(read):
    """Heartbeats and attempts of either release lead to the same actions."""
    node = SidecarNode(
        SidecarIdentity(vm_id="u", zone="a", incarnation="incarnation-1"),
        ConcurrencyLimiter(limit=1),
    )
    heartbeat = events.HeartbeatArrived(request=_decoded(HeartbeatRequest, read))
    reply, fetch = node.handle(heartbeat, 0.0)
    assert isinstance(reply, actions.ReplyToHeartbeat)
    assert fetch == actions.FetchConfiguration(address="entry_address-1")
    attempt = events.AttemptArrived(request=_decoded(AttemptRequest, read))
    assert isinstance(node.handle(attempt, 0.0)[0], actions.FetchConfiguration)


def test_recorded_message_types_still_exist():
    """Every message that the recorded release sends still has its class."""
    assert {_type(line) for line in _LINES} <= set(MESSAGE_CLASSES)
