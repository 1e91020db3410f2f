"""Metrics of a relaying entry."""

import math
from collections.abc import Callable, Iterable, Mapping
from functools import partial

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from cardamomnotch_core.relay.admission.models import QueueState, RefusalReason
from cardamomnotch_core.relay.model_choice.models import ChoiceReason
from cardamomnotch_core.relay.node import RelayNode
from cardamomnotch_core.relay.upstream_estimates.models import load_class
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.caller_limits.budget import ShedReason
from cardamomnotch_runtime.caller_limits.guard import CallerGuard

from .models import AttemptLog

_LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0)
_LAG_BUCKETS_S = (0.003, 0.01, 0.03, 0.1, 0.3, 1.0)
_RATIO_BUCKETS = (0.3, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 4.0)
_REPLY_BUCKETS_BYTES = (1e3, 1e4, 1e5, 1e6)
_DOCUMENT_AGE_BUCKETS_S = (0.3, 0.6, 1.0, 1.5, 2.0, 3.0, 4.0)
# Refusals that the route document is the reason for.
_DOCUMENT_REFUSALS = frozenset(
    {
        ResultCode.MISSING_KEY,
        ResultCode.NOT_READY,
        ResultCode.UNKNOWN_KEY,
        ResultCode.UNKNOWN_ROUTE,
    }
)

_QUEUE_REFUSALS = frozenset(reason.value for reason in RefusalReason)


class RelayMetrics:
    """Metrics of requests, attempts and store calls."""

    def __init__(self, node: RelayNode, clock: Callable[[], float]) -> None:
        self.registry = CollectorRegistry()
        self._requests_ended = Counter(
            "cardamomnotch_relay_requests_ended",
            "Relayed requests that ended, by result.",
            ["result"],
            registry=self.registry,
        )
        self._request_seconds = Histogram(
            "cardamomnotch_relay_request_seconds",
            "Time from a relayed request's arrival to its end.",
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._store_calls = Counter(
            "cardamomnotch_relay_store_calls",
            "Calls to the store, by kind and outcome.",
            ["kind", "outcome"],
            registry=self.registry,
        )
        self._store_reply_bytes = Histogram(
            "cardamomnotch_relay_store_reply_bytes",
            "Sizes of the store's replies, by kind of call.",
            ["kind"],
            buckets=_REPLY_BUCKETS_BYTES,
            registry=self.registry,
        )
        self._store_reply_seconds = Histogram(
            "cardamomnotch_relay_store_reply_seconds",
            "Time from the first to the last byte of the store's replies.",
            ["kind"],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._store_calls_left = Gauge(
            "cardamomnotch_relay_store_calls_left",
            "Calls that this entry's limits allow now, by kind; negative: they wait.",
            ["kind"],
            registry=self.registry,
        )
        self._document_delay_seconds = Histogram(
            "cardamomnotch_relay_document_delay_seconds",
            "Longest time that a new version of the routes may have waited to be used.",
            buckets=_DOCUMENT_AGE_BUCKETS_S,
            registry=self.registry,
        )
        self._refusal_age_seconds = Histogram(
            "cardamomnotch_relay_refusal_document_age_seconds",
            "Age of the routes' confirmation behind refusals, by result.",
            ["result"],
            buckets=_DOCUMENT_AGE_BUCKETS_S,
            registry=self.registry,
        )
        self._attempts = Counter(
            "cardamomnotch_relay_attempts",
            "Attempts at upstreams that ended, by what they were for and outcome.",
            ["route", "version", "model", "outcome"],
            registry=self.registry,
        )
        self._model_choices = Counter(
            "cardamomnotch_relay_model_choices",
            "Requests for which the relay chose the model, by the reason.",
            ["reason"],
            registry=self.registry,
        )
        self._model_choice, self._clock = node.model_choice, clock
        self._shortage_services: set[str] = set()
        self._shortage = Gauge(
            "cardamomnotch_relay_shortage",
            "Part of the demand for larger models, 0 to 1, that is refused.",
            ["service"],
            registry=self.registry,
        )
        self._prompt_tokens = Counter(
            "cardamomnotch_relay_prompt_tokens",
            "Prompt tokens of attempts, by whether the upstream was to read them.",
            ["model", "expected"],
            registry=self.registry,
        )
        self._suspected_attempts = Counter(
            "cardamomnotch_relay_suspected_attempts",
            "Attempts of requests that may have crashed upstreams, by crashes.",
            ["crashes"],
            registry=self.registry,
        )
        self._lost_answers = Counter(
            "cardamomnotch_relay_lost_answers",
            "Attempts whose answer was lost, by whether the upstream was up.",
            ["upstream_up"],
            registry=self.registry,
        )
        self._unfinished_streams = Counter(
            "cardamomnotch_relay_unfinished_streams",
            "Attempts whose stream ended within an event, by framing and outcome.",
            ["framing", "outcome"],
            registry=self.registry,
        )
        self._first_byte_seconds = Histogram(
            "cardamomnotch_relay_first_byte_seconds",
            "Time from sending an attempt to the head of its answer.",
            ["version", "model"],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._first_byte_ratio = Histogram(
            "cardamomnotch_relay_first_byte_ratio",
            "Observed time to the first byte relative to the expected one, for requests"
            " with a prompt, by model and class of the expected wait.",
            ["model", "load"],
            buckets=_RATIO_BUCKETS,
            registry=self.registry,
        )
        self._loop_lag_seconds = Histogram(
            "cardamomnotch_relay_loop_lag_seconds",
            "How late the event loop runs what is due.",
            buckets=_LAG_BUCKETS_S,
            registry=self.registry,
        )
        self._response_pauses = Counter(
            "cardamomnotch_relay_response_pauses",
            "Pauses in reading responses that take too much of the event loop.",
            registry=self.registry,
        )
        self._waiting_requests = Gauge(
            "cardamomnotch_relay_waiting_requests",
            "Requests that wait for a free slot, by service.",
            ["service"],
            registry=self.registry,
        )
        self._waiting_bytes = Gauge(
            "cardamomnotch_relay_waiting_bytes",
            "Bytes of the bodies of requests that wait for a free slot, by service.",
            ["service"],
            registry=self.registry,
        )
        self._queued_seconds = Histogram(
            "cardamomnotch_relay_queued_seconds",
            "Time that requests waited for a free slot, of those that had to.",
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self._queue_refusals = Counter(
            "cardamomnotch_relay_queue_refusals",
            "Requests refused while no slot was free, by reason.",
            ["reason"],
            registry=self.registry,
        )
        # Services with waiting requests when the gauges were set last.
        self._waiting_services: set[str] = set()
        self._shed_connections = Counter(
            "cardamomnotch_relay_shed_connections",
            "Connections of callers refused or closed by a limit, by reason.",
            ["reason"],
            registry=self.registry,
        )
        version = Gauge(
            "cardamomnotch_relay_document_version",
            "Version of the routes in force.",
            registry=self.registry,
        )
        version.set_function(lambda: node.routes.version)
        upstreams = Gauge(
            "cardamomnotch_relay_upstreams",
            "Upstreams that are listed.",
            registry=self.registry,
        )
        upstreams.set_function(lambda: len(node.fleet))
        draining = Gauge(
            "cardamomnotch_relay_draining_upstreams",
            "Upstreams that are about to end, by their registration or a response.",
            registry=self.registry,
        )
        draining.set_function(lambda: node.fleet.draining_count)
        kept = Gauge(
            "cardamomnotch_relay_kept_upstreams",
            "Upstreams that are used although the store has lost them in an outage.",
            registry=self.registry,
        )
        kept.set_function(lambda: node.fleet.kept_count)
        limited = Gauge(
            "cardamomnotch_relay_rate_limited_upstreams",
            "Upstreams that name a limit on the rate of requests.",
            registry=self.registry,
        )
        limited.set_function(lambda: len(node.rates.named))
        suspects = Gauge(
            "cardamomnotch_relay_suspects",
            "Requests and prompt parts that upstreams may have crashed with.",
            registry=self.registry,
        )
        suspects.set_function(lambda: node.quarantine.suspect_count)

        lost_zones = Gauge(
            "cardamomnotch_relay_unreachable_zones",
            "Availability zones whose upstreams accept no connections.",
            registry=self.registry,
        )
        lost_zones.set_function(lambda: len(node.reachability.lost_zones(clock())))
        age = Gauge(
            "cardamomnotch_relay_confirmed_age_seconds",
            "Time since the store was last known to have nothing newer.",
            registry=self.registry,
        )
        age.set_function(lambda: clock() - node.feed.confirmed_at_s)
        era = Gauge(
            "cardamomnotch_relay_store_era",
            "How often the store has come back from a copy, as it states it.",
            registry=self.registry,
        )
        era.set_function(lambda: node.feed.position.era if node.feed.position else 0)
        lost = Gauge(
            "cardamomnotch_relay_lost_items",
            "Items in force that the store has lost by coming back from a copy.",
            registry=self.registry,
        )
        lost.set_function(lambda: len(node.lost_items.pending))
        source = Gauge(
            "cardamomnotch_relay_watches_store",
            "Whether this entry watches the store for its availability zone.",
            registry=self.registry,
        )
        source.set_function(lambda: node.feed.is_source(clock()))

    def count_request(
        self, code: ResultCode, seconds: float, document_age_s: float
    ) -> None:
        """Count a request that has ended."""
        result = code.name.lower()
        self._requests_ended.labels(result=result).inc()
        self._request_seconds.observe(seconds)
        if code in _DOCUMENT_REFUSALS and math.isfinite(document_age_s):
            self._refusal_age_seconds.labels(result=result).observe(document_age_s)

    def count_queued(self, seconds: float, reason: str) -> None:
        """Count a request that has ended, if it waited or was refused a place."""
        if seconds:
            self._queued_seconds.observe(seconds)
        if reason in _QUEUE_REFUSALS:
            self._queue_refusals.labels(reason=reason).inc()

    def set_queues(self, queues: Iterable[QueueState]) -> None:
        """Show the queues of the services for which requests wait."""
        services = set()
        for queue in queues:
            services.add(queue.service)
            self._waiting_requests.labels(service=queue.service).set(queue.requests)
            self._waiting_bytes.labels(service=queue.service).set(queue.body_bytes)
        for service in self._waiting_services - services:
            self._waiting_requests.labels(service=service).set(0)
            self._waiting_bytes.labels(service=service).set(0)
        self._waiting_services = services

    def observe_document_delay(self, seconds: float) -> None:
        """Record how long a new version of the routes may have waited at most."""
        self._document_delay_seconds.observe(seconds)

    def watch_call_limits(
        self, kinds: Iterable[str], calls_left: Callable[[], Mapping[str, float]]
    ) -> None:
        """Show what is left of the limits on store calls of each kind."""
        for kind in kinds:
            gauge = self._store_calls_left.labels(kind=kind)
            gauge.set_function(partial(_value_of, calls_left, kind))

    def watch_callers(self, guard: CallerGuard) -> None:
        """Show what is held for callers."""
        budget = guard.budget
        held = Gauge(
            "cardamomnotch_relay_caller_bytes",
            "Bytes held for callers: requests without an end and unread answers.",
            registry=self.registry,
        )
        held.set_function(lambda: budget.held_bytes)
        connections = Gauge(
            "cardamomnotch_relay_caller_connections",
            "Open connections of callers.",
            registry=self.registry,
        )
        connections.set_function(lambda: budget.connections)
        waiting = Gauge(
            "cardamomnotch_relay_waiting_bodies",
            "Request bodies that wait until there is memory for them.",
            registry=self.registry,
        )
        waiting.set_function(lambda: budget.waiting)

    def count_shed(self, reason: ShedReason) -> None:
        """Count a caller's connection that was refused or closed by a limit."""
        self._shed_connections.labels(reason=reason.value).inc()

    def count_attempt(self, route: str, log: AttemptLog) -> None:
        """Count an attempt that has ended."""
        outcome = log.outcome.partition(":")[0]
        self._attempts.labels(
            route=route, version=log.version, model=log.model, outcome=outcome
        ).inc()
        for expected, tokens in (
            ("cached", log.cached_tokens),
            ("read", log.unread_tokens),
        ):
            if tokens:
                counter = self._prompt_tokens.labels(model=log.model, expected=expected)
                counter.inc(tokens)
        if log.suspected_crashes:
            self._suspected_attempts.labels(crashes=log.suspected_crashes).inc()
        if log.upstream_up is not None:
            self._lost_answers.labels(upstream_up=str(log.upstream_up).lower()).inc()
        if log.unfinished_bytes:
            self._unfinished_streams.labels(framing=log.framing, outcome=outcome).inc()
        if log.first_byte_ms >= 0:
            first_byte = self._first_byte_seconds.labels(
                version=log.version, model=log.model
            )
            first_byte.observe(log.first_byte_ms / 1000)
            if log.cached_tokens or log.unread_tokens:
                load = load_class(log.waiting_ms).value
                ratio = self._first_byte_ratio.labels(model=log.model, load=load)
                ratio.observe(log.first_byte_ms / max(1, log.expected_ms))

    def count_model_choice(self, reason: ChoiceReason) -> None:
        """Count a request for which the relay chose the model."""
        self._model_choices.labels(reason=reason.value).inc()
        for service in self._model_choice.services:
            if service not in self._shortage_services:
                self._shortage_services.add(service)
                gauge = self._shortage.labels(service=service)
                gauge.set_function(partial(self._shortage_of, service))

    def _shortage_of(self, service: str) -> float:
        return self._model_choice.shortage(service, self._clock()).value

    def observe_store_reply(self, kind: str, size: int, seconds: float) -> None:
        """Record a reply of the store: its bytes, and how long they arrived."""
        self._store_reply_bytes.labels(kind=kind).observe(size)
        self._store_reply_seconds.labels(kind=kind).observe(seconds)

    def observe_loop_lag(self, seconds: float) -> None:
        """Record how late the event loop was."""
        self._loop_lag_seconds.observe(seconds)

    def count_response_pause(self) -> None:
        """Count a pause in reading a response."""
        self._response_pauses.inc()

    def count_store_call(self, kind: str, outcome: str) -> None:
        """Count a call to the store."""
        self._store_calls.labels(kind=kind, outcome=outcome).inc()


def _value_of(values: Callable[[], Mapping[str, float]], name: str) -> float:
    return values()[name]
