"""Invalid requests of callers are refused and not executed."""

import json

import aiohttp
import pytest

from cardamomnotch_protocol.result_codes import ResultCode

_MEMBER_HEADERS = {"Authorization": "Bearer member-key"}
_MESSAGES = [{"role": "user", "content": "How many crates?"}]


def _completion_body(**changes):
    return json.dumps({"model": "auto", "messages": _MESSAGES, **changes}).encode()


def _count_executions(system):
    counter_names = ("started", "effects", "reads")
    counts = [
        upstream_vm.stand_in.faults.counts
        for upstream_vm in system.upstream_vms.values()
    ]
    return sum(
        counts_of_vm.get(name, 0) for counts_of_vm in counts for name in counter_names
    )


@pytest.mark.parametrize(
    ("body", "code"),
    [
        pytest.param(b"", ResultCode.INVALID_JSON, id="empty"),
        pytest.param(b'{"messages": "\xff"}', ResultCode.INVALID_JSON, id="not UTF-8"),
        pytest.param(b"[" * 100_000, ResultCode.INVALID_JSON, id="nested too deeply"),
        pytest.param(b'{"a": NaN}', ResultCode.INVALID_JSON, id="NaN"),
        pytest.param(
            _completion_body(model=3),
            ResultCode.INVALID_REQUEST,
            id="model is no string",
        ),
        pytest.param(
            _completion_body(model=""), ResultCode.INVALID_REQUEST, id="empty model"
        ),
        pytest.param(
            _completion_body(messages={}),
            ResultCode.INVALID_REQUEST,
            id="messages is no list",
        ),
        pytest.param(
            _completion_body(messages=["x"]),
            ResultCode.INVALID_REQUEST,
            id="message is no object",
        ),
        pytest.param(
            _completion_body(max_tokens=-1),
            ResultCode.INVALID_REQUEST,
            id="negative max_tokens",
        ),
        pytest.param(
            _completion_body(max_tokens=1.5),
            ResultCode.INVALID_REQUEST,
            id="fractional max_tokens",
        ),
        pytest.param(
            _completion_body(stream="yes"),
            ResultCode.INVALID_REQUEST,
            id="stream is no boolean",
        ),
    ],
)
async def test_bad_body_is_refused(system, http_session, body, code):
    """An invalid body gets the expected result code and is not executed."""
    url = f"{system.entries['entry-0'].url}/v1/chat/completions"
    async with http_session.post(url, data=body, headers=_MEMBER_HEADERS) as response:
        answer = await response.json()
    assert (response.status, answer["error"]["code"]) == (400, code)
    assert _count_executions(system) == 0


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        pytest.param(
            {"X-Cardamomnotch-Timeout-S": "soon"}, 400, id="time-out is no number"
        ),
        pytest.param({"X-Cardamomnotch-Timeout-S": "nan"}, 400, id="time-out is NaN"),
        pytest.param({"X-Cardamomnotch-Timeout-S": "inf"}, 400, id="infinite time-out"),
        pytest.param({"X-Cardamomnotch-Timeout-S": "-3"}, 408, id="negative time-out"),
        pytest.param(
            {"Authorization": "Basic bWVtYmVy"}, 401, id="other authorization scheme"
        ),
        pytest.param({"Authorization": "Bearer "}, 401, id="empty API key"),
        pytest.param({"Authorization": "Bearer kl\u00fc"}, 401, id="API key not ASCII"),
        pytest.param(
            {"X-Cardamomnotch-Session": "x" * 5_000}, 400, id="session token too long"
        ),
        pytest.param(
            {"Idempotency-Key": "k" * 7_000}, 400, id="idempotency key too long"
        ),
    ],
)
async def test_bad_header_is_refused(system, http_session, headers, status):
    """An invalid header gets the expected status and nothing is executed."""
    url = f"{system.entries['entry-0'].url}/v1/chat/completions"
    all_headers = {**_MEMBER_HEADERS, **headers}
    async with http_session.post(
        url, data=_completion_body(), headers=all_headers
    ) as response:
        answer = await response.json()
    assert response.status == status
    assert answer["error"]["code"]
    assert _count_executions(system) == 0


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        pytest.param(
            "POST", "/services/nobody/reservations", 404, id="unknown service"
        ),
        pytest.param("POST", "/services/booking/nothing", 404, id="unknown route"),
        pytest.param(
            "DELETE", "/services/booking/reservations", 404, id="method not allowed"
        ),
        pytest.param(
            "POST", "/services/booking/%2e%2e/faults", 404, id="encoded path traversal"
        ),
        pytest.param(
            "POST", "/services/booking/stock/../faults", 404, id="path traversal"
        ),
    ],
)
async def test_call_outside_the_allowed_routes_is_refused(
    system, http_session, method, path, status
):
    """A service call outside the allowed routes is refused and not run."""
    url = aiohttp.client.URL(f"{system.entries['entry-0'].url}{path}", encoded=True)
    async with http_session.request(method, url, headers=_MEMBER_HEADERS) as response:
        answer = await response.json()
    assert response.status == status
    assert answer["error"]["code"] in (
        ResultCode.UNKNOWN_ROUTE,
        ResultCode.SERVICE_NOT_ALLOWED,
    )
    assert _count_executions(system) == 0


@pytest.mark.parametrize("method", ["GET", "PUT"])
async def test_unknown_path_returns_not_found(system, http_session, method):
    """A path or method that the API does not have returns 404."""
    url = f"{system.entries['entry-0'].url}/v1/nothing"
    async with http_session.request(method, url, headers=_MEMBER_HEADERS) as response:
        assert response.status == 404
