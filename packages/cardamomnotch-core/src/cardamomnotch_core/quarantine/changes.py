"""Changes of the lists that put a request into quarantine."""

import attrs

from ..configuration.changes import IncrementalChange, apply_change
from ..configuration.models import Configuration, QuarantinedRequest, UpstreamCrash


@attrs.frozen(kw_only=True)
class QuarantineChange(IncrementalChange):
    """Quarantine a request; what has expired by then is dropped.

    Times are seconds of the wall clock.
    """

    fingerprint: str
    made_at_s: float
    until_s: float


@apply_change.register
def _(change: QuarantineChange, configuration: Configuration) -> Configuration:
    kept = tuple(
        item
        for item in configuration.quarantined
        if item.until_s > change.made_at_s and item.fingerprint != change.fingerprint
    )
    added = QuarantinedRequest(fingerprint=change.fingerprint, until_s=change.until_s)
    open_crashes = tuple(
        crash
        for crash in _open_crashes(configuration, change.made_at_s)
        if change.fingerprint not in crash.fingerprints
    )
    return attrs.evolve(configuration, quarantined=(*kept, added), crashes=open_crashes)


@attrs.frozen(kw_only=True)
class CrashChange(IncrementalChange):
    """Tell every entry and sidecar what was in flight at a crash."""

    crash: UpstreamCrash
    made_at_s: float


@apply_change.register
def _(change: CrashChange, configuration: Configuration) -> Configuration:
    kept = _open_crashes(configuration, change.made_at_s)
    return attrs.evolve(configuration, crashes=(*kept, change.crash))


def _open_crashes(
    configuration: Configuration, wall_s: float
) -> tuple[UpstreamCrash, ...]:
    return tuple(crash for crash in configuration.crashes if crash.until_s > wall_s)
