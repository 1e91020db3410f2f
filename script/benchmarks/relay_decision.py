"""Compares the relay's time to place a request with the router's."""

import statistics
import time

from cardamomnotch_core.relay.crashes.detection import AttemptEnd
from cardamomnotch_core.relay.exceptions import RefusalError
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.models import (
    PromptPart,
    RepeatRule,
    RequestFacts,
    Route,
    RouteDocument,
    Service,
    Share,
    Upstream,
)
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.store_changes import changes

from .decision_time import SimulatedCaller
from .report import Report, Row

_UPSTREAM_COUNTS = (12, 400)
# Upstreams and entries of the fleets in which upstreams are cold.
_FLEETS = ((39, 68), (364, 670))
_COLD_PARTS = {"one": 0.0, "a fifth": 0.2, "all": 1.0}
# Requests per second that a cold upstream tolerates.
_COLD_RATE = 7.0
_COLD_S = 1000.0
_DECISION_COUNT = 1_000
_INTERVAL_S = 0.005
_REPEAT_COUNT = 5
# Distinct prompt parts that several requests have in common.
_SHARED_PROMPT_PARTS = 60
# Versions that the router chooses from; a quarter of them meet the target.
_VERSION_COUNT = 12


def _create_node(upstreams: int, entries: int = 1, cold: int = 0) -> RelayNode:
    identity = RelayIdentity(name="entry-a", zone="zone-0", incarnation="1")
    node = RelayNode(identity, RelayLimits())
    route = Route(
        name="draft",
        host="calls.example",
        path_prefix="/draft/",
        repeat=RepeatRule.RESUMABLE_STREAM,
        shares=(Share(service="drafts", weight=1.0),),
        timeout_s=10.0,
        target_latency_s=2.0,
    )
    services = {"drafts": Service(name="drafts", cold_rate=_COLD_RATE)}
    document = RouteDocument(
        version=1, routes=(route,), services=services, workspaces=None
    )
    node.apply(changes.DocumentWritten(document=document), 0.0)
    for number in range(upstreams):
        upstream = Upstream(
            upstream_id=f"up-{number}",
            service="drafts",
            address="10.0.0.1:80",
            zone=f"zone-{number % 3}",
            version="v1",
            slots=64,
            cold_left_s=_COLD_S if number < cold else 0.0,
        )
        node.apply(changes.UpstreamListed(upstream=upstream), 0.0)
    for number in range(entries - 1):
        record = changes.EntryRecord(entry=f"entry-{number}", incarnation="1")
        node.apply(changes.EntryReported(record=record), 0.0)
    return node


def _create_facts(number: int) -> RequestFacts:
    return RequestFacts(
        request_id=str(number),
        fingerprint=str(number),
        prompt=(
            PromptPart(
                part_id=f"subject-{number % _SHARED_PROMPT_PARTS}", tokens=10_000
            ),
            PromptPart(part_id=f"own-{number}", tokens=1_000),
        ),
        prompt_tokens=11_000,
    )


def _measure_us(upstreams: int, entries: int = 1, cold: int = 0) -> float:
    """Return the time of a placement and of recording its progress, in µs."""
    node = _create_node(upstreams, entries, cold)
    service = node.routes.document.services["drafts"]
    spent_s = 0.0
    for number in range(_DECISION_COUNT):
        facts = _create_facts(number)
        now_s = number * _INTERVAL_S
        started_s = time.perf_counter()
        try:
            placement = node.place(service, facts, "m", 10_000, now_s)
        except RefusalError:
            spent_s += time.perf_counter() - started_s
            continue
        node.attempts.record_sent(placement, facts, "m", number, now_s)
        node.attempts.record_first_byte(placement, "m", number, 0.1, now_s + 0.004)
        node.attempts.record_ended(
            placement.state, number, AttemptEnd.COMPLETED, now_s + 0.004
        )
        spent_s += time.perf_counter() - started_s
    return spent_s / _DECISION_COUNT * 1e6


def run() -> Report:
    """Measure both times and their ratio for each number of upstreams."""
    rows = []
    for upstreams in _UPSTREAM_COUNTS:
        relay_us = statistics.median(
            _measure_us(upstreams) for _ in range(_REPEAT_COUNT)
        )
        caller = SimulatedCaller(_VERSION_COUNT, upstreams // _VERSION_COUNT)
        router_us = statistics.median(caller.measure_us() for _ in range(_REPEAT_COUNT))
        rows.append(
            Row(
                label=f"{upstreams} upstreams: relay {relay_us:.0f} µs, router"
                f" {router_us:.0f} µs",
                value=f"{relay_us / router_us:.1f}",
                unit="ratio",
            )
        )
    for upstreams, entries in _FLEETS:
        warm_us = statistics.median(
            _measure_us(upstreams, entries) for _ in range(_REPEAT_COUNT)
        )
        for name, part in _COLD_PARTS.items():
            cold = max(1, int(upstreams * part))
            cold_us = statistics.median(
                _measure_us(upstreams, entries, cold) for _ in range(_REPEAT_COUNT)
            )
            rows.append(
                Row(
                    label=f"{upstreams} upstreams, {entries} entries: {name} cold"
                    f" {cold_us:.0f} µs, none {warm_us:.0f} µs",
                    value=f"{cold_us / warm_us:.1f}",
                    unit="ratio",
                )
            )
    return Report(
        title="Time to place a relayed request",
        conditions=(
            f"One thread, {_DECISION_COUNT} requests, median of {_REPEAT_COUNT} runs of"
            " each in one process; 6 cores, shared with other work. The relay's time"
            " includes the records of start, first byte and end."
        ),
        rows=tuple(rows),
    )
