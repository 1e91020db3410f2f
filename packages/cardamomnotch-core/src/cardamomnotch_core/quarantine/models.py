"""Data classes of crash attribution."""

from collections.abc import Iterable

import attrs

from .const import FINGERPRINT_DIGITS

_PARTS_PREFIX = "parts:"


def fingerprint_key(workspace: str, fingerprint: str) -> str:
    """Return the key that identifies a request body within its workspace.

    Returns an empty string if the request has no fingerprint.
    """
    if not fingerprint:
        return ""
    return f"{workspace}:{fingerprint[:FINGERPRINT_DIGITS]}"


def parts_key(fingerprint: str, parts: Iterable[str]) -> str:
    """Return the key that lists a quarantined request's suspected parts.

    It is stored like a fingerprint, so that processes of an earlier build can
    read the configuration.
    """
    return f"{_PARTS_PREFIX}{fingerprint}:{','.join(sorted(parts))}"


def parts_of_key(key: str) -> frozenset[str]:
    """Return the parts that ``key`` lists; none if it is a fingerprint."""
    if not key.startswith(_PARTS_PREFIX):
        return frozenset()
    return frozenset(key.rpartition(":")[2].split(","))


@attrs.frozen(kw_only=True)
class CrashHistory:
    """Crash history of a request, sent to the sidecar with its attempt.

    ``crashes`` is the number of VMs whose upstream crashed with the request in
    flight; ``co_suspects`` are the fingerprints in flight at the same crash.
    """

    crashes: int = 0
    co_suspects: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class SuspectRecord:
    """An entry's record of a request that was in flight at a crash."""

    crashed_vms: frozenset[str] = frozenset()
    co_suspects: tuple[str, ...] = ()
    forget_at_s: float = float("-inf")
    # Until this time the request must not run here, since another entry may
    # find out whether it causes crashes.
    wait_until_s: float = float("-inf")
    # Whether this entry had sent the request to an upstream that crashed.
    crashed_here: bool = False
    # Id of this entry's request that runs the suspect again.
    rerun_id: str = ""
    # The value of ``crashed_vms`` when that run started.
    crashed_vms_at_rerun: frozenset[str] = frozenset()
