"""Ratings of answers and their effect on versions."""

import asyncio

from cardamomnotch_runtime.tasks import async_wait_until

_HEADERS = {"Authorization": "Bearer member-key", "X-Cardamomnotch-Class": "quick"}
_BODY = {"messages": [{"role": "user", "content": "Hello"}], "max_tokens": 2}


async def _async_call(http_session, entry, **changes):
    url = f"{entry.url}/v1/chat/completions"
    async with http_session.post(
        url, json={**_BODY, **changes}, headers=_HEADERS
    ) as response:
        await response.read()
        return response


async def test_low_rated_version_goes_out_of_service_everywhere(system, http_session):
    """A version rated low by two entries goes out of service for both."""
    await system.async_add_entry("entry-1", "domzale")
    await system.async_wait_until_ready()
    system.rating.faults.active["scores"] = {"drafter/v1": 0.0}
    entries = list(system.entries.values())

    def is_out_everywhere():
        records = [item.entry.node.configuration.record for item in entries]
        return all(
            "drafter/v1" in record.configuration.marks.versions_out
            for record in records
        )

    for _ in range(30):
        await asyncio.gather(*(_async_call(http_session, item) for item in entries))
    assert await async_wait_until(is_out_everywhere, 10.0)
    answers = [await _async_call(http_session, item) for item in entries]
    served = {answer.headers["X-Cardamomnotch-Version"] for answer in answers}
    assert served == {"drafter/v2"}


async def test_slow_rating_does_not_delay_answers(system, http_session):
    """Callers get their answers while the rating service does not respond."""
    system.rating.faults.active["delay_s"] = 60.0
    answers = await asyncio.gather(
        *(
            _async_call(http_session, system.entries["entry-0"], stream=bool(index % 2))
            for index in range(8)
        )
    )
    assert [answer.status for answer in answers] == [200] * 8
    counts = system.rating.faults.counts
    assert await async_wait_until(lambda: counts.get("ratings") == 8, 5.0)


async def test_rating_service_down_changes_nothing(system, http_session):
    """Without ratings, requests are served and no version is withdrawn."""
    system.rating.faults.active["down"] = True
    running = system.entries["entry-0"]
    answers = [await _async_call(http_session, running) for _ in range(5)]
    assert [answer.status for answer in answers] == [200] * 5
    assert not running.entry.node.rating_handler.monitor.withdrawn
