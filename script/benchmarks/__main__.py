"""Runs measurements by name; --save keeps the page in docs/measurements."""

import importlib
import pkgutil
import sys
from pathlib import Path

_NOT_MEASUREMENTS = {"__main__", "report"}


def _names() -> list[str]:
    modules = pkgutil.iter_modules([str(Path(__file__).parent)])
    return sorted(
        item.name
        for item in modules
        if item.name not in _NOT_MEASUREMENTS and not item.name.startswith("_")
    )


def main() -> int:
    """Run the measurements that the arguments name."""
    names = [item for item in sys.argv[1:] if not item.startswith("--")]
    unknown = set(names) - set(_names())
    if not names or unknown:
        print(f"measurements: {', '.join(_names())}")
        return 2 if unknown else 0
    for name in names:
        report = importlib.import_module(f"script.benchmarks.{name}").run()
        print(report.as_markdown())
        if "--save" in sys.argv:
            print(f"saved {report.save(name)}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
