"""Exchange of rating totals between entries in sidecar heartbeats.

An entry sends each sidecar the totals for the answers that came from its
upstream, and receives the totals of the other entries. The size of a message
depends on the number of the upstream's versions and request classes, not on
the number of ratings.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable
from typing import Final

import attrs

from cardamomnotch_protocol.models import RatingTotals

from .models import RatingKey, RatingSums

# A sidecar removes the totals of an entry that has sent no heartbeat for this
# long.
EPOCH_RETENTION_S: Final = 3_600.0
# Entry starts whose totals a sidecar keeps; the oldest are removed first.
MAX_EPOCHS: Final = 256
# Time within which a restarted sidecar receives the totals of all entries.
SIDECAR_RESYNC_S: Final = 5.0

_SumsByKey = dict[RatingKey, RatingSums]
_NO_RATINGS = RatingSums()


def to_totals(sums_by_key: _SumsByKey) -> tuple[RatingTotals, ...]:
    """Return ``sums_by_key`` as protocol messages."""
    return tuple(
        RatingTotals(
            version=key.version,
            request_class=key.request_class,
            ratings=sums.ratings,
            score_sum=sums.score_sum,
            bad=sums.bad,
        )
        for key, sums in sums_by_key.items()
    )


def from_totals(totals: Iterable[RatingTotals]) -> _SumsByKey:
    """Return the sums by key from protocol messages."""
    return {
        RatingKey(item.version, item.request_class): RatingSums(
            ratings=item.ratings, score_sum=item.score_sum, bad=item.bad
        )
        for item in totals
    }


@attrs.frozen(kw_only=True)
class ReceivedRatings:
    """Ratings of other entries, received in a heartbeat reply."""

    # Ratings added since the previous heartbeat.
    added: _SumsByKey = attrs.field(factory=dict)
    # Ratings from before this entry's first heartbeat to the sidecar.
    prior: _SumsByKey = attrs.field(factory=dict)


@attrs.define
class _SidecarView:
    incarnation: str
    baseline_at_s: float
    sums_by_key: _SumsByKey = attrs.field(factory=dict)


class EntryRatingExchange:
    """An entry's own rating sums for each sidecar, and those received."""

    def __init__(self) -> None:
        self._local: dict[str, _SumsByKey] = {}
        self._sidecars: dict[str, _SidecarView] = {}

    def add_local(self, vm_id: str, key: RatingKey, sums: RatingSums) -> None:
        """Add this entry's ratings of answers that came from ``vm_id``."""
        sums_by_key = self._local.setdefault(vm_id, {})
        sums_by_key[key] = sums_by_key.get(key, _NO_RATINGS).plus(sums)

    def totals_for(self, vm_id: str) -> tuple[RatingTotals, ...]:
        """Return this entry's totals for the sidecar on ``vm_id``."""
        return to_totals(self._local.get(vm_id, {}))

    def receive(
        self,
        vm_id: str,
        incarnation: str,
        totals: Iterable[RatingTotals],
        now_s: float,
    ) -> ReceivedRatings:
        """Return the ratings that other entries added since the last call.

        The first totals from a sidecar are returned as ``prior``. For
        ``SIDECAR_RESYNC_S`` after first contact with a sidecar or its
        restart, its totals only set the baseline for later differences. A
        restarted sidecar first has to receive the totals of all entries
        again, and without the baseline they would be counted twice.
        """
        received = from_totals(totals)
        view = self._sidecars.get(vm_id)
        if view is None:
            self._sidecars[vm_id] = _SidecarView(incarnation, now_s, received)
            return ReceivedRatings(prior=received)
        if view.incarnation != incarnation:
            view = self._sidecars[vm_id] = _SidecarView(incarnation, now_s)
        added = {
            key: sums.minus(view.sums_by_key.get(key, _NO_RATINGS))
            for key, sums in received.items()
        }
        view.sums_by_key = received
        if now_s - view.baseline_at_s < SIDECAR_RESYNC_S:
            return ReceivedRatings()
        return ReceivedRatings(
            added={key: sums for key, sums in added.items() if _is_valid_increase(sums)}
        )

    def remove_versions(self, versions: Collection[str]) -> None:
        """Remove this entry's sums of versions that are out of service."""
        for sums_by_key in self._local.values():
            for key in [key for key in sums_by_key if key.version in versions]:
                del sums_by_key[key]

    def retain_only(self, vm_ids: frozenset[str]) -> None:
        """Remove the sums of all upstreams that are not in ``vm_ids``."""
        for state_by_vm in (self._local, self._sidecars):
            for vm_id in state_by_vm.keys() - vm_ids:
                del state_by_vm[vm_id]


def _is_valid_increase(sums: RatingSums) -> bool:
    return sums.ratings > 0 and 0 <= sums.bad <= sums.ratings


@attrs.define
class _EntryRatings:
    received_at_s: float
    sums_by_key: _SumsByKey


class SidecarRatingExchange:
    """A sidecar's rating totals of each entry that uses its upstream."""

    def __init__(self) -> None:
        self._entries_by_epoch: dict[str, _EntryRatings] = {}

    def exchange(
        self,
        epoch: str,
        totals: Iterable[RatingTotals],
        versions_out: Collection[str],
        now_s: float,
    ) -> tuple[RatingTotals, ...]:
        """Store the totals of an entry and return the sum of all others.

        ``epoch`` identifies one start of the entry. Versions that are out of
        service are removed, so that a version that returns to service is
        evaluated only by its new ratings.
        """
        if not epoch:
            return ()
        self._remove_expired(now_s)
        self._entries_by_epoch[epoch] = _EntryRatings(now_s, from_totals(totals))
        self._remove_versions(versions_out)
        pooled: defaultdict[RatingKey, RatingSums] = defaultdict(RatingSums)
        for other_epoch, item in self._entries_by_epoch.items():
            for key, sums in item.sums_by_key.items() if other_epoch != epoch else ():
                pooled[key] = pooled[key].plus(sums)
        return to_totals(pooled)

    def _remove_versions(self, versions: Collection[str]) -> None:
        for item in self._entries_by_epoch.values() if versions else ():
            for key in [key for key in item.sums_by_key if key.version in versions]:
                del item.sums_by_key[key]

    def _remove_expired(self, now_s: float) -> None:
        oldest_first = sorted(
            self._entries_by_epoch,
            key=lambda epoch: self._entries_by_epoch[epoch].received_at_s,
        )
        excess = max(0, len(oldest_first) - MAX_EPOCHS)
        for index, epoch in enumerate(oldest_first):
            age_s = now_s - self._entries_by_epoch[epoch].received_at_s
            if index < excess or age_s > EPOCH_RETENTION_S:
                del self._entries_by_epoch[epoch]
