"""Heartbeats, and what peers tell each other."""

import attrs

from .base import EnginePlacement, Load, Message, RatingTotals, message


@message("heartbeat_request")
@attrs.frozen(kw_only=True)
class HeartbeatRequest(Message):
    """An entry tells a sidecar that it is there, and its revision."""

    entry_id: str
    entry_address: str
    revision: int
    # New with each start of the entry; names whose sums the ratings are.
    entry_epoch: str = ""
    ratings: tuple[RatingTotals, ...] = ()
    # What this sidecar's engine is to load, if a planner has said so.
    placement: EnginePlacement | None = None


@message("heartbeat_reply")
@attrs.frozen(kw_only=True)
class HeartbeatReply(Message):
    """A sidecar tells who it is and what it can take."""

    vm_id: str
    zone: str
    incarnation: str
    revision: int
    accepting: bool
    # Loaded versions as "model/version", or names of plain services.
    versions: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    load: Load = Load()
    # Time that the sidecar asks each entry to leave between heartbeats.
    heartbeat_after_s: float = 1.0
    # Outcomes that wait for an entry to bring them to the journal.
    outcomes_due: int = 0
    # Sums of the other entries' ratings of this upstream's answers.
    ratings: tuple[RatingTotals, ...] = ()
    # Fingerprints in flight at recent crashes of the upstream.
    suspects: tuple[str, ...] = ()


@message("peer_revision")
@attrs.frozen(kw_only=True)
class PeerRevision(Message):
    """An entry tells another one its revision; the answer is of this class."""

    entry_id: str
    entry_address: str
    revision: int
