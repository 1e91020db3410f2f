"""Changes read from the store, one class per kind of change."""

import attrs

from cardamomnotch_protocol.store_position import StorePosition

from ..crashes.detection import Crash
from ..crashes.evidence import Refutation
from ..models import RolloutOrder, RouteDocument, Upstream
from ..rollouts.rollout import RolloutReport, RolloutState


@attrs.frozen(kw_only=True)
class DocumentWritten:
    """Operators have written a version of the routes document."""

    document: RouteDocument


@attrs.frozen(kw_only=True)
class UpstreamListed:
    """An upstream has registered itself or updated its registration."""

    upstream: Upstream


@attrs.frozen(kw_only=True)
class UpstreamUnlisted:
    """An upstream is no longer registered."""

    upstream_id: str


@attrs.frozen(kw_only=True)
class ZoneDisabled:
    """Operators have taken an availability zone out of service."""

    zone: str


@attrs.frozen(kw_only=True)
class ZoneEnabled:
    """An availability zone is in service again."""

    zone: str


@attrs.frozen(kw_only=True)
class RolloutOrdered:
    """Operators have ordered a rollout; later orders have a larger id."""

    order: RolloutOrder
    order_id: StorePosition


@attrs.frozen(kw_only=True)
class RolloutWithdrawn:
    """The rollout order of a service has been deleted."""

    service: str


@attrs.frozen(kw_only=True)
class RolloutReported:
    """An entry has reported the state of a rollout."""

    service: str
    target: str
    state: RolloutState
    position: StorePosition


@attrs.frozen(kw_only=True)
class EntryRecord:
    """Record of one entry in the store, read by the other entries."""

    entry: str
    # Identifies one run of the entry's process.
    incarnation: str
    # Address for the other entries' notices, "ip:port"; empty if none.
    address: str = ""
    # Availability zone; empty in records of an earlier build.
    zone: str = ""
    # Statistics by service, of this entry or of its zone.
    rollouts: dict[str, RolloutReport] = attrs.field(factory=dict)
    # This entry's own part of its zone's statistics, for its next process.
    own_rollouts: dict[str, RolloutReport] = attrs.field(factory=dict)
    # Version of the route document that was in force when the record was written; a
    # change of it alone is no reason to write the record.
    document_version: int = attrs.field(default=0, eq=False)

    @property
    def own_reports(self) -> dict[str, RolloutReport]:
        """Return the entry's own statistics, by service."""
        return {**self.rollouts, **self.own_rollouts}

    def is_urgent_after(self, earlier: "EntryRecord") -> bool:
        """Return whether the changes since ``earlier`` affect other entries.

        Only changes that may alter another entry's decisions count.
        """
        return self._decision_inputs() != earlier._decision_inputs()

    def _decision_inputs(self) -> dict[str, tuple[object, ...]]:
        return {
            service: report.decision_inputs for service, report in self.rollouts.items()
        }


@attrs.frozen(kw_only=True)
class EntryReported:
    """An entry has written its record."""

    record: EntryRecord


@attrs.frozen(kw_only=True)
class EntryExpired:
    """An entry's record has expired."""

    entry: str


@attrs.frozen(kw_only=True)
class CrashesReported:
    """An entry has stored upstream crashes with their possible causes.

    It may also have refuted some. The report outlives the entry.
    """

    crashes: tuple[Crash, ...] = ()
    refutations: tuple[Refutation, ...] = ()


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
    | CrashesReported
)
