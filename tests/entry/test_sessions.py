"""Session tokens of callers from end to end."""

import pytest

from cardamomnotch_core.configuration.out_of_service import (
    OutOfServiceKind,
    set_out_of_service,
)
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.tasks import async_wait_until

_SESSION_HEADER = "X-Cardamomnotch-Session"
_REPLACED_HEADER = "X-Cardamomnotch-Session-Replaced"
_VERSION_HEADER = "X-Cardamomnotch-Version"
_BODY = {"messages": [{"role": "user", "content": "Hello"}], "max_tokens": 2}


async def _async_call(http_session, entry, key="member-key", model="auto", **headers):
    headers["Authorization"] = f"Bearer {key}"
    url = f"{entry.url}/v1/chat/completions"
    async with http_session.post(
        url, json={**_BODY, "model": model}, headers=headers
    ) as response:
        await response.read()
        return response


async def test_session_keeps_its_version_at_a_new_entry(system, http_session):
    """A session token of one entry is valid at an entry that is new."""
    first = system.entries["entry-0"]
    answer = await _async_call(http_session, first, model="drafter/v2")
    other = await system.async_add_entry("entry-1", "domzale")
    await system.async_wait_until_ready()
    again = await _async_call(
        http_session, other, **{_SESSION_HEADER: answer.headers[_SESSION_HEADER]}
    )
    assert again.headers[_VERSION_HEADER] == "drafter/v2"
    assert _REPLACED_HEADER not in again.headers


async def test_out_of_service_version_is_replaced_once(system, http_session):
    """The response names the replaced version; its token has the new one."""
    running = system.entries["entry-0"]
    node = running.entry.node
    answer = await _async_call(http_session, running)
    configuration = node.configuration.record.configuration
    configuration = set_out_of_service(
        configuration, OutOfServiceKind.VERSION, "drafter/v1", out=True
    )
    system.set_configuration(configuration, revision=2)
    assert await async_wait_until(lambda: node.configuration.revision == 2, 3.0)
    replaced = await _async_call(
        http_session, running, **{_SESSION_HEADER: answer.headers[_SESSION_HEADER]}
    )
    assert replaced.headers[_REPLACED_HEADER] == "drafter/v1"
    continued = await _async_call(
        http_session, running, **{_SESSION_HEADER: replaced.headers[_SESSION_HEADER]}
    )
    assert continued.headers[_VERSION_HEADER] == "drafter/v2"
    assert _REPLACED_HEADER not in continued.headers


@pytest.mark.parametrize("case", ["forged", "another workspace"])
async def test_foreign_session_token_is_refused(system, http_session, case):
    """A token forged or of another workspace is refused, not ignored."""
    running = system.entries["entry-0"]
    token = "forged"
    if case == "another workspace":
        answer = await _async_call(http_session, running, key="trial-key")
        token = answer.headers[_SESSION_HEADER]
    refused = await _async_call(http_session, running, **{_SESSION_HEADER: token})
    assert refused.status == 400
    code = refused.headers["X-Cardamomnotch-Result-Code"]
    assert code == str(int(ResultCode.INVALID_SESSION))
