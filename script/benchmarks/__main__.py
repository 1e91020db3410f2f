"""Runs benchmarks by name; --save writes the reports to docs/measurements."""

import importlib
import pkgutil
import sys
from pathlib import Path

_HELPER_MODULES = {"__main__", "report"}


def _benchmark_names() -> list[str]:
    modules = pkgutil.iter_modules([str(Path(__file__).parent)])
    return sorted(
        module.name
        for module in modules
        if module.name not in _HELPER_MODULES and not module.name.startswith("_")
    )


def main() -> int:
    """Run the benchmarks that the arguments name and return the exit code."""
    names = [argument for argument in sys.argv[1:] if not argument.startswith("--")]
    unknown = set(names) - set(_benchmark_names())
    if not names or unknown:
        print(f"measurements: {', '.join(_benchmark_names())}")
        return 2 if unknown else 0
    for name in names:
        report = importlib.import_module(f"script.benchmarks.{name}").run()
        print(report.as_markdown())
        if "--save" in sys.argv:
            print(f"saved {report.save(name)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
