"""The journal: store writes, bytes, waits, memory, recovery, owner's time."""

import asyncio
import gc
import random
import time
import tracemalloc

import aiohttp
import attrs
from aiohttp.test_utils import TestServer
from tests.stand_ins.store import StoreStandIn

from cardamomnotch_core.journal.codec import decode_append, encode_append
from cardamomnotch_core.journal.const import BILL_PARTITIONS, CLAIM_PARTITIONS
from cardamomnotch_core.journal.keys import partition_of, record_key
from cardamomnotch_core.journal.models import (
    Checkpoint,
    LogAppend,
    PartitionId,
    PartitionKind,
    RecordState,
)
from cardamomnotch_core.journal.partition import PartitionLog
from cardamomnotch_entry.journal.registry import PartitionRegistry
from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_protocol.models import JournalProposal, JournalRecord, Usage
from cardamomnotch_runtime.tasks import TaskGroup

from .report import Report, Row

_SIMULATED_S = 20
_BOOKING_SHARE = 0.01
_STORE_S = 0.005
_STEP_S = 0.001
_NOW_S = 1_000_000.0
_BOOKINGS = 400
_MEMORY_RECORDS = 20_000


def _outcome(number: int) -> JournalProposal:
    usage = Usage(prompt_tokens=number % 900, completion_tokens=number % 700)
    record = JournalRecord(
        key=record_key(f"crates-ljubljana:{number:032x}"),
        workspace=f"workspace-{number % 10}",
        state=RecordState.DONE.value,
        attempt_id=f"{record_key(str(number))}-1",
        usage=usage,
    )
    return JournalProposal(record=record)


def _claim(number: int) -> JournalProposal:
    record = attrs.evolve(
        _outcome(number).record,
        state=RecordState.CLAIMED.value,
        usage=Usage(),
        fingerprint=record_key(f"body {number}"),
        vm_id="booking-0",
        address="10.0.0.1:9000",
        incarnation=record_key("incarnation"),
    )
    return JournalProposal(record=record)


@attrs.define
class _Partition:
    """A partition whose appends take ``_STORE_S``, on a simulated clock."""

    log: PartitionLog
    returns_at_s: float = float("inf")
    writes: int = 0
    bytes: int = 0

    def step(self, now_s: float) -> None:
        if now_s >= self.returns_at_s:
            self.log.record_commit()
            self.returns_at_s = float("inf")
        if self.returns_at_s != float("inf"):
            return
        pending = self.log.next_append(now_s)
        if pending is not None:
            self.writes += 1
            self.bytes += len(pending.value)
            self.returns_at_s = now_s + _STORE_S


def _simulate(rate_per_s: int) -> list[Row]:
    """Run a mix of model calls and bookings on a simulated clock."""
    source = random.Random(1)
    partitions: dict[PartitionId, _Partition] = {}
    pages: dict[tuple[PartitionId, int], list[JournalRecord]] = {}
    single_bytes = arrivals = 0
    for step in range(int(_SIMULATED_S / _STEP_S)):
        now_s = _NOW_S + step * _STEP_S
        while arrivals < rate_per_s * (step + 1) * _STEP_S:
            arrivals += 1
            proposals = [_outcome(arrivals)]
            kind = PartitionKind.BILLS
            if source.random() < _BOOKING_SHARE:
                proposals.insert(0, _claim(arrivals))
                kind = PartitionKind.CLAIMS
            for proposal in proposals:
                name = partition_of(kind, proposal.record.key)
                if name not in partitions:
                    log = PartitionLog(name, "owner", Checkpoint(), ())
                    partitions[name] = _Partition(log)
                partitions[name].log.propose(proposal, arrivals, now_s)
                pages.setdefault((name, int(step * _STEP_S)), []).append(
                    proposal.record
                )
                single = LogAppend(owner_id="owner", records=(proposal.record,))
                single_bytes += len(encode_append(single))
        for partition in partitions.values():
            partition.step(now_s)
    writes = sum(item.writes for item in partitions.values())
    size = sum(item.bytes for item in partitions.values())
    records = sum(len(page) for page in pages.values())
    what = f"at {rate_per_s} requests/s"
    return [
        _row(f"{what}: log append, writes", writes / _SIMULATED_S, "1/s"),
        _row(f"{what}: log append", size / _SIMULATED_S / 1000, "kB/s"),
        _row(f"{what}: page rewrite, writes", len(pages) / _SIMULATED_S, "1/s"),
        _row(f"{what}: page rewrite", _page_bytes(pages) / _SIMULATED_S / 1e3, "kB/s"),
        _row(f"{what}: a write a record, writes", records / _SIMULATED_S, "1/s"),
        _row(f"{what}: a write a record", single_bytes / _SIMULATED_S / 1e3, "kB/s"),
    ]


def _page_bytes(pages: dict[tuple[PartitionId, int], list[JournalRecord]]) -> int:
    """Return the bytes if each second rewrites a page with all before it."""
    total = 0
    page: dict[PartitionId, tuple[JournalRecord, ...]] = {}
    for (name, _), records in sorted(pages.items(), key=lambda item: item[0][1]):
        page[name] = page.get(name, ()) + tuple(records)
        total += len(encode_append(LogAppend(owner_id="owner", records=page[name])))
    return total


def _owner_time() -> list[Row]:
    """Measure what one record costs its owner, inside the process."""
    proposals = [_outcome(number) for number in range(_MEMORY_RECORDS)]
    name = PartitionId(PartitionKind.BILLS, 0)
    log = PartitionLog(name, "owner", Checkpoint(), ())
    log.next_append(_NOW_S)
    log.record_commit()
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for proposal in [_outcome(number) for number in range(_MEMORY_RECORDS)]:
        log.state.apply(proposal.record)
    gc.collect()
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    log = PartitionLog(name, "owner", Checkpoint(), ())
    started = time.process_time()
    values = []
    now_s = _NOW_S
    for at in range(0, len(proposals), 800):
        for proposal in proposals[at : at + 800]:
            log.propose(proposal, at, now_s)
        while (pending := log.next_append(now_s)) is not None:
            values.append(pending.value)
            log.record_commit()
            now_s += 1.0
    spent = time.process_time() - started
    rows = [
        _row("memory a remembered bill", memory / _MEMORY_RECORDS, "B"),
        _row("owner, a bill", spent / len(proposals) * 1e6, "us of processor"),
    ]
    for count in (5, 10, 20):
        started = time.process_time()
        appends = tuple(decode_append(value) for value in values[:count])
        PartitionLog(name, "next", Checkpoint(), appends)
        spent_ms = (time.process_time() - started) * 1000
        records = sum(len(append.records) for append in appends)
        rows.append(_row(f"recovery from {records} records", spent_ms, "ms"))
    return rows


async def _async_claims() -> list[Row]:
    """Measure a claim's wait against a store that takes 5 ms."""
    stand_in = StoreStandIn()
    stand_in.faults.active["delay_s"] = _STORE_S
    server = TestServer(stand_in.create_app())
    await server.start_server()
    tasks = TaskGroup()
    waits: list[float] = []
    async with aiohttp.ClientSession() as session:
        store = StoreClient(session, str(server.make_url("")).rstrip("/"))
        registry = PartitionRegistry(store, "127.0.0.1:1", tasks, random.Random(1))

        async def claim(number: int) -> None:
            proposal = _claim(number)
            name = partition_of(PartitionKind.CLAIMS, proposal.record.key)
            owner = await registry.async_find(name)
            started = time.monotonic()
            results = await owner.async_propose((proposal,), wait_for_commit=True)
            assert results[0].committed
            waits.append(time.monotonic() - started)

        await asyncio.gather(*(claim(number) for number in range(50)))
        waits.clear()
        before = stand_in.faults.counts.get("kv/txn", 0)
        started = time.monotonic()
        calls = []
        for number in range(_BOOKINGS):
            calls.append(asyncio.create_task(claim(1000 + number)))
            await asyncio.sleep(1 / 200)
        await asyncio.gather(*calls)
        elapsed_s = time.monotonic() - started
        writes = stand_in.faults.counts["kv/txn"] - before
        await tasks.async_unload()
    await server.close()
    waits.sort()
    rate = f"{_BOOKINGS / elapsed_s:.0f} claims/s, store {_STORE_S * 1000:.0f} ms"
    return [
        _row(f"wait for a claim, p50, {rate}", waits[len(waits) // 2] * 1000, "ms"),
        _row("wait for a claim, p95", waits[int(len(waits) * 0.95)] * 1000, "ms"),
        _row("writes meanwhile", writes / elapsed_s, "1/s"),
    ]


def _row(what: str, value: float, unit: str) -> Row:
    return Row(what=what, value=f"{value:.1f}", unit=unit)


def run() -> Report:
    """Measure all of it."""
    rows = [row for rate in (10, 100, 1000) for row in _simulate(rate)]
    rows += _owner_time()
    rows += asyncio.run(_async_claims())
    return Report(
        title="Request journal",
        conditions=(
            "10 cores, loopback, machine shared with other work."
            f" {BILL_PARTITIONS} partitions for bills, {CLAIM_PARTITIONS} for claims,"
            f" {_BOOKING_SHARE:.0%} bookings. Writes and bytes on a simulated clock"
            f" of {_SIMULATED_S} s with a store of {_STORE_S * 1000:.0f} ms, values as"
            " put, without lease renewals and checkpoints; a page holds what its"
            " partition has seen in those seconds."
        ),
        rows=tuple(rows),
    )
