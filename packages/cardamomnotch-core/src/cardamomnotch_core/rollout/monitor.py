"""Evaluation of versions by their pooled ratings."""

import random
from typing import Any

import attrs

from ..configuration.changes import IncrementalChange, OutOfServiceChange
from ..configuration.models import Configuration
from ..configuration.out_of_service import OutOfServiceKind
from ..quality.estimator import QualityEstimator
from ..quality.models import RatingKey, RatingSums
from .changes import RolloutShareChange
from .const import (
    DEFAULT_BAD_SHARE,
    MAX_CHANGE_DELAY_S,
    SHARE_INCREASE_FACTOR,
    SUSPECT_LEVEL,
)
from .sequential import BadVersionTest, ShareIncreaseTest


@attrs.define
class _VersionState:
    bad_version_test: BadVersionTest = attrs.field(factory=BadVersionTest)
    increase_test: ShareIncreaseTest = attrs.field(factory=ShareIncreaseTest)
    # Traffic share to which the ratings in ``increase_test`` belong.
    share: float = 1.0
    # Time at which this entry requests the change, unless another entry has
    # made it by then. Infinite once the change has been requested.
    request_change_at_s: float | None = None


@attrs.frozen
class RequestedChange:
    """A requested configuration change and its reason."""

    change: IncrementalChange
    reason: str


class VersionMonitor:
    """Withdraws bad versions and increases the traffic share of rollouts."""

    def __init__(self, quality: QualityEstimator, random_source: random.Random) -> None:
        self._quality = quality
        self._random = random_source
        self._states: dict[str, _VersionState] = {}
        self._withdrawn: frozenset[str] = frozenset()

    @property
    def withdrawn(self) -> frozenset[str]:
        """Return bad versions that are in service in the configuration."""
        return self._withdrawn

    @property
    def suspect_versions(self) -> frozenset[str]:
        """Return versions with a reduced share until more ratings arrive."""
        return frozenset(
            name
            for name, item in self._states.items()
            if item.bad_version_test.alarm_level >= SUSPECT_LEVEL
        )

    def alarm_level(self, version: str) -> float:
        """Return the alarm level of ``version``; it is withdrawn at 1."""
        state = self._states.get(version)
        return state.bad_version_test.alarm_level if state else 0.0

    def diagnostics(self) -> dict[str, Any]:
        """Return the state of all versions for the state dump."""
        return {
            name: {
                "alarm_level": item.bad_version_test.alarm_level,
                "rollout_share": item.share,
            }
            for name, item in sorted(self._states.items())
        }

    def add(
        self,
        key: RatingKey,
        sums: RatingSums,
        configuration: Configuration,
        now_s: float,
    ) -> None:
        """Add ratings from this entry or from other entries."""
        if key.version in configuration.marks.versions_out or not sums.ratings:
            return
        self._quality.add(key, sums)
        request_class = configuration.classes_by_name.get(key.request_class)
        expected_bad_share = (
            request_class.bad_share if request_class else DEFAULT_BAD_SHARE
        )
        state = self._state_for(key.version, configuration)
        state.bad_version_test.add(sums, expected_bad_share)
        state.increase_test.add(sums, expected_bad_share)
        if (
            state.bad_version_test.is_alarm_raised
            and key.version not in self._withdrawn
        ):
            self._withdrawn |= {key.version}
            state.request_change_at_s = None
        self._schedule_change(key.version, state, now_s)

    def _state_for(self, version: str, configuration: Configuration) -> _VersionState:
        share = rollout_share(configuration, version)
        state = self._states.setdefault(version, _VersionState(share=share))
        if state.share != share:
            # Each step of a rollout is evaluated only by its own ratings.
            state.share = share
            state.increase_test = ShareIncreaseTest()
            state.request_change_at_s = None
        return state

    def _schedule_change(
        self, version: str, state: _VersionState, now_s: float
    ) -> None:
        may_increase = state.share < 1 and state.increase_test.is_passed
        if state.request_change_at_s is None and (
            version in self._withdrawn or may_increase
        ):
            state.request_change_at_s = (
                now_s + self._random.random() * MAX_CHANGE_DELAY_S
            )

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration.

        The state of versions that are out of service is removed, so that a
        version that returns to service is evaluated only by new ratings.
        """
        out_of_service = frozenset(configuration.marks.versions_out)
        for version in out_of_service & self._states.keys():
            del self._states[version]
            self._quality.remove_version(version)
        self._withdrawn -= out_of_service
        for version in self._states:
            self._state_for(version, configuration)

    def changes_due(self, now_s: float) -> list[RequestedChange]:
        """Return the changes that this entry requests now, each only once."""
        due = []
        for version, state in self._states.items():
            if state.request_change_at_s is None or now_s < state.request_change_at_s:
                continue
            state.request_change_at_s = float("inf")
            due.append(self._requested_change(version, state))
        return due

    def _requested_change(self, version: str, state: _VersionState) -> RequestedChange:
        if version in self._withdrawn:
            return RequestedChange(
                OutOfServiceChange(
                    kind=OutOfServiceKind.VERSION, name=version, out=True
                ),
                f"withdrawn: ratings of version {version} reached the alarm threshold",
            )
        to_share = min(1.0, state.share * SHARE_INCREASE_FACTOR)
        return RequestedChange(
            RolloutShareChange(
                version=version, from_share=state.share, to_share=to_share
            ),
            f"ratings of version {version} allow a rollout share of {to_share:g}",
        )


def rollout_share(configuration: Configuration, full_name: str) -> float:
    """Return the share of requests that the version may receive.

    Returns 1 for a version that is not configured.
    """
    model_name, _, version_name = full_name.partition("/")
    model = configuration.models_by_name.get(model_name)
    for version in model.versions if model else ():
        if version.name == version_name:
            return version.rollout_share
    return 1.0
