"""Measurement of the event loop's lag."""

import time

from cardamomnotch_entry.relay import loop_lag as module
from cardamomnotch_entry.relay.const import MAX_LOOP_LAG_S
from cardamomnotch_entry.relay.loop_lag import LoopLag


async def test_late_loop_is_logged_once(monkeypatch, caplog):
    """A lag is recorded each time, and logged at its begin and its end."""
    caplog.set_level("INFO")
    lags_s = []
    measured = LoopLag(lags_s.append)
    held_s = [0.0, 2 * MAX_LOOP_LAG_S, 2 * MAX_LOOP_LAG_S, 0.0, 0.0]
    sleep = module.asyncio.sleep

    async def async_sleep(seconds):
        await sleep(0.01)
        time.sleep(held_s[len(lags_s)])  # noqa: ASYNC251

    monkeypatch.setattr(module, "LOOP_LAG_INTERVAL_S", 0.01)
    monkeypatch.setattr(module.asyncio, "sleep", async_sleep)
    for _ in held_s:
        await measured.async_measure()
    assert [lag_s >= held for lag_s, held in zip(lags_s, held_s, strict=True)] == (
        [True] * len(held_s)
    )
    assert [record.message.split(":")[0] for record in caplog.records] == [
        "event loop is late",
        "event loop is on time again",
    ]
