"""Ratings pooled over entries, by way of the sidecars' heartbeats.

An entry tells each sidecar the sums of the answers that came from there, and
hears the sums of the other entries. A message is as long as the upstream has
versions and classes, however many ratings there are.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable
from typing import Final

import attrs

from cardamomnotch_protocol.models import RatingTotals

from .models import RatingKey, RatingSums

# Sums of an entry that has been silent for this long are dropped.
EPOCH_RETENTION_S: Final = 3_600.0
MAX_EPOCHS: Final = 256
# A restarted sidecar hears all entries again within this time.
REBASE_S: Final = 5.0

_Cells = dict[RatingKey, RatingSums]
_NOTHING = RatingSums()


def to_totals(cells: _Cells) -> tuple[RatingTotals, ...]:
    """Return ``cells`` as they travel."""
    return tuple(
        RatingTotals(
            version=key.version,
            request_class=key.request_class,
            ratings=sums.ratings,
            score_sum=sums.score_sum,
            bad=sums.bad,
        )
        for key, sums in cells.items()
    )


def from_totals(totals: Iterable[RatingTotals]) -> _Cells:
    """Return the cells that ``totals`` carry."""
    return {
        RatingKey(item.version, item.request_class): RatingSums(
            ratings=item.ratings, score_sum=item.score_sum, bad=item.bad
        )
        for item in totals
    }


@attrs.frozen(kw_only=True)
class Told:
    """What a heartbeat told of other entries' ratings."""

    # Ratings that have come since the last heartbeat.
    added: _Cells = attrs.field(factory=dict)
    # Ratings from before this entry knew the upstream.
    earlier: _Cells = attrs.field(factory=dict)


@attrs.define
class _Heard:
    incarnation: str
    since_s: float
    cells: _Cells = attrs.field(factory=dict)


class EntryRatingExchange:
    """An entry's own sums for each sidecar, and what it has heard."""

    def __init__(self) -> None:
        self._own: dict[str, _Cells] = {}
        self._heard: dict[str, _Heard] = {}

    def add_own(self, vm_id: str, key: RatingKey, sums: RatingSums) -> None:
        """Count ratings of answers that came from ``vm_id``."""
        cells = self._own.setdefault(vm_id, {})
        cells[key] = cells.get(key, _NOTHING).plus(sums)

    def totals_for(self, vm_id: str) -> tuple[RatingTotals, ...]:
        """Return what to tell the sidecar on ``vm_id``."""
        return to_totals(self._own.get(vm_id, {}))

    def take(
        self,
        vm_id: str,
        incarnation: str,
        totals: Iterable[RatingTotals],
        now_s: float,
    ) -> Told:
        """Return what other entries have added since the last call.

        A sidecar that is new here, or was restarted, gives the level to
        count from for a few seconds, while it hears the entries again.
        """
        told = from_totals(totals)
        heard = self._heard.get(vm_id)
        if heard is None:
            self._heard[vm_id] = _Heard(incarnation, now_s, told)
            return Told(earlier=told)
        if heard.incarnation != incarnation:
            heard = self._heard[vm_id] = _Heard(incarnation, now_s)
        added = {
            key: sums.minus(heard.cells.get(key, _NOTHING))
            for key, sums in told.items()
        }
        heard.cells = told
        if now_s - heard.since_s < REBASE_S:
            return Told()
        return Told(
            added={key: sums for key, sums in added.items() if _is_growth(sums)}
        )

    def forget_versions(self, versions: Collection[str]) -> None:
        """Drop the sums of versions that are out of service."""
        for cells in self._own.values():
            for key in [item for item in cells if item.version in versions]:
                del cells[key]

    def forget_all_but(self, vm_ids: frozenset[str]) -> None:
        """Drop the sums of upstreams that are gone."""
        for kept in (self._own, self._heard):
            for vm_id in kept.keys() - vm_ids:
                del kept[vm_id]


def _is_growth(sums: RatingSums) -> bool:
    return sums.ratings > 0 and 0 <= sums.bad <= sums.ratings


@attrs.define
class _Epoch:
    heard_at_s: float
    cells: _Cells


class SidecarRatingExchange:
    """Sums of every entry that uses one upstream."""

    def __init__(self) -> None:
        self._epochs: dict[str, _Epoch] = {}

    def exchange(
        self,
        epoch: str,
        totals: Iterable[RatingTotals],
        versions_out: Collection[str],
        now_s: float,
    ) -> tuple[RatingTotals, ...]:
        """Take an entry's sums and return those of all others.

        ``epoch`` is new with each start of the entry. What is out of service
        is left out, so that a version is judged anew once it is in again.
        """
        if not epoch:
            return ()
        self._expire(now_s)
        self._epochs[epoch] = _Epoch(now_s, from_totals(totals))
        self._forget_versions(versions_out)
        pooled: defaultdict[RatingKey, RatingSums] = defaultdict(RatingSums)
        for name, item in self._epochs.items():
            for key, sums in item.cells.items() if name != epoch else ():
                pooled[key] = pooled[key].plus(sums)
        return to_totals(pooled)

    def _forget_versions(self, versions: Collection[str]) -> None:
        for item in self._epochs.values() if versions else ():
            for key in [one for one in item.cells if one.version in versions]:
                del item.cells[key]

    def _expire(self, now_s: float) -> None:
        by_age = sorted(self._epochs, key=lambda name: self._epochs[name].heard_at_s)
        spare = max(0, len(by_age) - MAX_EPOCHS)
        for index, name in enumerate(by_age):
            age_s = now_s - self._epochs[name].heard_at_s
            if index < spare or age_s > EPOCH_RETENTION_S:
                del self._epochs[name]
