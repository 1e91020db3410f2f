"""Judges versions by their pooled ratings."""

import random
from typing import Any

import attrs

from ..configuration.changes import ListsChange, MarkChange
from ..configuration.marks import MarkKind
from ..configuration.models import Configuration
from ..quality.estimator import QualityEstimator
from ..quality.models import RatingKey, RatingSums
from .changes import RolloutShareChange
from .const import DEFAULT_BAD_SHARE, GROWTH_FACTOR, HOLD_BACK_LEVEL, STAGGER_S
from .sequential import BadVersionTest, GrowthTest


@attrs.define
class _Judged:
    test: BadVersionTest = attrs.field(factory=BadVersionTest)
    growth: GrowthTest = attrs.field(factory=GrowthTest)
    # Share that the growth test is about.
    share: float = 1.0
    # When this entry asks for the change, if nobody else has by then.
    ask_at_s: float | None = None


@attrs.frozen
class WantedChange:
    """A change of the lists with the reason for it."""

    change: ListsChange
    reason: str


class VersionMonitor:
    """Withdraws bad versions at once, and lets roll-outs grow."""

    def __init__(self, quality: QualityEstimator, random_source: random.Random) -> None:
        self._quality = quality
        self._random = random_source
        self._judged: dict[str, _Judged] = {}
        self._withdrawn: frozenset[str] = frozenset()

    @property
    def withdrawn(self) -> frozenset[str]:
        """Return bad versions that the lists do not show as out yet."""
        return self._withdrawn

    @property
    def suspect_versions(self) -> frozenset[str]:
        """Return versions that are held back until more ratings tell."""
        return frozenset(
            name
            for name, item in self._judged.items()
            if item.test.level >= HOLD_BACK_LEVEL
        )

    def level(self, version: str) -> float:
        """Return how near ``version`` is to an alarm, from 0 to 1."""
        judged = self._judged.get(version)
        return judged.test.level if judged else 0.0

    def diagnostics(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            name: {"alarm_level": item.test.level, "rollout_share": item.share}
            for name, item in sorted(self._judged.items())
        }

    def add(
        self, key: RatingKey, sums: RatingSums, lists: Configuration, now_s: float
    ) -> None:
        """Take ratings from this entry or another."""
        if key.version in lists.marks.versions_out or not sums.ratings:
            return
        self._quality.add(key, sums)
        request_class = lists.classes_by_name.get(key.request_class)
        good = request_class.bad_share if request_class else DEFAULT_BAD_SHARE
        judged = self._judged_for(key.version, lists)
        judged.test.add(sums, good)
        judged.growth.add(sums, good)
        if judged.test.is_alarmed and key.version not in self._withdrawn:
            self._withdrawn |= {key.version}
            judged.ask_at_s = None
        self._plan_change(key.version, judged, now_s)

    def _judged_for(self, version: str, lists: Configuration) -> _Judged:
        share = rollout_share(lists, version)
        judged = self._judged.setdefault(version, _Judged(share=share))
        if judged.share != share:
            # Each step of a roll-out is judged by its own answers.
            judged.share = share
            judged.growth = GrowthTest()
            judged.ask_at_s = None
        return judged

    def _plan_change(self, version: str, judged: _Judged, now_s: float) -> None:
        may_grow = judged.share < 1 and judged.growth.is_passed
        if judged.ask_at_s is None and (version in self._withdrawn or may_grow):
            judged.ask_at_s = now_s + self._random.random() * STAGGER_S

    def apply_configuration(self, lists: Configuration) -> None:
        """Follow the lists: what is out there is judged anew once it is in."""
        out = frozenset(lists.marks.versions_out)
        for version in out & self._judged.keys():
            del self._judged[version]
            self._quality.forget(version)
        self._withdrawn -= out
        for version in self._judged:
            self._judged_for(version, lists)

    def changes_due(self, now_s: float) -> list[WantedChange]:
        """Return the changes that this entry asks for now, each once."""
        result = []
        for version, judged in self._judged.items():
            if judged.ask_at_s is None or now_s < judged.ask_at_s:
                continue
            judged.ask_at_s = float("inf")
            result.append(self._change(version, judged))
        return result

    def _change(self, version: str, judged: _Judged) -> WantedChange:
        if version in self._withdrawn:
            return WantedChange(
                MarkChange(kind=MarkKind.VERSION, name=version, out=True),
                f"ratings show {version} to be bad",
            )
        to_share = min(1.0, judged.share * GROWTH_FACTOR)
        return WantedChange(
            RolloutShareChange(
                version=version, from_share=judged.share, to_share=to_share
            ),
            f"ratings let {version} grow to a share of {to_share:g}",
        )


def rollout_share(lists: Configuration, full_name: str) -> float:
    """Return the share of requests that the version may take."""
    model_name, _, version_name = full_name.partition("/")
    model = lists.models_by_name.get(model_name)
    for version in model.versions if model else ():
        if version.name == version_name:
            return version.rollout_share
    return 1.0
