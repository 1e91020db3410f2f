"""What the store tells the relay, one class a kind of change."""

import attrs

from .models import RolloutOrder, RouteDocument, Upstream
from .rollout import RolloutReport, RolloutState


@attrs.frozen(kw_only=True)
class DocumentWritten:
    """The operators have written a version of their routes."""

    document: RouteDocument


@attrs.frozen(kw_only=True)
class UpstreamListed:
    """An upstream has registered itself, or changed what it says."""

    upstream: Upstream


@attrs.frozen(kw_only=True)
class UpstreamUnlisted:
    """An upstream is no longer registered."""

    upstream_id: str


@attrs.frozen(kw_only=True)
class ZoneDisabled:
    """The operators want no more work in an availability zone."""

    zone: str


@attrs.frozen(kw_only=True)
class ZoneEnabled:
    """An availability zone is in service again."""

    zone: str


@attrs.frozen(kw_only=True)
class RolloutOrdered:
    """The operators want another version; ``order_id`` grows with each order."""

    order: RolloutOrder
    order_id: int


@attrs.frozen(kw_only=True)
class RolloutWithdrawn:
    """The order for a service is gone."""

    service: str


@attrs.frozen(kw_only=True)
class RolloutReported:
    """An entry has reported how far a roll-out is."""

    service: str
    target: str
    state: RolloutState
    revision: int


@attrs.frozen(kw_only=True)
class EntryRecord:
    """What one entry tells the others."""

    entry: str
    # Distinguishes two starts of one entry.
    incarnation: str
    # Where the other entries reach it, "ip:port"; empty if they cannot.
    address: str = ""
    rollouts: dict[str, RolloutReport] = attrs.field(factory=dict)
    # Crashed upstreams by fingerprint of the request.
    crashes: dict[str, int] = attrs.field(factory=dict)

    def is_urgent_after(self, earlier: "EntryRecord") -> bool:
        """Return whether what is new may change another entry's decision."""
        return self._decision_inputs() != earlier._decision_inputs()

    def _decision_inputs(self) -> tuple[object, ...]:
        rollouts = {
            service: (
                report.order_id,
                report.share,
                report.new.bad,
                report.share >= 1.0 and report.old.in_flight == 0,
            )
            for service, report in self.rollouts.items()
        }
        return rollouts, self.crashes


@attrs.frozen(kw_only=True)
class EntryReported:
    """An entry has written its record."""

    record: EntryRecord


@attrs.frozen(kw_only=True)
class EntryExpired:
    """An entry's record has lapsed."""

    entry: str


Change = (
    DocumentWritten
    | UpstreamListed
    | UpstreamUnlisted
    | ZoneDisabled
    | ZoneEnabled
    | RolloutOrdered
    | RolloutWithdrawn
    | RolloutReported
    | EntryReported
    | EntryExpired
)
