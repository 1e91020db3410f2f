"""The list of tests that are known to fail."""

from pathlib import Path

import attrs

PATH = Path(__file__).parents[1] / "KNOWN-RED.txt"
_FIELDS = 4
# How "what was seen" begins for a real fault that shows in some runs only.
_INTERMITTENT = "intermittent"


@attrs.frozen
class KnownFailure:
    """An entry of the list."""

    test_id: str
    command: str
    seen: str
    issue: str

    @property
    def is_intermittent(self) -> bool:
        """Return whether the test fails in some runs only."""
        return self.seen.startswith(_INTERMITTENT)


def load_known_failures(path: Path = PATH) -> tuple[KnownFailure, ...]:
    """Return the entries; raise ValueError for a line with a part missing."""
    entries = []
    for line in path.read_text(encoding="utf-8").splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != _FIELDS or not all(parts):
            raise ValueError(f"{path.name}: {line!r} needs {_FIELDS} parts")
        entries.append(KnownFailure(*parts))
    return tuple(entries)
