"""Metrics of the entry."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from cardamomnotch_core.configuration.belief import BeliefState
from cardamomnotch_core.nodes import actions
from cardamomnotch_core.nodes.entry_node import EntryNode
from cardamomnotch_runtime.runner import NodeRunner


class EntryMetrics:
    """Counts how requests end."""

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
        belief = Gauge(
            "cardamomnotch_configuration_state",
            "What the configuration in force rests on; 1 for the present state.",
            ["state"],
            registry=self.registry,
        )
        for state in BeliefState:
            belief.labels(state=state.value).set_function(
                lambda state=state: float(node.follower.state is state)
            )
        runner.observe(actions.RefuseRequest, self._count_refusal)
        runner.observe(actions.CompleteRequest, self._count_completion)

    def _count_refusal(self, action: actions.RefuseRequest) -> None:
        self._ended.labels(code=int(action.code)).inc()

    def _count_completion(self, action: actions.CompleteRequest) -> None:
        self._ended.labels(code=0).inc()
        self._tokens.inc(action.usage.completion_tokens)
