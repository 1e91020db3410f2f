"""Heartbeat messages, and revisions exchanged between entries."""

import attrs

from .base import EnginePlacement, Load, Message, RatingTotals, message


@message("heartbeat_request")
@attrs.frozen(kw_only=True)
class HeartbeatRequest(Message):
    """Announces an entry and its configuration revision to a sidecar."""

    entry_id: str
    entry_address: str
    revision: int
    # Changes with each start of the entry; identifies the process run in which
    # the sums of ratings were counted.
    entry_epoch: str = ""
    ratings: tuple[RatingTotals, ...] = ()
    # Versions that the sidecar's engine should load; None if no planner has
    # placed any yet.
    placement: EnginePlacement | None = None


@message("heartbeat_reply")
@attrs.frozen(kw_only=True)
class HeartbeatReply(Message):
    """Tells the identity of a sidecar, its load and what it serves."""

    vm_id: str
    zone: str
    incarnation: str
    revision: int
    accepting: bool
    # Loaded versions as "model/version", or names of plain services.
    versions: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    load: Load = Load()
    # Interval between heartbeats that the sidecar asks of each entry.
    heartbeat_after_s: float = 1.0
    # Number of buffered outcomes that an entry should forward to the journal.
    outcomes_due: int = 0
    # Sums of the ratings that other entries gave to this upstream's answers.
    ratings: tuple[RatingTotals, ...] = ()
    # Fingerprints of the requests in flight at recent crashes of the upstream.
    suspects: tuple[str, ...] = ()


@message("peer_revision")
@attrs.frozen(kw_only=True)
class PeerRevision(Message):
    """Tells another entry the sender's configuration revision.

    The reply is a message of the same class.
    """

    entry_id: str
    entry_address: str
    revision: int
