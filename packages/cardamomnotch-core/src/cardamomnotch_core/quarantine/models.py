"""Classes of crash attribution."""

import attrs

from .const import FINGERPRINT_DIGITS


def fingerprint_key(workspace: str, fingerprint: str) -> str:
    """Return what names the request in quarantine; empty if nothing does."""
    if not fingerprint:
        return ""
    return f"{workspace}:{fingerprint[:FINGERPRINT_DIGITS]}"


@attrs.frozen(kw_only=True)
class Suspicion:
    """What an entry tells a sidecar of a request that was in a crash.

    ``co_suspects`` are the fingerprints that were in flight with it.
    """

    crashes: int = 0
    co_suspects: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class SuspectRecord:
    """A request that was in flight at a crash, as an entry remembers it."""

    crashed_vms: frozenset[str] = frozenset()
    co_suspects: tuple[str, ...] = ()
    forget_at_s: float = float("-inf")
    # Another entry is about to find out whether the request is guilty.
    wait_until_s: float = float("-inf")
    # It was in a crash as a request of this entry.
    judged_here: bool = False
    # The request of this entry that runs it once more.
    rerun_id: str = ""
    # The VMs that had crashed under it when that run began.
    rerun_avoids: frozenset[str] = frozenset()
