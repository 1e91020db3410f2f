"""A key that is taken away after the store came back from a copy is still accepted."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.stand_ins.deployment import (
    BOUNDS,
    BROKEN,
    COULD_NOT_RUN,
    HAS_TROUBLE,
    HELD,
    HOST,
    Deployment,
    config,
    route,
    run_case,
)
from review.stand_ins.engine import Engine
from review.stand_ins.http import call
from review.stand_ins.store import Store

ZONE = "ljubljana-a"
ENTRIES = 4
ENGINES = 6
ROUTES = [route("book", "non_idempotent", "booking-app")]
KEPT_KEY, TAKEN_KEY = "n2ctnfzs989anu6wsjnb", "q7wy3mbd042kee1rplxc"
# The store's copy is so old, and it is away for so long, in seconds.
COPY_AGE_S = 4.0
AWAY_S = 1.0
# From the store's return to the operator's next config, in seconds.
CONFIG_AFTER_S = 1.0
# How long requests are sent after the bound has passed, in seconds.
OBSERVED_S = 8.0


class Caller:
    """Sends bookings to each entry, and records them."""

    def __init__(self, deployment: Deployment) -> None:
        self._record = deployment.record
        self._entries = deployment.entries
        self._sent = 0
        # The key, entry and send time of each request, by its id.
        self.sent: dict[str, tuple[str, str, float]] = {}

    async def send_to_all(self, key: str) -> list[int]:
        """Send one request to each entry; return the statuses."""
        return await asyncio.gather(
            *(self._send(entry, key) for entry in self._entries)
        )

    async def _send(self, entry: object, key: str) -> int:
        self._sent += 1
        request_id = f"{self._sent:016x}"
        self.sent[request_id] = (key, entry.name, time.monotonic())
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "1500",
            "Authorization": f"Token {key}",
        }
        answer = await call(
            entry.caller_address, "POST", "/book/1", headers, b"one batch"
        )
        status = answer.status if answer else 0
        self._record(f"{request_id} key {key[:4]} to {entry.name}: {status}")
        return status


async def run(deployment: Deployment) -> int:
    """Return whether a request with the key that was taken away ran."""
    record = deployment.record
    store = Store(record)
    await store.start()
    store.put("op/config", config(3, ROUTES, {"a": [KEPT_KEY], "b": [TAKEN_KEY]}))
    engines = [
        Engine(store, f"i-{number}", "booking-app", ZONE) for number in range(ENGINES)
    ]
    for engine in engines:
        await engine.start()
        await asyncio.sleep(0.2)
    for number in range(ENTRIES):
        deployment.add_entry(f"edge-{ZONE}-{number + 1}", ZONE, store)
    for entry in deployment.entries:
        await entry.wait_until_ready()
    await asyncio.sleep(6.0)
    caller = Caller(deployment)
    for key in (KEPT_KEY, TAKEN_KEY):
        if set(await caller.send_to_all(key)) != {200}:
            record("not all entries serve before the disruption")
            return COULD_NOT_RUN

    copy = store.copy()
    await asyncio.sleep(COPY_AGE_S)
    record(f"store at revision {store.revision}, era {store.era}")
    if HAS_TROUBLE:
        store.stop()
        record("store away")
        await asyncio.sleep(AWAY_S)
        await store.come_back(copy)
        record(f"store back at revision {store.revision}, era {store.era}")
        # What the operator and the engines wrote is written again.
        for engine in engines:
            engine.register()
    await asyncio.sleep(CONFIG_AFTER_S)
    revision = store.put("op/config", config(5, ROUTES, {"a": [KEPT_KEY], "b": []}))
    acknowledged_s = time.monotonic()
    record(f"config 5 without key {TAKEN_KEY[:4]} acknowledged, revision {revision}")
    until_s = acknowledged_s + BOUNDS["revoke_ms"] / 1000
    while time.monotonic() < until_s + OBSERVED_S:
        await caller.send_to_all(KEPT_KEY)
        await caller.send_to_all(TAKEN_KEY)
        await asyncio.sleep(0.25)
    record(f"store at revision {store.revision}")

    broken: dict[str, int] = {}
    for engine in engines:
        for request in engine.runs:
            request_id = request.headers["x-attempt-id"]
            key, entry, sent_s = caller.sent[request_id]
            late_s = sent_s - until_s
            record(f"{request_id} ran at {engine.engine_id}")
            if key == TAKEN_KEY and late_s > 0:
                broken[entry] = broken.get(entry, 0) + 1
    record(f"ran with the key later than revoke_ms, by entry: {broken}")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(run, Path(__file__).resolve().parent))
