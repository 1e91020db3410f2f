"""Callers' requests that cannot be served: numbered, and nothing runs."""

import json

import aiohttp
import pytest

from cardamomnotch_protocol.result_codes import ResultCode

_MEMBER = {"Authorization": "Bearer member-key"}
_MESSAGES = [{"role": "user", "content": "How many crates?"}]


def _completion(**changes):
    return json.dumps({"model": "auto", "messages": _MESSAGES, **changes}).encode()


def _ran(system):
    names = ("started", "effects", "reads")
    counts = [gate.stand_in.faults.counts for gate in system.upstream_vms.values()]
    return sum(item.get(name, 0) for item in counts for name in names)


@pytest.mark.parametrize(
    ("body", "code"),
    [
        pytest.param(b"", ResultCode.INVALID_JSON, id="empty"),
        pytest.param(b'{"messages": "\xff"}', ResultCode.INVALID_JSON, id="not UTF-8"),
        pytest.param(b"[" * 100_000, ResultCode.INVALID_JSON, id="nested without end"),
        pytest.param(b'{"a": NaN}', ResultCode.INVALID_JSON, id="not a number"),
        pytest.param(
            _completion(model=3), ResultCode.INVALID_REQUEST, id="model not text"
        ),
        pytest.param(_completion(model=""), ResultCode.INVALID_REQUEST, id="no model"),
        pytest.param(
            _completion(messages={}), ResultCode.INVALID_REQUEST, id="messages no list"
        ),
        pytest.param(
            _completion(messages=["x"]),
            ResultCode.INVALID_REQUEST,
            id="message no object",
        ),
        pytest.param(
            _completion(max_tokens=-1), ResultCode.INVALID_REQUEST, id="negative tokens"
        ),
        pytest.param(
            _completion(max_tokens=1.5), ResultCode.INVALID_REQUEST, id="half a token"
        ),
        pytest.param(
            _completion(stream="yes"), ResultCode.INVALID_REQUEST, id="stream no flag"
        ),
    ],
)
async def test_bad_body_is_refused(system, http_session, body, code):
    """A body that is no completion request gets its number, and nothing runs."""
    url = f"{system.entries['entry-0'].url}/v1/chat/completions"
    async with http_session.post(url, data=body, headers=_MEMBER) as response:
        answer = await response.json()
    assert (response.status, answer["error"]["code"]) == (400, code)
    assert _ran(system) == 0


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        pytest.param({"X-Cardamomnotch-Timeout-S": "soon"}, 400, id="no number"),
        pytest.param({"X-Cardamomnotch-Timeout-S": "nan"}, 400, id="not a number"),
        pytest.param({"X-Cardamomnotch-Timeout-S": "inf"}, 400, id="without end"),
        pytest.param({"X-Cardamomnotch-Timeout-S": "-3"}, 408, id="negative"),
        pytest.param({"Authorization": "Basic bWVtYmVy"}, 401, id="other scheme"),
        pytest.param({"Authorization": "Bearer "}, 401, id="empty key"),
        pytest.param({"Authorization": "Bearer kl\u00fc"}, 401, id="key not ASCII"),
        pytest.param({"X-Cardamomnotch-Session": "x" * 5_000}, 400, id="long token"),
        pytest.param({"Idempotency-Key": "k" * 7_000}, 400, id="long key"),
    ],
)
async def test_bad_header_is_refused(system, http_session, headers, status):
    """A header that cannot be read gets its status, and nothing runs."""
    url = f"{system.entries['entry-0'].url}/v1/chat/completions"
    all_headers = {**_MEMBER, **headers}
    async with http_session.post(
        url, data=_completion(), headers=all_headers
    ) as response:
        answer = await response.json()
    assert response.status == status
    assert answer["error"]["code"]
    assert _ran(system) == 0


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        pytest.param("POST", "/services/nobody/reservations", 404, id="no service"),
        pytest.param("POST", "/services/booking/nothing", 404, id="no route"),
        pytest.param("DELETE", "/services/booking/reservations", 404, id="no method"),
        pytest.param("POST", "/services/booking/%2e%2e/faults", 404, id="path climbs"),
        pytest.param("POST", "/services/booking/stock/../faults", 404, id="climbs out"),
    ],
)
async def test_call_outside_the_routes_is_refused(
    system, http_session, method, path, status
):
    """A service call that no listed route covers is refused, and not run."""
    url = aiohttp.client.URL(f"{system.entries['entry-0'].url}{path}", encoded=True)
    async with http_session.request(method, url, headers=_MEMBER) as response:
        answer = await response.json()
    assert response.status == status
    assert answer["error"]["code"] in (
        ResultCode.UNKNOWN_ROUTE,
        ResultCode.SERVICE_NOT_ALLOWED,
    )
    assert _ran(system) == 0


@pytest.mark.parametrize("method", ["GET", "PUT"])
async def test_unknown_path_is_no_fault_of_the_entry(system, http_session, method):
    """A path or method that the API lacks is a client's error."""
    url = f"{system.entries['entry-0'].url}/v1/nothing"
    async with http_session.request(method, url, headers=_MEMBER) as response:
        assert response.status == 404
