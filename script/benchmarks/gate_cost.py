"""Measures processor time and memory of the sidecar's admission control."""

import time
import tracemalloc

from cardamomnotch_core.admission.limiter import ConcurrencyLimiter
from cardamomnotch_core.admission.models import LimiterSettings
from cardamomnotch_core.configuration.document import configuration_from_document
from cardamomnotch_core.configuration.models import ConfigurationRecord
from cardamomnotch_core.nodes import events
from cardamomnotch_core.nodes.identity import SidecarIdentity
from cardamomnotch_core.nodes.sidecar_node import SidecarNode
from cardamomnotch_protocol.models import AttemptRequest
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_sidecar.answer_buffer import AnswerBuffer
from cardamomnotch_sidecar.upstream.sse import CompletionStream

from .report import Report, Row

_ATTEMPT_COUNT = 20_000
_IN_FLIGHT_COUNT = 2_000
_TOKEN_COUNT = 50_000
_CONFIGURATION_DOCUMENT = {
    "models": [
        {"name": "drafter", "versions": [{"name": "v1", "cost_per_1k_tokens": 1.0}]}
    ],
    "plans": [{"name": "member", "models": [{"model": "drafter"}]}],
    "workspaces": [{"name": "crates", "plan": "member", "key_digests": ["digest"]}],
}
_TOKEN_EVENT = (
    b'data: {"id":"chatcmpl-1","object":"chat.completion.chunk","model":"drafter/v1"'
    b',"choices":[{"index":0,"delta":{"content":"crate "}}]}\n\n'
)


def _create_node(limit: int) -> SidecarNode:
    identity = SidecarIdentity(vm_id="engine-0", zone="zone-a", incarnation="here")
    settings = LimiterSettings(max_limit=limit)
    node = SidecarNode(identity, ConcurrencyLimiter(settings=settings))
    record = ConfigurationRecord(
        revision=1,
        change_id="first",
        configuration=configuration_from_document(_CONFIGURATION_DOCUMENT),
    )
    node.handle(events.ConfigurationOffered(record=record, source="bench"), 0.0)
    report = events.UpstreamReported(start_id="start", versions=("drafter/v1",))
    node.handle(report, 0.0)
    return node


def _create_arrival(number: int) -> events.AttemptArrived:
    message = AttemptRequest(
        attempt_id=f"attempt-{number}",
        request_id=f"request-{number}",
        request_key=f"crates:{number}",
        workspace="crates",
        incarnation="here",
        revision=1,
        timeout_ms=60_000,
        model="drafter",
        version="v1",
        expected_tokens=256,
        fingerprint=f"{number:064x}",
    )
    return events.AttemptArrived(request=message)


def _measure_attempt_us() -> float:
    """Return the processor time of an attempt's arrival and end, in µs."""
    node = _create_node(64)
    arrivals = [_create_arrival(number) for number in range(_ATTEMPT_COUNT)]
    ends = [
        events.UpstreamCallEnded(attempt_id=item.request.attempt_id, code=ResultCode.OK)
        for item in arrivals
    ]
    started_s = time.process_time()
    for number, (arrival, end) in enumerate(zip(arrivals, ends, strict=True)):
        now_s = number * 0.001
        node.handle(arrival, now_s)
        node.handle(end, now_s)
    return 1e6 * (time.process_time() - started_s) / _ATTEMPT_COUNT


def _measure_refusal_us() -> float:
    """Return the processor time of a refused attempt, in µs."""
    node = _create_node(1)
    node.handle(_create_arrival(-1), 0.0)
    arrivals = [_create_arrival(number) for number in range(_ATTEMPT_COUNT)]
    started_s = time.process_time()
    for arrival in arrivals:
        node.handle(arrival, 1.0)
    return 1e6 * (time.process_time() - started_s) / _ATTEMPT_COUNT


def _measure_attempt_bytes() -> float:
    """Return the bytes that the node allocates per attempt in flight."""
    node = _create_node(_IN_FLIGHT_COUNT)
    arrivals = [_create_arrival(number) for number in range(_IN_FLIGHT_COUNT)]
    tracemalloc.start()
    for arrival in arrivals:
        node.handle(arrival, 0.0)
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated_bytes / _IN_FLIGHT_COUNT


def _measure_token_us() -> float:
    """Return the time to check and buffer one token's event, in µs."""
    stream, buffer = CompletionStream(), AnswerBuffer("attempt-1")
    started_s = time.process_time()
    for _ in range(_TOKEN_COUNT):
        for event in stream.feed(_TOKEN_EVENT):
            buffer.append(event)
    return 1e6 * (time.process_time() - started_s) / _TOKEN_COUNT


def run() -> Report:
    """Measure decisions, memory per attempt and the handling of tokens."""
    results = (
        ("decisions for an attempt, arrival and end", _measure_attempt_us(), "µs"),
        ("decision for a refused attempt", _measure_refusal_us(), "µs"),
        (
            "held by the node for an attempt in flight",
            _measure_attempt_bytes(),
            "bytes",
        ),
        ("check and buffer one token's event", _measure_token_us(), "µs"),
    )
    return Report(
        title="Cost of the gate",
        conditions=(
            "Processor time of one process without sockets, 10 cores shared with "
            f"other work; {_ATTEMPT_COUNT} attempts, {_TOKEN_COUNT} tokens."
        ),
        rows=tuple(
            Row(label=label, value=f"{value:.1f}", unit=unit)
            for label, value, unit in results
        ),
    )
