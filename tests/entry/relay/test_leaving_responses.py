"""Responses in which an upstream says that it leaves."""

import pytest

from tests.stand_ins.platform_upstream import plain, stream

LEAVING = {"Server_Leaving": "1"}
RESPONSES = {
    "answer": ("/read/x", plain(**LEAVING)),
    "answer that may not be repeated": ("/book/x", plain(**LEAVING)),
    "failure": ("/read/x", plain(b"", 500, **LEAVING)),
    "refusal": ("/read/x", plain(b"", 503, X_Not_Executed="1", **LEAVING)),
    "malformed limit beside it": ("/read/x", plain(Server_Limit="x", **LEAVING)),
    "stream": ("/answer/x", stream(1, 1, **LEAVING)),
}
OTHERS = {
    "nothing said": plain(),
    "not leaving": plain(Server_Leaving="0"),
    "another request's": plain(X_Attempt_Id="other", **LEAVING),
    "another upstream at the address": plain(b"", 421, **LEAVING),
}


async def async_call_often(relay, path):
    """Send ten requests; return the statuses of the responses."""
    return {(await relay.async_call(path)).status for _ in range(10)}


@pytest.mark.parametrize(("path", "response"), RESPONSES.values(), ids=RESPONSES)
async def test_upstream_that_says_it_leaves_gets_more_requests(relay, path, response):
    """After such a response the upstream gets no request of this entry."""
    service = "drafts" if path == "/answer/x" else "bookings"
    leaving = await relay.async_add_upstream("up", response, service=service)
    while not leaving.seen:
        await relay.async_call(path)
    seen = len(leaving.seen)
    assert await async_call_often(relay, path) == {503}
    other = await relay.async_add_upstream(
        "up-2", stream(1, 1) if service == "drafts" else plain(), service=service
    )
    relay.register(leaving, service=service, sequence=2)
    assert await async_call_often(relay, path) == {200}
    assert (len(leaving.seen), len(other.seen)) == (seen, 10)


@pytest.mark.parametrize("response", OTHERS.values(), ids=OTHERS)
async def test_upstream_that_stays_gets_no_more_requests(relay, response):
    """Other responses do not take the upstream out of use."""
    upstream = await relay.async_add_upstream(
        "up", response, plain(), service="bookings"
    )
    await relay.async_call("/read/x")
    seen = len(upstream.seen)
    assert await async_call_often(relay, "/read/x") == {200}
    assert len(upstream.seen) == seen + 10


@pytest.mark.parametrize("is_deleted", [False, True], ids=["born anew", "listed anew"])
async def test_restarted_upstream_gets_no_requests(relay, is_deleted):
    """A new process under the id is used, also if it does not state its start."""
    upstream = await relay.async_add_upstream(
        "up", plain(**LEAVING), plain(), service="bookings"
    )
    assert (await relay.async_call("/read/x")).status == 200
    assert (await relay.async_call("/read/x")).status == 503
    fleet = relay.entry.node.fleet
    if is_deleted:
        relay.store.delete("servers/up")
        await relay.async_wait_for(lambda: fleet.get("up") is None)
        relay.register(upstream, service="bookings")
    else:
        relay.register(upstream, service="bookings", born=1_800_000_000_000)
    await relay.async_wait_for(
        lambda: fleet.get("up") is not None and not fleet.get("up").is_leaving
    )
    assert (await relay.async_call("/read/x")).status == 200
