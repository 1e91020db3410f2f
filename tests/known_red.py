"""Reader of KNOWN-RED.txt, the list of tests that are known to fail."""

from pathlib import Path

import attrs

PATH = Path(__file__).parents[1] / "KNOWN-RED.txt"
_FIELDS = 4
# An entry's "what was seen" begins so if the test fails in some runs only.
_INTERMITTENT_PREFIX = "intermittent"


@attrs.frozen
class KnownFailure:
    """A test that is known to fail.

    ``command`` is the command and seed that show the failure, ``seen`` what
    was observed, and ``issue`` the number of the issue.
    """

    test_id: str
    command: str
    seen: str
    issue: str

    @property
    def is_intermittent(self) -> bool:
        """Whether the test fails in some runs only."""
        return self.seen.startswith(_INTERMITTENT_PREFIX)


def load_known_failures(path: Path = PATH) -> tuple[KnownFailure, ...]:
    """Return the entries of the list.

    Raise ValueError if a line has missing, empty or additional fields.
    """
    entries = []
    for line in path.read_text(encoding="utf-8").splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != _FIELDS or not all(fields):
            raise ValueError(
                f"{path.name}: line {line!r} needs {_FIELDS} non-empty fields"
                " separated by '|'"
            )
        entries.append(KnownFailure(*fields))
    return tuple(entries)
