"""Sessions as callers see them."""

import pytest

from cardamomnotch_core.configuration.out_of_service import (
    OutOfServiceKind,
    set_out_of_service,
)
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.tasks import async_wait_until

_SESSION = "X-Cardamomnotch-Session"
_REPLACED = "X-Cardamomnotch-Session-Replaced"
_VERSION = "X-Cardamomnotch-Version"
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
    """A token from one entry holds at another that has never seen it."""
    first = system.entries["entry-0"]
    answer = await _async_call(http_session, first, model="drafter/v2")
    other = await system.async_add_entry("entry-1", "domzale")
    await system.async_wait_until_ready()
    again = await _async_call(
        http_session, other, **{_SESSION: answer.headers[_SESSION]}
    )
    assert again.headers[_VERSION] == "drafter/v2"
    assert _REPLACED not in again.headers


async def test_withdrawn_version_is_replaced_once(system, http_session):
    """The answer names the version that was replaced, and binds to the new one."""
    running = system.entries["entry-0"]
    node = running.entry.node
    answer = await _async_call(http_session, running)
    lists = node.configuration.record.configuration
    lists = set_out_of_service(lists, OutOfServiceKind.VERSION, "drafter/v1", out=True)
    system.set_configuration(lists, revision=2)
    assert await async_wait_until(lambda: node.configuration.revision == 2, 3.0)
    moved = await _async_call(
        http_session, running, **{_SESSION: answer.headers[_SESSION]}
    )
    assert moved.headers[_REPLACED] == "drafter/v1"
    stays = await _async_call(
        http_session, running, **{_SESSION: moved.headers[_SESSION]}
    )
    assert stays.headers[_VERSION] == "drafter/v2"
    assert _REPLACED not in stays.headers


@pytest.mark.parametrize("case", ["forged", "another workspace"])
async def test_token_of_somebody_else_is_refused(system, http_session, case):
    """A token that is not the workspace's own is refused, not ignored."""
    running = system.entries["entry-0"]
    token = "forged"
    if case == "another workspace":
        answer = await _async_call(http_session, running, key="trial-key")
        token = answer.headers[_SESSION]
    refused = await _async_call(http_session, running, **{_SESSION: token})
    assert refused.status == 400
    code = refused.headers["X-Cardamomnotch-Result-Code"]
    assert code == str(int(ResultCode.INVALID_SESSION))
