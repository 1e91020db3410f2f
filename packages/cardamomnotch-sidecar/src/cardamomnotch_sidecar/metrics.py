"""Metrics of the sidecar."""

from prometheus_client import CollectorRegistry, Counter, Gauge

from cardamomnotch_core.nodes import actions
from cardamomnotch_core.nodes.sidecar_node import SidecarNode
from cardamomnotch_runtime.runner import NodeRunner


class SidecarMetrics:
    """Metrics of admission decisions, attempts and the configuration."""

    def __init__(self, node: SidecarNode, runner: NodeRunner) -> None:
        self.registry = CollectorRegistry()
        self._refused = Counter(
            "cardamomnotch_attempts_refused",
            "Attempts refused at the gate, by result code.",
            ["code"],
            registry=self.registry,
        )
        self._accepted = Counter(
            "cardamomnotch_attempts_accepted",
            "Attempts accepted at the gate.",
            registry=self.registry,
        )
        in_flight = Gauge(
            "cardamomnotch_attempts_in_flight",
            "Attempts that run at the upstream.",
            registry=self.registry,
        )
        in_flight.set_function(lambda: node.attempts_in_flight)
        revision = Gauge(
            "cardamomnotch_configuration_revision",
            "Revision of the configuration in force.",
            registry=self.registry,
        )
        revision.set_function(lambda: node.configuration.revision)
        runner.observe(actions.RefuseAttempt, self._count_refusal)
        runner.observe(actions.AcceptAttempt, self._count_acceptance)

    def _count_refusal(self, action: actions.RefuseAttempt) -> None:
        self._refused.labels(code=int(action.message.code)).inc()

    def _count_acceptance(self, action: actions.AcceptAttempt) -> None:
        self._accepted.inc()
