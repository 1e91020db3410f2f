"""Requests that wait at the entry for a free slot of an upstream."""

import asyncio

import pytest

from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.notices.models import LoadKind, LoadNotice
from cardamomnotch_entry.relay.peer_messages import decode_notices, encode_notices

from tests.fixtures.relay_system import API_KEY, WORKSPACE, RelaySystem
from tests.stand_ins.platform_upstream import Send, Wait, head

URGENT_KEY, LOW_KEY = "key-urgent", "key-low"
TENANTS = [
    {"name": WORKSPACE, "api_keys": [API_KEY], "priority": 5},
    {"name": "firm-urgent", "api_keys": [URGENT_KEY], "priority": 0},
    {"name": "firm-low", "api_keys": [LOW_KEY], "priority": 9},
]


class HeldSlots:
    """An upstream's behavior that holds each request until it is released."""

    def __init__(self):
        self.targets = []
        self.running = 0
        self.most_running = 0
        self.is_open = False

    def __call__(self, request):
        """Answer once the gate is open."""
        self.targets.append(request.target)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        while not self.is_open:
            yield Wait(0.01)
        yield Wait(0.03)
        self.running -= 1
        yield Send(head(request, Content_Length="2") + b"ok")


def in_flight(system):
    """Return how many requests an entry serves, those that wait included."""
    return system.entry._server.in_flight


@pytest.fixture
async def system():
    """Yield an entry with callers of three priorities."""
    system = RelaySystem(RelayLimits(grace_s=1.05, retry_slack=1_000.0))
    await system.async_start(tenants=TENANTS)
    yield system
    await system.async_stop()


@pytest.fixture
async def held(system):
    """Start an upstream of one slot, and return its behavior."""
    held = HeldSlots()
    await system.async_add_upstream("up", held, service="bookings", slots=1)
    return held


@pytest.fixture
def call(system, held):
    """Return a function that sends a request and waits until the entry has it."""

    async def send(name, key=API_KEY, **headers):
        known = in_flight(system)
        task = asyncio.create_task(
            system.async_call(f"/read/{name}", key=key, **headers)
        )
        await system.async_wait_for(lambda: in_flight(system) > known)
        await system.async_wait_for(lambda: held.targets)
        return task

    return send


async def test_slot_that_becomes_free_wakes_a_waiting_request(
    system, held, call, caplog
):
    """It is served without any check of the queue, and not beside the first."""
    caplog.set_level("INFO")
    calls = [await call("first"), await call("second"), await call("third")]
    await asyncio.sleep(0.1)
    assert held.targets == ["/read/first"]
    system.entry.node.admission.check = lambda now_s: None
    held.is_open = True
    assert {answer.status for answer in await asyncio.gather(*calls)} == {200}
    assert held.most_running == 1
    records = [r.fields for r in caplog.records if r.message == "request ended"]
    assert [fields["queue_reason"] for fields in records] == ["", "no_slot", "no_slot"]
    assert records[0]["queued_ms"] == 0 < records[1]["queued_ms"]


async def test_urgent_request_gets_the_slot_first(held, call):
    """The order is that of the workspaces' priorities, not of arrival."""
    calls = [
        await call("running"),
        await call("low", LOW_KEY),
        await call("normal"),
        await call("urgent", URGENT_KEY),
    ]
    held.is_open = True
    await asyncio.gather(*calls)
    assert held.targets == [
        f"/read/{n}" for n in ("running", "urgent", "normal", "low")
    ]


async def test_request_without_time_is_refused_at_once(system, held, caplog):
    """It gets Retry-After and no upstream sees it; the others are served."""
    caplog.set_level("INFO")
    held.is_open = True
    calls = [asyncio.create_task(system.async_call(f"/read/{n}")) for n in range(40)]
    await system.async_wait_for(lambda: len(held.targets) >= 8)
    answer = await system.async_call("/read/late", key=LOW_KEY, X_Deadline_Ms="120")
    assert (answer.status, answer.error_code) == (503, 302)
    assert float(answer.headers["Retry-After"]) > 0
    [fields] = [
        record.fields
        for record in caplog.records
        if record.message == "request ended" and record.fields["result"] != "ok"
    ]
    assert (fields["queue_reason"], fields["queued_ms"]) == ("no_time", 0)
    assert {served.status for served in await asyncio.gather(*calls)} == {200}
    assert "/read/late" not in held.targets


async def test_caller_that_leaves_frees_its_place(system, held, call):
    """Its request is not sent, and the next one is."""
    first, leaving, last = await call("first"), await call("gone"), await call("last")
    leaving.cancel()
    await system.async_wait_for(lambda: in_flight(system) == 2)
    held.is_open = True
    assert [(await task).status for task in (first, last)] == [200, 200]
    assert held.targets == ["/read/first", "/read/last"]


async def test_deadline_ends_the_wait_as_not_run(held, call):
    """While no slot becomes free, a request waits no longer than its caller."""
    running = await call("running")
    answer = await (await call("waiting", X_Deadline_Ms="300"))
    assert (answer.status, held.targets) == (503, ["/read/running"])
    held.is_open = True
    assert (await running).status == 200


async def test_sigterm_ends_the_wait_at_once(system, held, call):
    """Waiting requests are refused as not run, and those that run are finished."""
    running, waiting = await call("running"), await call("waiting")
    stop = asyncio.create_task(system.async_stop_entry())
    answer = await waiting
    assert (answer.status, answer.error_code) == (503, 109)
    assert not stop.done()
    held.is_open = True
    assert (await running).status == 200
    await stop
    assert held.targets == ["/read/running"]


async def test_slot_that_another_entry_frees_wakes_a_request(system, held, call):
    """The end of another entry's request arrives in a notice."""
    other = await system.async_add_entry("entry-b-1")
    try:
        await other.async_wait_for(lambda: len(other.entry.node.fleet) == 1)
        await system.async_wait_for(lambda: len(system.entry.node.entries) == 2)
        await other.async_wait_for(lambda: len(other.entry.node.entries) == 2)
        running = asyncio.create_task(other.async_call("/read/elsewhere"))
        state = system.entry.node.fleet.get("up")
        await system.async_wait_for(lambda: len(state.remote_in_flight) == 1)
        waiting = asyncio.create_task(system.async_call("/read/here"))
        await system.async_wait_for(lambda: in_flight(system) == 1)
        await asyncio.sleep(0.1)
        held.is_open = True
        assert [(await task).status for task in (running, waiting)] == [200, 200]
        assert held.most_running == 1
    finally:
        await other.async_leave()


async def test_upstream_that_refuses_counts_as_full(system, held):
    """A request that it refused waits instead of spending its attempts there."""
    upstream = system.upstreams["up"]
    refused_at_s = []

    def refuse_for_a_while(request):
        now_s = asyncio.get_running_loop().time()
        if refused_at_s and now_s > refused_at_s[0] + 0.3:
            yield from held(request)
            return
        refused_at_s.append(now_s)
        fields = {"X_Not_Executed": "1", "X_Engine_Signature": ""}
        yield Send(head(request, 503, Content_Length="0", **fields))

    upstream.behaviors[:] = [refuse_for_a_while]
    held.is_open = True
    assert (await system.async_call("/read/x")).status == 200
    assert len(refused_at_s) == 1


def test_workspace_is_read_from_notices():
    """All notices of an attempt name it, so that an earlier build can match them."""
    notices = [
        LoadNotice(
            kind=LoadKind.STARTED,
            attempt=7,
            workspace="0a1b2c",
            upstream_id="up",
            model="m",
        ),
        LoadNotice(kind=LoadKind.ANSWERED, attempt=7, workspace="0a1b2c"),
        LoadNotice(kind=LoadKind.ENDED, attempt=7, workspace="0a1b2c"),
    ]
    data = encode_notices("entry-1", notices)
    assert data == (
        b'["entry-1",[["s","7.0a1b2c","up",0,"m",[]],'
        b'["a","7.0a1b2c"],["e","7.0a1b2c"]]]'
    )
    assert decode_notices(["entry-1", [["s", "7.0a1b2c", "up"]]])[1] == [
        LoadNotice(
            kind=LoadKind.STARTED, attempt=7, workspace="0a1b2c", upstream_id="up"
        )
    ]


def test_notices_of_an_earlier_build_name_no_workspace():
    """Their attempts have a number only."""
    _, notices, _ = decode_notices(["entry-1", [["s", 7, "up", 12, "m", []]]])
    assert (notices[0].attempt, notices[0].workspace) == (7, "")


@pytest.mark.parametrize("attempt", ["x.0a1b2c", "7", "7.", "7.0a1b2c0a1b2c", None])
def test_malformed_attempt_is_refused(attempt):
    """A name that this build does not write is not taken for one."""
    with pytest.raises((ValueError, TypeError, AttributeError)):
        decode_notices(["entry-1", [["e", attempt]]])
