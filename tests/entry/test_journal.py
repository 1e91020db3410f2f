"""Non-idempotent requests and billing with two entries."""

import asyncio

import aiohttp
import pytest

from cardamomnotch_core.journal.models import WorkspaceTotal
from cardamomnotch_entry.journal.reader import async_read_totals
from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_platform.store.journal import JournalStore
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.tasks import async_wait_until

from tests.fixtures.in_process_system import InProcessSystem, async_start_small_system
from tests.fixtures.local_system import ZONES

_MEMBER_HEADERS = {"Authorization": "Bearer member-key"}
_WORKSPACE = "crates-ljubljana"
_RESULT_CODE_HEADER = "X-Cardamomnotch-Result-Code"


@pytest.fixture
async def pair():
    """Yield a small system with two entries."""
    system = await async_start_small_system()
    await system.async_add_entry("entry-1", ZONES[1])
    await system.async_wait_until_ready()
    yield system
    await system.async_stop()


async def _async_book(
    http_session: aiohttp.ClientSession,
    system: InProcessSystem,
    key: str = "",
    entry: str = "entry-0",
    batch: str = "b",
):
    headers = {**_MEMBER_HEADERS, **({"Idempotency-Key": key} if key else {})}
    url = f"{system.entries[entry].url}/services/booking/reservations"
    async with http_session.post(url, json={"batch": batch}, headers=headers) as answer:
        return answer.status, answer.headers, await answer.read()


async def _async_complete(http_session, system, entry="entry-0", **changes):
    body = {
        "model": "auto",
        "messages": [{"role": "user", "content": "x"}],
        "max_tokens": 3,
        **changes,
    }
    url = f"{system.entries[entry].url}/v1/chat/completions"
    async with http_session.post(url, json=body, headers=_MEMBER_HEADERS) as response:
        return response.status, await response.read()


def _count_reservations(system):
    return len(system.upstream_vms["booking-0"].stand_in.reservations)


def _all_committed(system):
    uncommitted_counts = [
        running.entry.outcomes_held for running in system.entries.values()
    ]
    uncommitted_counts += [
        len(upstream_vm.sidecar.node.outcomes)
        for upstream_vm in system.upstream_vms.values()
    ]
    return not any(uncommitted_counts)


async def _async_totals(system, http_session):
    url = system.entries["entry-1"].settings.platform.store_url
    assert await async_wait_until(lambda: _all_committed(system), 15.0)
    return await async_read_totals(JournalStore(StoreClient(http_session, url)))


async def test_resend_at_another_entry_gets_the_first_answer(pair, http_session):
    """A booking resent to another entry runs once, with the first response."""
    first = await _async_book(http_session, pair, "k")
    again = await _async_book(http_session, pair, "k", "entry-1")
    assert (first[0], first[2]) == (again[0], again[2])
    assert _count_reservations(pair) == 1


async def test_concurrent_resends_join_the_running_attempt(pair, http_session):
    """Resends of a running booking all get its one response."""
    pair.upstream_vms["booking-0"].stand_in.faults.active["delay_s"] = 0.5
    answers = await asyncio.gather(
        *(
            _async_book(http_session, pair, "k", f"entry-{number % 2}")
            for number in range(6)
        )
    )
    assert {(status, body) for status, _, body in answers} == {(201, answers[0][2])}
    assert _count_reservations(pair) == 1


async def test_key_with_another_body_is_refused(pair, http_session):
    """An idempotency key reused with another body is refused and not run."""
    await _async_book(http_session, pair, "k")
    status, headers, _ = await _async_book(http_session, pair, "k", batch="other")
    assert (status, headers[_RESULT_CODE_HEADER]) == (
        422,
        str(int(ResultCode.KEY_REUSED)),
    )
    assert _count_reservations(pair) == 1


async def test_resend_after_an_unknown_outcome_stays_unknown(pair, http_session):
    """A booking is never run again if the service crashed after its effect."""
    pair.upstream_vms["booking-0"].stand_in.faults.active["crash_after_effect"] = 1
    for entry in ("entry-0", "entry-1", "entry-0"):
        _, headers, _ = await _async_book(http_session, pair, "k", entry)
        assert headers[_RESULT_CODE_HEADER] == str(int(ResultCode.OUTCOME_UNKNOWN))
        assert headers["X-Cardamomnotch-Not-Run"] == "false"
    assert _count_reservations(pair) == 1


async def test_caller_disconnect_does_not_lose_the_outcome(pair, http_session):
    """A booking whose caller disconnected runs to its end for the resend."""
    pair.upstream_vms["booking-0"].stand_in.faults.active["delay_s"] = 0.5
    call = asyncio.create_task(_async_book(http_session, pair, "k"))
    sidecar = pair.upstream_vms["booking-0"].sidecar
    assert await async_wait_until(lambda: sidecar.node.attempts_in_flight, 5.0)
    call.cancel()
    status, _, _ = await _async_book(http_session, pair, "k", "entry-1")
    assert status == 201
    assert _count_reservations(pair) == 1


@pytest.mark.parametrize("fault", ["down", "lose_answer"])
async def test_booking_without_the_store_is_not_run(pair, http_session, fault):
    """Bookings are refused as not run while claims cannot be committed."""
    await _async_book(http_session, pair)
    pair.store.faults.active[fault] = True
    status, headers, _ = await _async_book(http_session, pair, "k")
    assert (status, headers[_RESULT_CODE_HEADER]) == (
        503,
        str(int(ResultCode.JOURNAL_UNAVAILABLE)),
    )
    assert headers["X-Cardamomnotch-Not-Run"] == "true"
    assert int(headers["Retry-After"]) > 0
    assert _count_reservations(pair) == 1
    pair.store.faults.active[fault] = False
    await asyncio.sleep(2.0)
    status, _, _ = await _async_book(http_session, pair, "k", "entry-1")
    assert status == 201
    assert _count_reservations(pair) == 2


async def test_claim_with_a_lost_store_reply_is_read_back(pair, http_session):
    """A booking runs once even if the store's reply to its claim was lost."""
    await _async_book(http_session, pair)
    pair.store.faults.active["lose_answer"] = 1
    await _async_book(http_session, pair, "k")
    await asyncio.sleep(2.5)
    for entry in ("entry-0", "entry-1"):
        status, _, _ = await _async_book(http_session, pair, "k", entry)
        assert status == 201
    assert _count_reservations(pair) == 2


async def test_billed_totals_match_the_upstreams_counts(pair, http_session):
    """Each request is billed once, with the counts of the upstreams."""
    answers = await asyncio.gather(
        *(
            _async_complete(
                http_session, pair, f"entry-{number % 2}", stream=bool(number % 3)
            )
            for number in range(30)
        ),
    )
    # Sequentially: a service that has just started has little capacity.
    for number in range(6):
        answers.append(await _async_book(http_session, pair, f"k{number % 3}"))
    assert [answer for answer in answers if answer[0] not in (200, 201)] == []
    counts = [
        upstream_vm.stand_in.faults.counts for upstream_vm in pair.upstream_vms.values()
    ]
    expected = WorkspaceTotal(
        requests=sum(
            counts_of_vm.get("done", 0) + counts_of_vm.get("effects", 0)
            for counts_of_vm in counts
        ),
        prompt_tokens=sum(counts_of_vm.get("done", 0) for counts_of_vm in counts),
        completion_tokens=sum(
            counts_of_vm.get("completion_tokens", 0) for counts_of_vm in counts
        ),
    )
    assert expected.requests == 33
    assert await _async_totals(pair, http_session) == {_WORKSPACE: expected}


async def test_model_calls_are_served_without_the_store(pair, http_session):
    """Model calls are served while the store is down and billed afterwards."""
    pair.store.faults.active["down"] = True
    answers = [await _async_complete(http_session, pair) for _ in range(4)]
    assert [status for status, _ in answers] == [200] * 4
    pair.store.faults.active["down"] = False
    totals = await _async_totals(pair, http_session)
    assert totals[_WORKSPACE].requests == 4


async def test_sidecar_outcome_is_billed_after_an_entry_crash(pair, http_session):
    """Outcomes that a crashed entry did not commit are still billed."""
    pair.store.faults.active["down"] = True
    await _async_complete(http_session, pair)
    # The entry ends without its planned shutdown.
    lost = pair.entries["entry-0"].entry
    await lost._tasks.async_unload()
    for server in lost._servers:
        await server.async_stop()
    for session in lost._sessions:
        await session.close()
    del pair.entries["entry-0"]
    pair.store.faults.active["down"] = False
    totals = await _async_totals(pair, http_session)
    assert totals[_WORKSPACE].requests == 1
