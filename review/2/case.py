"""Bytes without end in the body of a stream keep an entry from all other requests."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.stand_ins.deployment import (
    BROKEN,
    COULD_NOT_RUN,
    HAS_TROUBLE,
    HELD,
    HOST,
    ROOT,
    Deployment,
    config,
    route,
    run_case,
)
from review.stand_ins.engine import Engine
from review.stand_ins.http import call
from review.stand_ins.store import Store

ZONE = "ljubljana-a"
KEY = "n2ctnfzs989anu6wsjnb"
TIMEOUT_S = 0.8
LATE_S = 0.5
ROUTES = [
    route("book", "non_idempotent", "booking-app", timeout_ms=int(TIMEOUT_S * 1000)),
    route(
        "draft",
        "streaming",
        "cardamom-pool",
        timeout_ms=15_000,
        target_latency_ms=3_000,
        attempts=3,
        resumable=True,
        sticky=True,
        gap_target_ms=1_000,
    ),
]
# What one entry of a small deployment gets: streams and bookings a second.
STREAMS = 60
STREAM_PAUSE_S = 0.25
BOOKING_PAUSE_S = 0.25
BOOKED_S = 20.0
ENGINES = 6
STREAM = b"".join(b"id: %d\ndata: piece\n\n" % number for number in range(20))


async def _start(*arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", *arguments, cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )


async def _book(deployment: Deployment, number: int) -> float | None:
    """Return after how many seconds a booking was answered; None if it was not."""
    entry = deployment.entries[0]
    request_id = f"{number:016x}"
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": "1500",
        "Authorization": f"Token {KEY}",
    }
    sent_s = time.monotonic()
    answer = await call(
        entry.caller_address, "POST", "/book/1", headers, b"a batch", timeout_s=1.5
    )
    took_s = time.monotonic() - sent_s
    status = answer.status if answer else "no answer"
    deployment.record(f"booking {request_id}: {status} after {took_s:.3f} s")
    return took_s if answer else None


async def run(deployment: Deployment) -> int:
    """Return whether bookings at the entry got no answer half a second too late."""
    record = deployment.record
    store = Store(record)
    await store.start()
    store.put("op/config", config(3, ROUTES, {"a": [KEY]}))
    bookers = [Engine(store, f"i-b{n}", "booking-app", ZONE) for n in range(3)]
    for booker in bookers:
        await booker.start()
    models = [
        Engine(store, f"i-m{n}", "cardamom-pool", ZONE, STREAM) for n in range(ENGINES)
    ]
    for model in models[1:]:
        await model.start()
    processes = []
    try:
        if HAS_TROUBLE:
            faulty = await _start("review.stand_ins.endless_engine")
            processes.append(faulty)
            port = int(await faulty.stdout.readline())
            models[0].register_at(f"127.0.0.1:{port}")
        else:
            await models[0].start()
        entry = deployment.add_entry(f"edge-{ZONE}-1", ZONE, store)
        await entry.wait_until_ready()
        # The machine is in touch once stable_window_ms have passed since its start.
        await asyncio.sleep(4.0)
        callers = await _start(
            "review.stand_ins.stream_callers",
            entry.caller_address,
            "/draft/1",
            KEY,
            str(STREAMS),
            str(STREAM_PAUSE_S),
        )
        processes.append(callers)
        bookings, began_s = [], time.monotonic()
        while time.monotonic() - began_s < BOOKED_S:
            task = asyncio.create_task(_book(deployment, len(bookings)))
            bookings.append(task)
            await asyncio.sleep(BOOKING_PAUSE_S)
        times_s = await asyncio.gather(*bookings)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(20.0):
                while line := await callers.stdout.readline():
                    record(f"stream {line.decode().strip()}")
    finally:
        for process in processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
    for booker in bookers:
        for request in booker.runs:
            record(f"booking {request.headers['x-attempt-id']} ran")
    if not any(booker.runs for booker in bookers):
        return COULD_NOT_RUN
    late = [took_s for took_s in times_s if took_s is None or took_s > TIMEOUT_S]
    never = [took_s for took_s in late if took_s is None or took_s > TIMEOUT_S + LATE_S]
    record(
        f"{len(times_s)} bookings, {len(late)} unanswered at timeout_ms,"
        f" {len(never)} of them half a second later"
    )
    return BROKEN if len(never) > len(late) / 2 else HELD


if __name__ == "__main__":
    sys.exit(run_case(run, Path(__file__).resolve().parent))
