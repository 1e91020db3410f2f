"""Ratings as events, and what follows from them."""

import random
from functools import singledispatchmethod
from typing import Any

from cardamomnotch_protocol.models import RatingTotals

from ..configuration.holder import ConfigurationHolder
from ..configuration.models import Configuration
from ..nodes import actions, events
from ..nodes.actions import Action
from ..nodes.events import Event
from ..quality.book import QualityBook
from ..quality.evidence import EntryEvidence
from ..quality.models import CellKey, RatingSums
from ..routing.ranking import RankingCache
from .const import DEFAULT_BAD_BELOW, SUSPICION_LEVEL
from .monitor import VersionMonitor, rollout_share

_NO_LISTS = Configuration()


class EvidenceFlow:
    """Pools ratings with other entries and acts on what they show."""

    def __init__(
        self,
        configuration: ConfigurationHolder,
        quality: QualityBook,
        rankings: RankingCache,
        random_source: random.Random,
    ) -> None:
        self._configuration = configuration
        self._quality = quality
        self._rankings = rankings
        self._evidence = EntryEvidence()
        self._monitor = VersionMonitor(quality, random_source)
        self._epoch = f"{random_source.getrandbits(64):016x}"

    @property
    def epoch(self) -> str:
        """Return the name of this start of the entry."""
        return self._epoch

    def needs_every_rating(self, version: str) -> bool:
        """Return whether ``version`` is in roll-out or under suspicion."""
        is_suspect = self._monitor.level(version) >= SUSPICION_LEVEL
        return is_suspect or rollout_share(self._lists, version) < 1

    @property
    def monitor(self) -> VersionMonitor:
        """Return the judge of versions."""
        return self._monitor

    def totals_for(self, vm_id: str) -> tuple[RatingTotals, ...]:
        """Return the sums that go with a heartbeat to ``vm_id``."""
        return self._evidence.totals_for(vm_id)

    def diagnostics(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {"versions": self._monitor.diagnostics()}

    @singledispatchmethod
    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Return the actions that follow from ``event``."""
        return []

    @handle.register
    def _(self, event: events.AnswerRated, now_s: float) -> list[Action]:
        lists = self._lists
        request_class = lists.classes_by_name.get(event.request_class)
        bad_below = request_class.bad_below if request_class else DEFAULT_BAD_BELOW
        key = CellKey(event.version, event.request_class)
        sums = RatingSums(
            ratings=1, score_sum=event.score, bad=int(event.score < bad_below)
        )
        if event.version not in lists.marks.versions_out:
            self._evidence.add_own(event.vm_id, key, sums)
        self._monitor.add(key, sums, lists, now_s)
        return self._follow_up(now_s)

    @handle.register
    def _(self, event: events.HeartbeatAnswered, now_s: float) -> list[Action]:
        reply = event.reply
        told = self._evidence.take(event.vm_id, reply.incarnation, reply.ratings, now_s)
        for key, sums in told.earlier.items():
            self._quality.add(key, sums)
        for key, sums in told.added.items():
            self._monitor.add(key, sums, self._lists, now_s)
        return self._follow_up(now_s) if told.added else []

    @handle.register
    def _(self, event: events.ConfigurationOffered, now_s: float) -> list[Action]:
        lists = event.record.configuration
        self._evidence.forget_versions(lists.marks.versions_out)
        self._monitor.take_lists(lists)
        return self._follow_up(now_s)

    @handle.register
    def _(self, event: events.VmListReceived, now_s: float) -> list[Action]:
        self._evidence.forget_all_but(frozenset(vm.vm_id for vm in event.vms))
        return []

    @handle.register
    def _(self, event: events.TimerDue, now_s: float) -> list[Action]:
        return self._follow_up(now_s)

    @property
    def _lists(self) -> Configuration:
        record = self._configuration.record
        return record.configuration if record else _NO_LISTS

    def _follow_up(self, now_s: float) -> list[Action]:
        """Stop using bad versions at once, and ask for changes that are due."""
        result: list[Action] = []
        withdrawn = self._monitor.withdrawn
        if withdrawn != self._rankings.withdrawn:
            result += [
                actions.LogStateChange(text=f"version {name} gets no more work: bad")
                for name in sorted(withdrawn - self._rankings.withdrawn)
            ]
            self._rankings.set_withdrawn(withdrawn)
        self._rankings.set_suspects(self._monitor.suspects)
        result += [
            actions.ChangeConfiguration(change=item.change, reason=item.reason)
            for item in self._monitor.changes_due(now_s)
        ]
        return result
