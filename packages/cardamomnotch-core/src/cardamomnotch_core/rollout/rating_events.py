"""Handling of rating events and the actions that follow from them."""

import random
from functools import singledispatchmethod
from typing import Any

from cardamomnotch_protocol.models import RatingTotals

from ..configuration.holder import ConfigurationHolder
from ..configuration.models import Configuration
from ..nodes import actions, events
from ..nodes.actions import Action
from ..nodes.events import Event
from ..quality.estimator import QualityEstimator
from ..quality.models import RatingKey, RatingSums
from ..quality.rating_exchange import EntryRatingExchange
from ..routing.ranking import RankingCache
from .const import DEFAULT_BAD_BELOW, RATE_ALL_LEVEL
from .monitor import VersionMonitor, rollout_share

_EMPTY_CONFIGURATION = Configuration()


class RatingEventHandler:
    """Pools ratings with other entries and acts on the test results."""

    def __init__(
        self,
        configuration: ConfigurationHolder,
        quality: QualityEstimator,
        rankings: RankingCache,
        random_source: random.Random,
    ) -> None:
        self._configuration_holder = configuration
        self._quality = quality
        self._rankings = rankings
        self._rating_exchange = EntryRatingExchange()
        self._monitor = VersionMonitor(quality, random_source)
        self._epoch = f"{random_source.getrandbits(64):016x}"

    @property
    def epoch(self) -> str:
        """Return the random ID of this start of the entry."""
        return self._epoch

    def needs_every_rating(self, version: str) -> bool:
        """Return whether all answers of ``version`` must be rated.

        This holds for versions in rollout and for versions whose alarm level
        has reached ``RATE_ALL_LEVEL``.
        """
        has_high_alarm_level = self._monitor.alarm_level(version) >= RATE_ALL_LEVEL
        return (
            has_high_alarm_level
            or rollout_share(self._active_configuration, version) < 1
        )

    @property
    def monitor(self) -> VersionMonitor:
        """Return the monitor that evaluates the versions."""
        return self._monitor

    def totals_for(self, vm_id: str) -> tuple[RatingTotals, ...]:
        """Return the rating totals for a heartbeat to ``vm_id``."""
        return self._rating_exchange.totals_for(vm_id)

    def diagnostics(self) -> dict[str, Any]:
        """Return the state of all versions for the state dump."""
        return {"versions": self._monitor.diagnostics()}

    @singledispatchmethod
    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Return the actions that follow from ``event``."""
        return []

    @handle.register
    def _(self, event: events.AnswerRated, now_s: float) -> list[Action]:
        configuration = self._active_configuration
        request_class = configuration.classes_by_name.get(event.request_class)
        bad_below = request_class.bad_below if request_class else DEFAULT_BAD_BELOW
        key = RatingKey(event.version, event.request_class)
        sums = RatingSums(
            ratings=1, score_sum=event.score, bad=int(event.score < bad_below)
        )
        if event.version not in configuration.marks.versions_out:
            self._rating_exchange.add_local(event.vm_id, key, sums)
        self._monitor.add(key, sums, configuration, now_s)
        return self._apply_test_results(now_s)

    @handle.register
    def _(self, event: events.HeartbeatAnswered, now_s: float) -> list[Action]:
        reply = event.reply
        received = self._rating_exchange.receive(
            event.vm_id, reply.incarnation, reply.ratings, now_s
        )
        for key, sums in received.prior.items():
            self._quality.add(key, sums)
        for key, sums in received.added.items():
            self._monitor.add(key, sums, self._active_configuration, now_s)
        return self._apply_test_results(now_s) if received.added else []

    @handle.register
    def _(self, event: events.ConfigurationOffered, now_s: float) -> list[Action]:
        configuration = event.record.configuration
        self._rating_exchange.remove_versions(configuration.marks.versions_out)
        self._monitor.apply_configuration(configuration)
        return self._apply_test_results(now_s)

    @handle.register
    def _(self, event: events.VmListReceived, now_s: float) -> list[Action]:
        self._rating_exchange.retain_only(frozenset(vm.vm_id for vm in event.vms))
        return []

    @handle.register
    def _(self, event: events.TimerDue, now_s: float) -> list[Action]:
        return self._apply_test_results(now_s)

    @property
    def _active_configuration(self) -> Configuration:
        record = self._configuration_holder.record
        return record.configuration if record else _EMPTY_CONFIGURATION

    def _apply_test_results(self, now_s: float) -> list[Action]:
        """Stop using bad versions and return the configuration changes due."""
        follow_up: list[Action] = []
        withdrawn = self._monitor.withdrawn
        if withdrawn != self._rankings.withdrawn:
            follow_up += [
                actions.LogStateChange(
                    text=f"version {name} gets no more requests: its ratings are bad"
                )
                for name in sorted(withdrawn - self._rankings.withdrawn)
            ]
            self._rankings.set_withdrawn(withdrawn)
        self._rankings.set_suspect_versions(self._monitor.suspect_versions)
        follow_up += [
            actions.ChangeConfiguration(change=item.change, reason=item.reason)
            for item in self._monitor.changes_due(now_s)
        ]
        return follow_up
