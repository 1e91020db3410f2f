"""Time to place one relayed request, beside the router of the product."""

import statistics
import time

from cardamomnotch_core.relay import changes
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

from .decision_time import _Caller
from .report import Report, Row

_SIZES = (12, 400)
_DECISIONS = 1_000
_INTERVAL_S = 0.005
_REPEATS = 5
_SUBJECTS = 60
# Versions that the router chooses from; a quarter of them meet the target.
_VERSIONS = 12


def _node(upstreams: int) -> RelayNode:
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
    services = {"drafts": Service(name="drafts")}
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
        )
        node.apply(changes.UpstreamListed(upstream=upstream), 0.0)
    return node


def _facts(number: int) -> RequestFacts:
    return RequestFacts(
        request_id=str(number),
        fingerprint=str(number),
        prompt=(
            PromptPart(part_id=f"subject-{number % _SUBJECTS}", tokens=10_000),
            PromptPart(part_id=f"own-{number}", tokens=1_000),
        ),
        prompt_tokens=11_000,
    )


def _measure_us(upstreams: int) -> float:
    """Return microseconds for a placement and its three notes."""
    node = _node(upstreams)
    service = node.routes.document.services["drafts"]
    spent_s = 0.0
    for number in range(_DECISIONS):
        facts = _facts(number)
        now_s = number * _INTERVAL_S
        started_s = time.perf_counter()
        placement = node.place(service, facts, "m", 10_000, now_s)
        node.attempts.record_sent(placement, facts, "m", number, now_s)
        node.attempts.record_first_byte(placement, "m", number, 0.1, now_s + 0.004)
        node.attempts.record_ended(placement.state, number, now_s + 0.004)
        spent_s += time.perf_counter() - started_s
    return spent_s / _DECISIONS * 1e6


def run() -> Report:
    """Return both times at each size, and their ratio."""
    rows = []
    for upstreams in _SIZES:
        relayed = statistics.median(_measure_us(upstreams) for _ in range(_REPEATS))
        caller = _Caller(_VERSIONS, upstreams // _VERSIONS)
        routed = statistics.median(caller.measure_us() for _ in range(_REPEATS))
        rows.append(
            Row(
                what=f"{upstreams} upstreams: relay {relayed:.0f} µs, router"
                f" {routed:.0f} µs",
                value=f"{relayed / routed:.1f}",
                unit="ratio",
            )
        )
    return Report(
        title="Time to place a relayed request",
        conditions=(
            f"One thread, {_DECISIONS} requests, median of {_REPEATS} runs of each in"
            " one process; 6 cores, shared with other work. The relay's time holds"
            " the notes of start, first byte and end."
        ),
        rows=tuple(rows),
    )
