"""Measures the request journal: store writes, waits, memory and recovery."""

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

_SIMULATED_DURATION_S = 20
_BOOKING_SHARE = 0.01
_STORE_LATENCY_S = 0.005
_CLOCK_STEP_S = 0.001
_START_S = 1_000_000.0
_BOOKING_COUNT = 400
_RECORD_COUNT = 20_000


def _create_outcome(number: int) -> JournalProposal:
    usage = Usage(prompt_tokens=number % 900, completion_tokens=number % 700)
    record = JournalRecord(
        key=record_key(f"crates-ljubljana:{number:032x}"),
        workspace=f"workspace-{number % 10}",
        state=RecordState.DONE.value,
        attempt_id=f"{record_key(str(number))}-1",
        usage=usage,
    )
    return JournalProposal(record=record)


def _create_claim(number: int) -> JournalProposal:
    record = attrs.evolve(
        _create_outcome(number).record,
        state=RecordState.CLAIMED.value,
        usage=Usage(),
        fingerprint=record_key(f"body {number}"),
        vm_id="booking-0",
        address="10.0.0.1:9000",
        incarnation=record_key("incarnation"),
    )
    return JournalProposal(record=record)


@attrs.define
class _SimulatedPartition:
    """Simulated partition whose appends take ``_STORE_LATENCY_S``."""

    log: PartitionLog
    append_done_at_s: float = float("inf")
    writes: int = 0
    bytes_written: int = 0

    def step(self, now_s: float) -> None:
        if now_s >= self.append_done_at_s:
            self.log.record_commit()
            self.append_done_at_s = float("inf")
        if self.append_done_at_s != float("inf"):
            return
        pending = self.log.next_append(now_s)
        if pending is not None:
            self.writes += 1
            self.bytes_written += len(pending.value)
            self.append_done_at_s = now_s + _STORE_LATENCY_S


def _simulate_load(rate_per_s: int) -> list[Row]:
    """Simulate model calls and bookings; compare three ways to store them.

    The journal appends to a log. It is compared with rewriting a page per
    partition and second, and with one write per record.
    """
    rng = random.Random(1)
    partitions: dict[PartitionId, _SimulatedPartition] = {}
    records_by_page: dict[tuple[PartitionId, int], list[JournalRecord]] = {}
    single_bytes = arrival_count = 0
    for step in range(int(_SIMULATED_DURATION_S / _CLOCK_STEP_S)):
        now_s = _START_S + step * _CLOCK_STEP_S
        while arrival_count < rate_per_s * (step + 1) * _CLOCK_STEP_S:
            arrival_count += 1
            proposals = [_create_outcome(arrival_count)]
            kind = PartitionKind.BILLS
            if rng.random() < _BOOKING_SHARE:
                proposals.insert(0, _create_claim(arrival_count))
                kind = PartitionKind.CLAIMS
            for proposal in proposals:
                partition_id = partition_of(kind, proposal.record.key)
                if partition_id not in partitions:
                    log = PartitionLog(partition_id, "owner", Checkpoint(), ())
                    partitions[partition_id] = _SimulatedPartition(log)
                partitions[partition_id].log.propose(proposal, arrival_count, now_s)
                records_by_page.setdefault(
                    (partition_id, int(step * _CLOCK_STEP_S)), []
                ).append(proposal.record)
                single_append = LogAppend(owner_id="owner", records=(proposal.record,))
                single_bytes += len(encode_append(single_append))
        for partition in partitions.values():
            partition.step(now_s)
    writes = sum(partition.writes for partition in partitions.values())
    total_bytes = sum(partition.bytes_written for partition in partitions.values())
    records = sum(len(page) for page in records_by_page.values())
    label = f"at {rate_per_s} requests/s"
    return [
        _row(f"{label}: log append, writes", writes / _SIMULATED_DURATION_S, "1/s"),
        _row(
            f"{label}: log append", total_bytes / _SIMULATED_DURATION_S / 1000, "kB/s"
        ),
        _row(
            f"{label}: page rewrite, writes",
            len(records_by_page) / _SIMULATED_DURATION_S,
            "1/s",
        ),
        _row(
            f"{label}: page rewrite",
            _page_bytes(records_by_page) / _SIMULATED_DURATION_S / 1e3,
            "kB/s",
        ),
        _row(
            f"{label}: a write a record, writes", records / _SIMULATED_DURATION_S, "1/s"
        ),
        _row(
            f"{label}: a write a record",
            single_bytes / _SIMULATED_DURATION_S / 1e3,
            "kB/s",
        ),
    ]


def _page_bytes(
    records_by_page: dict[tuple[PartitionId, int], list[JournalRecord]],
) -> int:
    """Return the bytes written if each second rewrites all earlier records."""
    total = 0
    page: dict[PartitionId, tuple[JournalRecord, ...]] = {}
    for (partition_id, _), records in sorted(
        records_by_page.items(), key=lambda item: item[0][1]
    ):
        page[partition_id] = page.get(partition_id, ()) + tuple(records)
        total += len(
            encode_append(LogAppend(owner_id="owner", records=page[partition_id]))
        )
    return total


def _measure_owner() -> list[Row]:
    """Measure the owner's memory and time per record, and its recovery."""
    proposals = [_create_outcome(number) for number in range(_RECORD_COUNT)]
    partition_id = PartitionId(PartitionKind.BILLS, 0)
    log = PartitionLog(partition_id, "owner", Checkpoint(), ())
    log.next_append(_START_S)
    log.record_commit()
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for proposal in [_create_outcome(number) for number in range(_RECORD_COUNT)]:
        log.state.apply(proposal.record)
    gc.collect()
    memory_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    log = PartitionLog(partition_id, "owner", Checkpoint(), ())
    started_at_s = time.process_time()
    append_values = []
    now_s = _START_S
    for start in range(0, len(proposals), 800):
        for proposal in proposals[start : start + 800]:
            log.propose(proposal, start, now_s)
        while (pending := log.next_append(now_s)) is not None:
            append_values.append(pending.value)
            log.record_commit()
            now_s += 1.0
    spent_s = time.process_time() - started_at_s
    rows = [
        _row("memory a remembered bill", memory_bytes / _RECORD_COUNT, "B"),
        _row("owner, a bill", spent_s / len(proposals) * 1e6, "us of processor"),
    ]
    for count in (5, 10, 20):
        started_at_s = time.process_time()
        appends = tuple(decode_append(value) for value in append_values[:count])
        PartitionLog(partition_id, "next", Checkpoint(), appends)
        spent_ms = (time.process_time() - started_at_s) * 1000
        records = sum(len(append.records) for append in appends)
        rows.append(_row(f"recovery from {records} records", spent_ms, "ms"))
    return rows


async def _async_measure_claims() -> list[Row]:
    """Measure how long claims wait for a store that takes 5 ms."""
    stand_in = StoreStandIn()
    stand_in.faults.active["delay_s"] = _STORE_LATENCY_S
    server = TestServer(stand_in.create_app())
    await server.start_server()
    tasks = TaskGroup()
    waits_s: list[float] = []
    async with aiohttp.ClientSession() as session:
        store = StoreClient(session, str(server.make_url("")).rstrip("/"))
        registry = PartitionRegistry(store, "127.0.0.1:1", tasks, random.Random(1))

        async def claim(number: int) -> None:
            proposal = _create_claim(number)
            partition_id = partition_of(PartitionKind.CLAIMS, proposal.record.key)
            owner = await registry.async_find(partition_id)
            started_at_s = time.monotonic()
            results = await owner.async_propose((proposal,), wait_for_commit=True)
            assert results[0].committed
            waits_s.append(time.monotonic() - started_at_s)

        await asyncio.gather(*(claim(number) for number in range(50)))
        waits_s.clear()
        before = stand_in.faults.counts.get("kv/txn", 0)
        started_at_s = time.monotonic()
        claim_tasks = []
        for number in range(_BOOKING_COUNT):
            claim_tasks.append(asyncio.create_task(claim(1000 + number)))
            await asyncio.sleep(1 / 200)
        await asyncio.gather(*claim_tasks)
        elapsed_s = time.monotonic() - started_at_s
        writes = stand_in.faults.counts["kv/txn"] - before
        await tasks.async_unload()
    await server.close()
    waits_s.sort()
    rate = (
        f"{_BOOKING_COUNT / elapsed_s:.0f} claims/s,"
        f" store {_STORE_LATENCY_S * 1000:.0f} ms"
    )
    return [
        _row(f"wait for a claim, p50, {rate}", waits_s[len(waits_s) // 2] * 1000, "ms"),
        _row("wait for a claim, p95", waits_s[int(len(waits_s) * 0.95)] * 1000, "ms"),
        _row("writes meanwhile", writes / elapsed_s, "1/s"),
    ]


def _row(label: str, value: float, unit: str) -> Row:
    return Row(label=label, value=f"{value:.1f}", unit=unit)


def run() -> Report:
    """Measure simulated loads, the owner of a partition, and claims."""
    rows = [row for rate in (10, 100, 1000) for row in _simulate_load(rate)]
    rows += _measure_owner()
    rows += asyncio.run(_async_measure_claims())
    return Report(
        title="Request journal",
        conditions=(
            "10 cores, loopback, machine shared with other work."
            f" {BILL_PARTITIONS} partitions for bills, {CLAIM_PARTITIONS} for claims,"
            f" {_BOOKING_SHARE:.0%} bookings. Writes and bytes on a simulated clock"
            f" of {_SIMULATED_DURATION_S} s"
            f" with a store of {_STORE_LATENCY_S * 1000:.0f} ms, values as"
            " written, without lease renewals and checkpoints; a"
            " page holds all records of its partition in those seconds."
        ),
        rows=tuple(rows),
    )
