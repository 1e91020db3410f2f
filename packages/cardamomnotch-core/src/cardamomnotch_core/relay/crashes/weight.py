"""Weighs whether a suspect has crashed upstreams, or something else ended them."""

import math
from collections.abc import Set

import attrs

from .answered_suspects import AnsweredSuspects
from .const import (
    LAST_UPSTREAM_PROTECTION_S,
    MAX_CRASHES,
    MAX_UNRELATED_ENDS,
    OUTSIDE_ENDS_WINDOW_S,
)
from .detection import Suspicion
from .evidence import CrashEvidence
from .process_ends import EndMoment, ProcessEnds


@attrs.frozen(kw_only=True)
class CrashWeight:
    """The crashes that a suspect explains, and how many make it the cause.

    Crashes of one moment count once.
    """

    crashes: int = 0
    required: int = MAX_CRASHES
    # Whether other processes have ended that have no suspect left.
    has_outside_end: bool = False
    # When the last of them became known, in seconds.
    last_s: float = -math.inf

    @property
    def is_enough(self) -> bool:
        """Return whether the suspect explains the crashes best."""
        return self.crashes >= self.required


class CrashWeighing:
    """Compares a suspect with an outside cause as explanation of crashes.

    An outside cause, such as a lost availability zone or a finished rollout,
    ends several processes at one moment, whatever they run, and the suspects
    among their requests are answered soon after. So crashes of one moment count
    once, and not at all if the suspect ran at few of many processes, or if most
    of them have no suspect left. One more crash is required while other
    processes have ended that have none left, and one more with each doubling of
    the suspect's answered requests.
    """

    def __init__(
        self, evidence: CrashEvidence, ends: ProcessEnds, answers: AnsweredSuspects
    ) -> None:
        self._evidence = evidence
        self._ends = ends
        self._answers = answers

    def weigh(self, suspect: str, until_s: float, now_s: float) -> CrashWeight:
        """Weigh the crashes of ``suspect`` that were known at ``until_s``."""
        known_at_s = self._evidence.known_at_s(suspect)
        if not known_at_s:
            return CrashWeight()
        explained = self._explained(suspect, until_s)
        has_outside_end = self._has_outside_end(suspect, set(explained), until_s)
        required = MAX_CRASHES + int(has_outside_end)
        required += self.answer_level(suspect, now_s)
        known_s = (at_s for at_s in known_at_s.values() if at_s <= until_s)
        return CrashWeight(
            crashes=sum(explained.values()),
            required=required,
            has_outside_end=has_outside_end,
            last_s=max(known_s, default=-math.inf),
        )

    def answer_level(self, suspect: str, now_s: float) -> int:
        """Return how many more crashes are required for the suspect's answers."""
        return int(math.log2(1 + self._answer_count(suspect, now_s)))

    def has_repeated_crashes(self, now_s: float) -> bool:
        """Return whether suspects alone explain what ended processes lately.

        They do if each process that has ended within
        ``LAST_UPSTREAM_PROTECTION_S`` has one, and several have ended.
        """
        recent = self._ends.between(now_s - LAST_UPSTREAM_PROTECTION_S, now_s)
        return len(recent) >= MAX_CRASHES and not any(map(self._outside_ends, recent))

    def _answer_count(self, suspect: str, now_s: float) -> float:
        count = self._answers.count(suspect, now_s)
        if self._evidence.processes(suspect, {Suspicion.ANSWERED}):
            # Another entry has answered one at least.
            return max(1.0, count)
        return count

    def _explained(self, suspect: str, until_s: float) -> dict[EndMoment, int]:
        """Return the moments that a suspect explains, with its crashes in each.

        Crashes of one moment count once, since what ended one process may have
        ended all. They count each if they followed one another, and nothing
        else ended.
        """
        ran: dict[EndMoment, list[str]] = {}
        for process, known_s in self._evidence.known_at_s(suspect).items():
            moment = self._ends.moment(process)
            if moment is not None and known_s <= until_s:
                ran.setdefault(moment, []).append(process)
        explained: dict[EndMoment, int] = {}
        for moment, processes in ran.items():
            others = len(moment.processes) - len(processes)
            if others > max(MAX_UNRELATED_ENDS, len(processes)):
                continue
            if len(processes) < len(self._outside_ends(moment)):
                continue
            is_sequence = len(processes) == len(moment.processes) and (
                self._evidence.simultaneous_crashes(suspect, processes) <= 1
            )
            explained[moment] = len(processes) if is_sequence else 1
        return explained

    def _has_outside_end(
        self, suspect: str, explained: Set[EndMoment], until_s: float
    ) -> bool:
        """Return whether no suspect explains an end near those of ``suspect``."""
        if not explained:
            return True
        begins_s = [moment.began_at_s for moment in explained]
        nearby = self._ends.between(
            min(begins_s) - OUTSIDE_ENDS_WINDOW_S,
            min(until_s, max(begins_s) + OUTSIDE_ENDS_WINDOW_S),
        )
        own = self._evidence.known_at_s(suspect)
        return any(
            process not in own
            for moment in nearby
            for process in self._outside_ends(moment)
        )

    def _outside_ends(self, moment: EndMoment) -> list[str]:
        """Return the processes that none of their suspects may have crashed."""
        return [
            process
            for process in moment.processes
            if not self._evidence.has_open_suspect(process)
        ]
