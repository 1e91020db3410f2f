"""Tests of decoding and encoding callers' and upstreams' headers."""

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from cardamomnotch_adapter.message_codec import PlatformMessageCodec
from cardamomnotch_core.relay.const import (
    MAX_KEY_CHARS,
    MAX_PROMPT_PARTS,
    MAX_TOKENS,
)
from cardamomnotch_core.relay.exceptions import RefusalError
from cardamomnotch_core.relay.models import UpstreamHints
from cardamomnotch_entry.relay.models import AttemptParameters
from cardamomnotch_protocol.result_codes import ResultCode

PARAMETERS = AttemptParameters(
    upstream_id="i-1", workspace="firm-one", remaining_s=1.2345
)


def decode(headers, body=b"", target="/draft/x?q=1"):
    """Return a decoded request with the given headers."""
    request_headers = CIMultiDict({"Host": "calls.example", "X-Attempt-Id": "one"})
    request_headers.extend(headers)
    return PlatformMessageCodec().decode_request(
        "POST", target, CIMultiDictProxy(request_headers), body
    )


def encode(headers, parameters=PARAMETERS):
    """Return the headers that are sent to the upstream."""
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
    """Reserved and hop-by-hop headers are not forwarded to the upstream."""
    assert name not in encode({name: "value"})


def test_header_named_by_connection_is_removed():
    """A header named by Connection is removed unless the protocol needs it."""
    headers = {
        "Connection": "X-Hop, X-Attempt-Id",
        "X-Hop": "1",
        "X-Keep": "2",
    }
    sent = encode(headers)
    assert "X-Hop" not in sent
    assert (sent["X-Keep"], sent["X-Attempt-Id"]) == ("2", "one")


def test_attempt_parameters_are_set_as_headers():
    """Upstream, workspace and remaining time are sent with each attempt."""
    sent = encode({"X-Tenant": "firm-other", "X-Deadline-Ms": "9000"})
    assert sent.getall("X-Tenant") == ["firm-one"]
    assert sent["X-Expect-Instance"] == "i-1"
    assert sent.getall("X-Deadline-Ms") == ["1234"]
    assert sent["Host"] == "calls.example"


def test_public_request_names_no_workspace():
    """A caller's workspace header is removed from a public request."""
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
def test_api_key_requires_its_scheme(value, expected):
    """An API key without the expected scheme is ignored."""
    assert decode({"Authorization": value}).api_key == expected


def test_request_facts_are_decoded():
    """Token counts, prompt prefix, session and model choice are decoded."""
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


def test_part_behind_many_others_is_not_suspected():
    """All shared parts are suspects; estimates regard the first ones only."""
    prompt = ",".join(f"{number:x}:2" for number in range(2_290))
    facts = decode({"X-Prefix-Hash": prompt}).facts
    assert [part.part_id for part in facts.prompt] == [
        f"{number:x}" for number in range(MAX_PROMPT_PARTS)
    ]
    assert facts.suspects == {
        facts.fingerprint,
        *(f"part:{number:x}" for number in range(2_289)),
    }
    assert facts.prompt_tokens == 2 * 2_290


def test_long_names_become_keys():
    """Ids of parts and sessions have a bounded length; different ones differ."""
    names = ["a" * MAX_KEY_CHARS, "a" * 5_000, "a" * 4_999 + "b"]
    facts = decode(
        {"X-Prefix-Hash": ",".join(f"{name}:1" for name in names), "Session": names[1]}
    ).facts
    ids = [part.part_id for part in facts.prompt]
    assert ids[0] == names[0]
    assert len(set(ids)) == 3
    assert max(map(len, (*ids, facts.session))) <= MAX_KEY_CHARS


@pytest.mark.parametrize(
    ("value", "expected"),
    [("40", 40), ("", 0), ("-3", 0), ("4.5", 0), ("many", 0)],
    ids=["number", "empty", "negative", "fraction", "word"],
)
def test_guessed_output_length_is_decoded(value, expected):
    """A guess that is no whole number counts as none."""
    assert decode({"X-Length-Hint": value}).facts.expected_output_tokens == expected


@pytest.mark.parametrize("value", ["", "x", "1,2,3", ":", "a:b,c:-1", "1460"])
def test_malformed_token_counts_are_ignored(value):
    """Malformed token counts and prompt prefixes count as unknown."""
    facts = decode({"X-Token-Counts": value, "X-Prefix-Hash": value}).facts
    assert facts.prompt == ()


def test_fingerprint_depends_on_path_caller_and_body():
    """Two requests have one fingerprint if path, caller and body are equal."""
    fingerprint = decode({"Authorization": "Token a"}, b"x").facts.fingerprint
    assert decode({"Authorization": "Token a"}, b"x").facts.fingerprint == fingerprint
    for headers, body, target in (
        ({"Authorization": "Token b"}, b"x", "/draft/x?q=1"),
        ({"Authorization": "Token a"}, b"y", "/draft/x?q=1"),
        ({"Authorization": "Token a"}, b"x", "/draft/y"),
    ):
        assert decode(headers, body, target).facts.fingerprint != fingerprint


@pytest.mark.parametrize("name", ["X-Model", "X-Prefix-Hash"])
def test_crashing_request_is_recognized_with_other_model_or_prompt(name):
    """Other headers than the caller's key do not change the fingerprint."""
    fingerprints = {
        decode({"Authorization": "Token a", name: value}, b"x").facts.fingerprint
        for value in ("one:5", "two:7")
    }
    assert len(fingerprints) == 1


@pytest.mark.parametrize("value", ["soon", "1e", "--1"])
def test_deadline_must_be_a_number(value):
    """A request with a malformed deadline is refused."""
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
    """Only status 421 or the header X-Not-Executed states "not run"."""
    response = PlatformMessageCodec().decode_response(
        status, CIMultiDictProxy(CIMultiDict(headers))
    )
    assert response.not_run is not_run


def test_response_head_is_decoded():
    """Hop-by-hop headers of a response are removed, all others are kept."""
    headers = {
        "X-Attempt-Id": "one",
        "X-Engine-Signature": "s",
        "X-Confidence": "40",
        "Connection": "close",
        "Content-Length": "5",
    }
    response = PlatformMessageCodec().decode_response(
        200, CIMultiDictProxy(CIMultiDict(headers))
    )
    assert (response.request_id, response.is_signed, response.confidence) == (
        "one",
        True,
        40,
    )
    assert set(response.headers) == {
        "X-Attempt-Id",
        "X-Engine-Signature",
        "X-Confidence",
    }


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (None, UpstreamHints()),
        ("1", UpstreamHints(rate_limit=1.0)),
        ("1.10", UpstreamHints(rate_limit=1.1)),
        ("0", UpstreamHints(rate_limit=0.0)),
        ("1000000000", UpstreamHints(rate_limit=1e9)),
        ("", None),
        ("few", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("1,2", None),
    ],
)
def test_rate_limit_named_by_an_upstream(value, expected):
    """A rate is decoded; a malformed one says nothing."""
    headers = CIMultiDict({} if value is None else {"Server-Limit": value})
    response = PlatformMessageCodec().decode_response(200, CIMultiDictProxy(headers))
    assert response.hints == expected


def test_response_of_another_upstream_names_no_rate_limit():
    """An upstream that is not the expected one says nothing about that."""
    headers = CIMultiDictProxy(CIMultiDict({"Server-Limit": "1"}))
    assert PlatformMessageCodec().decode_response(421, headers).hints is None


@pytest.mark.parametrize("digits", ["9" * 5_000, "9" * 400, str(2**65), "10000001"])
def test_count_beyond_any_prompt_overflows(digits):
    """Numbers of tokens have an upper bound, however many digits they have."""
    headers = {
        "X-Prefix-Hash": f"a:{digits},b:1",
        "X-Token-Counts": f"{digits},{digits}",
        "X-Length-Hint": digits,
    }
    facts = decode(headers).facts
    assert facts.prompt[0].tokens == MAX_TOKENS
    assert facts.prompt_tokens == MAX_TOKENS
    assert facts.max_output_tokens == MAX_TOKENS
    assert facts.expected_output_tokens == MAX_TOKENS


def test_count_with_leading_zeros_is_bounded():
    """Zeros in front do not make a number large."""
    assert decode({"X-Length-Hint": "0" * 5_000 + "7"}).facts.likely_output_tokens == 7


def test_sum_of_many_parts_exceeds_the_bound():
    """So does the sum over the parts of a prompt."""
    value = ",".join(f"{part:x}:{MAX_TOKENS}" for part in range(2 * MAX_PROMPT_PARTS))
    assert decode({"X-Prefix-Hash": value}).facts.prompt_tokens == MAX_TOKENS


def test_names_that_are_no_text_cannot_be_encoded():
    """Ids with undecodable bytes are kept by a digest, which notices can contain."""
    bad = b"\xff\xfe".decode("utf-8", "surrogateescape")
    facts = decode({"Session": bad, "X-Prefix-Hash": f"{bad}:1,{bad}b:1"}).facts
    names = [facts.session, *(part.part_id for part in facts.prompt)]
    assert len(set(names)) == 2
    assert all(name.encode() for name in names)


def test_deadline_that_is_no_number_is_taken_as_passed():
    """A deadline that is not a number is refused."""
    with pytest.raises(RefusalError) as error:
        decode({"X-Deadline-Ms": "nan"})
    assert error.value.code is ResultCode.INVALID_REQUEST
