"""Requests of callers from end to end."""

import asyncio

import pytest

from cardamomnotch_core.configuration.out_of_service import (
    OutOfServiceKind,
    set_out_of_service,
)
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.const import MAX_BODY_BYTES
from cardamomnotch_runtime.tasks import async_wait_until

_MEMBER_HEADERS = {"Authorization": "Bearer member-key"}
_TRIAL_HEADERS = {"Authorization": "Bearer trial-key"}
_MESSAGES = [{"role": "user", "content": "How many crates?"}]


def _completion_body(**changes):
    return {"model": "auto", "messages": _MESSAGES, "max_tokens": 3, **changes}


def _count_started(system):
    return sum(
        upstream_vm.stand_in.faults.counts.get("started", 0)
        for upstream_vm in system.upstream_vms.values()
    )


async def _async_complete(http_session, system, headers=None, **changes):
    url = f"{system.entries['entry-0'].url}/v1/chat/completions"
    async with http_session.post(
        url,
        json=_completion_body(**changes),
        headers={**_MEMBER_HEADERS, **(headers or {})},
    ) as response:
        return response.status, response.headers, await response.read()


async def test_stream_is_forwarded_completely(system, http_session):
    """A streamed answer of the cheapest version ends with the end event."""
    status, headers, body = await _async_complete(http_session, system, stream=True)
    assert status == 200
    assert headers["X-Cardamomnotch-Version"] == "drafter/v1"
    assert body.count(b"data: ") == 3 + 2 + 1
    assert body.endswith(b"data: [DONE]\n\n")


async def test_class_target_chooses_the_version(system, http_session):
    """A class whose target the cheap version misses gets a better one."""
    _, headers, _ = await _async_complete(
        http_session, system, {"X-Cardamomnotch-Class": "tender"}
    )
    assert headers["X-Cardamomnotch-Version"] == "drafter/v2"


async def test_booking_is_forwarded_to_the_service(system, http_session):
    """A booking reaches the service once, and its response the caller."""
    url = f"{system.entries['entry-0'].url}/services/booking/reservations"
    async with http_session.post(
        url, json={"batch": "b"}, headers=_MEMBER_HEADERS
    ) as answer:
        assert answer.status == 201
        assert (await answer.json())["batch"] == "b"
    assert len(system.upstream_vms["booking-0"].stand_in.reservations) == 1


@pytest.mark.parametrize(
    ("headers", "body", "status", "code"),
    [
        pytest.param({}, b"{}", 401, ResultCode.MISSING_KEY, id="no key"),
        pytest.param(
            {"Authorization": "Bearer no"},
            None,
            401,
            ResultCode.UNKNOWN_KEY,
            id="unknown key",
        ),
        pytest.param(
            _MEMBER_HEADERS, b"{", 400, ResultCode.INVALID_JSON, id="not JSON"
        ),
        pytest.param(
            _MEMBER_HEADERS, b"[]", 400, ResultCode.INVALID_JSON, id="body is no object"
        ),
        pytest.param(
            _MEMBER_HEADERS, b"{}", 400, ResultCode.INVALID_REQUEST, id="no messages"
        ),
        pytest.param(
            _MEMBER_HEADERS,
            b" " * (MAX_BODY_BYTES + 1),
            413,
            ResultCode.BODY_TOO_LARGE,
            id="body over the limit",
        ),
        pytest.param(
            {**_MEMBER_HEADERS, "X-Cardamomnotch-Timeout-S": "0"},
            None,
            408,
            ResultCode.DEADLINE_PASSED,
            id="deadline passed",
        ),
        pytest.param(
            {**_MEMBER_HEADERS, "X-Cardamomnotch-Class": "no"},
            None,
            400,
            ResultCode.UNKNOWN_CLASS,
            id="unknown class",
        ),
    ],
)
async def test_bad_input_is_refused(system, http_session, headers, body, status, code):
    """Invalid input gets its status and result code, and is not executed."""
    url = f"{system.entries['entry-0'].url}/v1/chat/completions"
    content = {"data": body} if body is not None else {"json": _completion_body()}
    async with http_session.post(url, headers=headers, **content) as response:
        answer = await response.json()
    assert (response.status, answer["error"]["code"]) == (status, code)
    assert _count_started(system) == 0


@pytest.mark.parametrize(
    ("headers", "model", "code"),
    [
        pytest.param(
            _MEMBER_HEADERS, "nobody", ResultCode.UNKNOWN_MODEL, id="unknown model"
        ),
        pytest.param(
            _MEMBER_HEADERS,
            "drafter/v9",
            ResultCode.UNKNOWN_MODEL,
            id="unknown version",
        ),
        pytest.param(
            _TRIAL_HEADERS,
            "drafter/v2",
            ResultCode.MODEL_NOT_ALLOWED,
            id="not in the plan",
        ),
    ],
)
async def test_model_outside_the_plan_is_refused(
    system, http_session, headers, model, code
):
    """A model that is unknown or outside the plan is refused and not run."""
    _, answer_headers, _ = await _async_complete(
        http_session, system, headers, model=model
    )
    assert answer_headers["X-Cardamomnotch-Result-Code"] == str(int(code))
    assert _count_started(system) == 0


async def test_caller_disconnect_cancels_the_upstream_request(system, http_session):
    """A stream whose caller disconnected is cancelled at the engine."""
    for upstream_vm in system.upstream_vms.values():
        upstream_vm.stand_in.faults.active["token_s"] = 0.1
    url = f"{system.entries['entry-0'].url}/v1/chat/completions"
    body = _completion_body(stream=True, max_tokens=200)
    async with http_session.post(url, json=body, headers=_MEMBER_HEADERS) as response:
        await response.content.readline()
        response.close()

    def cancelled():
        counts = [
            upstream_vm.stand_in.faults.counts
            for upstream_vm in system.upstream_vms.values()
        ]
        return sum(counts_of_vm.get("cancelled", 0) for counts_of_vm in counts) == 1

    assert await async_wait_until(cancelled, 5.0)


async def test_out_of_service_version_gets_no_new_requests(system, http_session):
    """New requests use the next version once one is out of service."""
    record = system.entries["entry-0"].entry.node.configuration.record
    configuration = set_out_of_service(
        record.configuration, OutOfServiceKind.VERSION, "drafter/v1", out=True
    )
    system.set_configuration(configuration, revision=2)
    node = system.entries["entry-0"].entry.node
    assert await async_wait_until(lambda: node.configuration.revision == 2, 3.0)
    _, headers, _ = await _async_complete(http_session, system)
    assert headers["X-Cardamomnotch-Version"] == "drafter/v2"


@pytest.mark.parametrize("fault", ["crossed", "refuse"])
async def test_retry_on_another_upstream_hides_a_failing_one(
    system, http_session, fault
):
    """A crossed or refused attempt is retried on another upstream."""
    system.upstream_vms["engine-0"].stand_in.faults.active[fault] = True
    answers = await asyncio.gather(
        *(_async_complete(http_session, system) for _ in range(6))
    )
    assert [status for status, _, _ in answers] == [200] * 6


async def test_truncated_stream_never_looks_complete(system, http_session):
    """A stream that the engine truncates ends without the end event."""
    for upstream_vm in system.upstream_vms.values():
        upstream_vm.stand_in.faults.active["short_after"] = 2
    _, _, body = await _async_complete(http_session, system, stream=True)
    assert b"[DONE]" not in body
    assert str(int(ResultCode.SHORT_ANSWER)).encode() in body
