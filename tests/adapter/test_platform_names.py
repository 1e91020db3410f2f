"""Checks that only the adapter contains names of the platform."""

import re
from pathlib import Path

_REPOSITORY_ROOT = Path(__file__).parents[2]
_PLATFORM_NAMES = re.compile(
    r"kv-(key|range|watch|txn|lease|keep)|servers/|op/(config|rollout|evacuate)"
    r"|X-Attempt-Id|X-Engine-|X-Not-Executed|X-Expect-|X-Deadline-Ms|X-Tenant"
    r"|X-Prefix-Hash|X-Token-Counts|X-Confidence|X-Model\b|route_kind|cold_left_ms"
    r"|CARDAMOMNOTCH_BOOT|api_keys|\btenants?\b|\bnode_name\b"
)


def test_platform_names_occur_only_in_the_adapter():
    """No source file of the packages contains a name of the platform."""
    occurrences = [
        f"{path.relative_to(_REPOSITORY_ROOT)}:{number}: {line.strip()}"
        for path in sorted((_REPOSITORY_ROOT / "packages").rglob("*.py"))
        for number, line in enumerate(path.read_text("utf-8").splitlines(), 1)
        if _PLATFORM_NAMES.search(line)
    ]
    assert occurrences == []
