"""Metrics of the entry."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge
from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from cardamomnotch_core.configuration.sync_state import ConfigurationSyncState
from cardamomnotch_core.nodes import actions
from cardamomnotch_core.nodes.entry_node import EntryNode
from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_runtime.runner import NodeRunner


class EntryMetrics:
    """Prometheus metrics of the entry."""

    def __init__(self, node: EntryNode, runner: NodeRunner) -> None:
        self.registry = CollectorRegistry()
        self._ended = Counter(
            "cardamomnotch_requests_ended",
            "Requests that ended, by result code.",
            ["code"],
            registry=self.registry,
        )
        self._tokens = Counter(
            "cardamomnotch_tokens_completed",
            "Tokens generated for whole answers.",
            registry=self.registry,
        )
        in_flight = Gauge(
            "cardamomnotch_requests_in_flight",
            "Requests being served.",
            registry=self.registry,
        )
        in_flight.set_function(lambda: node.requests_in_flight)
        revision = Gauge(
            "cardamomnotch_configuration_revision",
            "Revision of the configuration in force.",
            registry=self.registry,
        )
        revision.set_function(lambda: node.configuration.revision)
        sync_state = Gauge(
            "cardamomnotch_configuration_state",
            "What the configuration in force rests on; 1 for the present state.",
            ["state"],
            registry=self.registry,
        )
        for state in ConfigurationSyncState:
            sync_state.labels(state=state.value).set_function(
                lambda state=state: float(node.follower.state is state)
            )
        runner.observe(actions.RefuseRequest, self._count_refusal)
        runner.observe(actions.CompleteRequest, self._count_completion)

    def count_store_calls(self, store: StoreClient) -> None:
        """Export the calls to the store and those that its budget rejected."""
        self.registry.register(_StoreCallCollector(store))

    def _count_refusal(self, action: actions.RefuseRequest) -> None:
        self._ended.labels(code=int(action.code)).inc()

    def _count_completion(self, action: actions.CompleteRequest) -> None:
        self._ended.labels(code=0).inc()
        self._tokens.inc(action.usage.completion_tokens)


class _StoreCallCollector(Collector):
    """Exports the call counts that the store client keeps."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    def collect(self) -> Iterable[Metric]:
        """Yield a counter of the calls and one of the rejected calls."""
        for name, help_text, counts in (
            ("store_calls", "Calls to the store, by kind.", self._store.calls),
            ("store_refused", "Calls over the budget.", self._store.refused),
        ):
            family = CounterMetricFamily(
                f"cardamomnotch_{name}", help_text, labels=["kind"]
            )
            for kind, count in counts.items():
                family.add_metric([kind], count)
            yield family
