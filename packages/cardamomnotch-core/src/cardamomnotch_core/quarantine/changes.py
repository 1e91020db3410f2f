"""Configuration changes that report crashes and quarantine requests."""

import attrs

from ..configuration.changes import IncrementalChange, apply_change
from ..configuration.models import Configuration, QuarantinedRequest, UpstreamCrash
from .models import parts_key


@attrs.frozen(kw_only=True)
class QuarantineChange(IncrementalChange):
    """Quarantine a request, and drop entries that expired before.

    Crashes with the request in flight are dropped too, as their cause is now
    known. Times are wall-clock seconds.
    """

    fingerprint: str
    # Parts of the request that were not answered lately in others.
    parts: tuple[str, ...] = ()
    made_at_s: float
    until_s: float


@apply_change.register
def _(change: QuarantineChange, configuration: Configuration) -> Configuration:
    kept = tuple(
        item
        for item in configuration.quarantined
        if item.until_s > change.made_at_s and item.fingerprint != change.fingerprint
    )
    keys = [change.fingerprint]
    if change.parts:
        keys.append(parts_key(change.fingerprint, change.parts))
    added = (
        QuarantinedRequest(fingerprint=key, until_s=change.until_s) for key in keys
    )
    unexplained_crashes = tuple(
        crash
        for crash in _unexpired_crashes(configuration, change.made_at_s)
        if change.fingerprint not in crash.fingerprints
    )
    return attrs.evolve(
        configuration, quarantined=(*kept, *added), crashes=unexplained_crashes
    )


@attrs.frozen(kw_only=True)
class CrashChange(IncrementalChange):
    """Report to all processes which requests were in flight at a crash.

    ``made_at_s`` is a wall-clock time in seconds.
    """

    crash: UpstreamCrash
    made_at_s: float


@apply_change.register
def _(change: CrashChange, configuration: Configuration) -> Configuration:
    kept = _unexpired_crashes(configuration, change.made_at_s)
    return attrs.evolve(configuration, crashes=(*kept, change.crash))


def _unexpired_crashes(
    configuration: Configuration, wall_s: float
) -> tuple[UpstreamCrash, ...]:
    return tuple(crash for crash in configuration.crashes if crash.until_s > wall_s)
