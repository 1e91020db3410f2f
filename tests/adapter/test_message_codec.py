"""Callers' and upstreams' headers."""

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from cardamomnotch_adapter.message_codec import PlatformMessageCodec
from cardamomnotch_core.relay.exceptions import RefusalError
from cardamomnotch_entry.relay.models import AttemptParameters

TERMS = AttemptParameters(upstream_id="i-1", workspace="firm-one", remaining_s=1.2345)


def decode(headers, body=b"", target="/draft/x?q=1"):
    """Return a decoded request."""
    full = CIMultiDict({"Host": "calls.example", "X-Attempt-Id": "one"})
    full.extend(headers)
    return PlatformMessageCodec().decode_request(
        "POST", target, CIMultiDictProxy(full), body
    )


def encode(headers, parameters=TERMS):
    """Return the headers of an attempt."""
    return PlatformMessageCodec().encode_attempt(decode(headers), parameters)


@pytest.mark.parametrize(
    "name",
    [
        "Kv-Fetch",
        "Kv-From",
        "X-Cache-Hold",
        "X-Expect-Version",
        "X-Kv-Backup",
        "X-Pin-Ms",
        "X-Request-Priority",
        "Authorization",
        "Connection",
        "Keep-Alive",
        "Transfer-Encoding",
        "Upgrade",
    ],
)
def test_header_is_not_forwarded(name):
    """What the system sets, or what concerns one connection, stays here."""
    assert name not in encode({name: "value"})


def test_header_named_by_connection():
    """A header that Connection names goes no further, but for the protocol's."""
    headers = {
        "Connection": "X-Hop, X-Attempt-Id",
        "X-Hop": "1",
        "X-Keep": "2",
    }
    sent = encode(headers)
    assert "X-Hop" not in sent
    assert (sent["X-Keep"], sent["X-Attempt-Id"]) == ("2", "one")


def test_attempt_parameters_are_set_as_headers():
    """Upstream, workspace and the time left go with each attempt."""
    sent = encode({"X-Tenant": "firm-other", "X-Deadline-Ms": "9000"})
    assert sent.getall("X-Tenant") == ["firm-one"]
    assert sent["X-Expect-Instance"] == "i-1"
    assert sent.getall("X-Deadline-Ms") == ["1234"]
    assert sent["Host"] == "calls.example"


def test_public_request_names_no_workspace():
    """A caller cannot name a workspace where the system names none."""
    parameters = AttemptParameters(upstream_id="i-1", workspace=None, remaining_s=1.0)
    assert "X-Tenant" not in encode({"X-Tenant": "firm-other"}, parameters)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("Token abc", "abc"),
        ("token  abc ", "abc"),
        ("Bearer abc", None),
        ("abc", None),
        ("", None),
        ("Token ", None),
    ],
)
def test_api_key(value, expected):
    """A key needs its scheme."""
    assert decode({"Authorization": value}).api_key == expected


def test_facts():
    """Prompt, sizes and session are read."""
    facts = decode(
        {
            "X-Model": "*",
            "X-Token-Counts": "1460,80",
            "X-Prefix-Hash": "5c1e:800,91bd:410,e440:250",
            "Session": "s-1",
        }
    ).facts
    assert (facts.prompt_tokens, facts.max_output_tokens) == (1460, 80)
    assert facts.prefix_key == "5c1e,91bd"
    assert (facts.session, facts.chooses_model) == ("s-1", True)


@pytest.mark.parametrize("value", ["", "x", "1,2,3", ":", "a:b,c:-1", "1460"])
def test_malformed_token_counts_are_ignored(value):
    """Sizes and prompts that cannot be read count as unknown."""
    facts = decode({"X-Token-Counts": value, "X-Prefix-Hash": value}).facts
    assert facts.prompt == ()


def test_fingerprint():
    """Equal are requests of the same path, caller and body."""
    same = decode({"Authorization": "Token a"}, b"x").facts.fingerprint
    assert decode({"Authorization": "Token a"}, b"x").facts.fingerprint == same
    for headers, body, target in (
        ({"Authorization": "Token b"}, b"x", "/draft/x?q=1"),
        ({"Authorization": "Token a"}, b"y", "/draft/x?q=1"),
        ({"Authorization": "Token a"}, b"x", "/draft/y"),
    ):
        assert decode(headers, body, target).facts.fingerprint != same


@pytest.mark.parametrize("value", ["soon", "1e", "--1"])
def test_deadline_must_be_a_number(value):
    """A deadline that cannot be read is the caller's error."""
    with pytest.raises(RefusalError):
        decode({"X-Deadline-Ms": value})


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, {"X-Not-Executed": "1"}, True),
        (421, {}, True),
        (503, {}, False),
        (500, {"X-Engine-Signature": "s"}, False),
    ],
)
def test_only_an_upstream_response_states_not_run(status, headers, not_run):
    """No other answer promises that the request did not run."""
    answer = PlatformMessageCodec().decode_response(
        status, CIMultiDictProxy(CIMultiDict(headers))
    )
    assert answer.not_run is not_run


def test_response_head_is_decoded():
    """An answer's own headers pass, those of its connection do not."""
    headers = {
        "X-Attempt-Id": "one",
        "X-Engine-Signature": "s",
        "X-Confidence": "40",
        "Connection": "close",
        "Content-Length": "5",
    }
    answer = PlatformMessageCodec().decode_response(
        200, CIMultiDictProxy(CIMultiDict(headers))
    )
    assert (answer.request_id, answer.is_signed, answer.confidence) == ("one", True, 40)
    assert set(answer.headers) == {"X-Attempt-Id", "X-Engine-Signature", "X-Confidence"}
