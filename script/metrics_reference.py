"""Prints the reference of all metrics, docs/operators/metrics.md."""

import ast
from collections.abc import Iterator
from pathlib import Path

import attrs

_PACKAGES = Path(__file__).parents[1] / "packages"
_KIND_BY_CLASS = {"Counter": "counter", "Gauge": "gauge", "Histogram": "histogram"}
_UNITS = ("bytes", "ratio", "seconds")
_HEADER = """# Metrics

Every process serves its metrics at `/metrics` of its admin address, in the
Prometheus text format. Printed from the code by
`python -m script.metrics_reference`. The unit is the last word of the name;
a name without one counts things. Counters carry `_total` behind the name.

| name | kind | labels | unit | from | meaning |
| --- | --- | --- | --- | --- | --- |"""


@attrs.frozen(order=True)
class Metric:
    """A metric that the code declares."""

    name: str
    package: str
    kind: str
    labels: tuple[str, ...]
    meaning: str

    @property
    def unit(self) -> str:
        """Return the unit that the name ends with, or "count"."""
        last_word = self.name.rpartition("_")[2]
        return last_word if last_word in _UNITS else "count"


def main() -> None:
    """Print the metrics reference."""
    print(page(), end="")


def page() -> str:
    """Return the metrics reference as Markdown."""
    lines = [_HEADER]
    for metric in sorted(set(_declared_metrics())):
        labels = ", ".join(f"`{label}`" for label in metric.labels)
        lines.append(
            f"| `{metric.name}` | {metric.kind} | {labels} | {metric.unit}"
            f" | {metric.package} | {metric.meaning} |"
        )
    return "\n".join(lines) + "\n"


def _declared_metrics() -> Iterator[Metric]:
    for path in sorted(_PACKAGES.glob("*/src/**/*.py")):
        package = path.relative_to(_PACKAGES).parts[0].removeprefix("cardamomnotch-")
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
                kind = _KIND_BY_CLASS.get(node.func.id)
                if kind is not None and _is_declaration(node):
                    yield _metric_from_call(node, kind, package)


def _is_declaration(node: ast.Call) -> bool:
    """Return whether the call declares a metric.

    A metric's first argument is its name. Other classes, such as
    ``collections.Counter``, have the same class name.
    """
    return bool(node.args) and isinstance(node.args[0], ast.Constant)


def _metric_from_call(node: ast.Call, kind: str, package: str) -> Metric:
    arguments = [ast.literal_eval(argument) for argument in node.args]
    labels = tuple(arguments[2]) if len(arguments) > 2 else ()
    return Metric(arguments[0], package, kind, labels, arguments[1])


if __name__ == "__main__":
    main()
