"""Prints the table of all metrics for docs/operators/metrics.md."""

import ast
from collections.abc import Iterator
from pathlib import Path

import attrs

_PACKAGES = Path(__file__).parents[1] / "packages"
_KINDS = {"Counter": "counter", "Gauge": "gauge", "Histogram": "histogram"}
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
    """A metric as the code declares it."""

    name: str
    package: str
    kind: str
    labels: tuple[str, ...]
    meaning: str

    @property
    def unit(self) -> str:
        """Return the unit that the name ends with."""
        last = self.name.rpartition("_")[2]
        return last if last in _UNITS else "count"


def main() -> None:
    """Print the page."""
    print(page(), end="")


def page() -> str:
    """Return the page."""
    lines = [_HEADER]
    for metric in sorted(set(_metrics())):
        labels = ", ".join(f"`{label}`" for label in metric.labels)
        lines.append(
            f"| `{metric.name}` | {metric.kind} | {labels} | {metric.unit}"
            f" | {metric.package} | {metric.meaning} |"
        )
    return "\n".join(lines) + "\n"


def _metrics() -> Iterator[Metric]:
    for path in sorted(_PACKAGES.glob("*/src/**/*.py")):
        package = path.relative_to(_PACKAGES).parts[0].removeprefix("cardamomnotch-")
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
                kind = _KINDS.get(node.func.id)
                if kind is not None and _is_declaration(node):
                    yield _metric(node, kind, package)


def _is_declaration(node: ast.Call) -> bool:
    """Return whether a call names a metric, and not another class's counter."""
    return bool(node.args) and isinstance(node.args[0], ast.Constant)


def _metric(node: ast.Call, kind: str, package: str) -> Metric:
    values = [ast.literal_eval(argument) for argument in node.args]
    labels = tuple(values[2]) if len(values) > 2 else ()
    return Metric(values[0], package, kind, labels, values[1])


if __name__ == "__main__":
    main()
