"""Background tasks that repeat a step."""

import asyncio

from cardamomnotch_runtime import tasks
from cardamomnotch_runtime.tasks import TaskGroup, async_wait_until


async def test_repeated_step_ends_with_an_unexpected_error(monkeypatch, caplog):
    """A step that fails is logged once for each failure, and repeated."""
    monkeypatch.setattr(tasks, "FAILED_STEP_PAUSE_S", 0.0)
    outcomes = [None, ValueError("odd entry"), OverflowError("odd number"), None]
    done = []

    async def step():
        outcome = outcomes[len(done)] if len(done) < len(outcomes) else None
        done.append(outcome)
        if outcome is not None:
            raise outcome
        await asyncio.sleep(0)

    group = TaskGroup()
    group.repeat(lambda: 0.0, step)
    assert await async_wait_until(lambda: len(done) > len(outcomes), 2.0)
    await group.async_unload()
    errors = [record for record in caplog.records if record.levelname == "ERROR"]
    assert [record.exc_info[1] for record in errors] == outcomes[1:3]
