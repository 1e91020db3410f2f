"""Attribution of an upstream's crash to the attempts that it ran."""

from collections import deque
from collections.abc import Hashable
from enum import IntEnum, auto

import attrs

from ..const import MAX_ATTEMPT_S
from .const import CRASH_NOTICE_S, CRASH_ONSET_S
from .held_suspects import HeldSuspects
from .process_ends import ProcessEnds


class Suspicion(IntEnum):
    """How likely a suspect caused a crash, by its request's state then."""

    # Other requests with the suspect had been answered lately.
    ANSWERED = 1
    # Its answer had been arriving for a while.
    ANSWERING = 2
    # No part of an answer had arrived.
    WAITING = 3
    # Its answer had just begun.
    BEGINNING = 4


# Suspicions of suspects that were not answered lately.
OPEN_SUSPICIONS = frozenset({Suspicion.WAITING, Suspicion.BEGINNING})


class AttemptEnd(IntEnum):
    """How an attempt ended."""

    # With a complete answer.
    COMPLETED = auto()
    # Without a complete answer.
    LOST = auto()
    # By this entry, before its answer was complete.
    ABANDONED = auto()
    # In a way that says nothing about its upstream's process.
    NEUTRAL = auto()


@attrs.frozen(kw_only=True)
class Crash:
    """The end of an upstream's process, and a possible cause of it."""

    # The cause: a request's fingerprint, or one part of its prompt.
    suspect: str
    # Identifies one run of an upstream.
    process: str
    suspicion: Suspicion = Suspicion.WAITING
    # Whether the request was sent after the first end of the same moment.
    is_subsequent: bool = False


@attrs.define
class _Run:
    """An attempt at a process."""

    process: str
    suspects: frozenset[str]
    sent_at_s: float
    began_at_s: float | None = None
    ended_at_s: float = 0.0
    is_lost: bool = False


class CrashDetector:
    """Tracks attempts, and names the suspects when a process ends.

    An attempt that ended without a complete answer is a suspect if its
    process ends within ``CRASH_NOTICE_S``, or had ended before. ``ends`` is
    where the ends of processes are kept, and ``held`` counts the suspects of ended
    attempts.
    """

    def __init__(
        self, ends: ProcessEnds | None = None, held: HeldSuspects | None = None
    ) -> None:
        self._ends = ends if ends is not None else ProcessEnds()
        self._held = held if held is not None else HeldSuspects()
        self._runs: dict[Hashable, _Run] = {}
        # Attempts without a complete answer, in the order of their ends.
        self._unanswered: deque[_Run] = deque()
        # When processes that have ended did so, in the order of detection.
        self._ended_at_s: dict[str, float] = {}

    def record_sent(
        self, key: Hashable, process: str, suspects: frozenset[str], now_s: float
    ) -> None:
        """Record an attempt that is sent to ``process``; ``key`` identifies it."""
        self._runs[key] = _Run(process, suspects, now_s)

    def record_first_byte(self, key: Hashable, now_s: float) -> None:
        """Record that the answer of an attempt has begun."""
        self._runs[key].began_at_s = now_s

    def suspects(self, key: Hashable) -> frozenset[str]:
        """Return the suspects of an attempt; none if it has ended."""
        run = self._runs.get(key)
        return run.suspects if run else frozenset()

    def record_ended(
        self, key: Hashable, end: AttemptEnd, now_s: float
    ) -> tuple[Crash, ...]:
        """Record the end of an attempt.

        Returns the crashes that are attributed to it now, if its process has
        ended before.
        """
        run = self._runs.pop(key, None)
        if run is None:
            return ()
        if end in (AttemptEnd.COMPLETED, AttemptEnd.NEUTRAL):
            return ()
        run.ended_at_s = now_s
        run.is_lost = end is AttemptEnd.LOST
        crashed_at_s = self._ended_at_s.get(run.process)
        if crashed_at_s is not None:
            return self._crashes(run, crashed_at_s, is_exact=True)
        self._unanswered.append(run)
        self._held.hold(len(run.suspects))
        self._expire(now_s)
        return ()

    def record_process_ended(self, process: str, now_s: float) -> tuple[Crash, ...]:
        """Record that a process has ended, other than after draining.

        Returns the crashes that are attributed to its last attempts.
        """
        self._expire(now_s)
        runs = [run for run in self._unanswered if run.process == process]
        if runs:
            self._unanswered = deque(
                run for run in self._unanswered if run.process != process
            )
        for run in runs:
            self._held.release(len(run.suspects))
        lost_at_s = [run.ended_at_s for run in runs if run.is_lost]
        # A crash breaks the connections at once, but may be noticed later.
        crashed_at_s = max(lost_at_s, default=now_s)
        self._ended_at_s.setdefault(process, crashed_at_s)
        self._ends.record(process, crashed_at_s)
        return tuple(
            crash
            for run in runs
            for crash in self._crashes(run, crashed_at_s, is_exact=bool(lost_at_s))
        )

    def _crashes(
        self, run: _Run, crashed_at_s: float, *, is_exact: bool
    ) -> tuple[Crash, ...]:
        suspicion = _suspicion(run, crashed_at_s, is_exact)
        if suspicion is None:
            return ()
        moment = self._ends.moment(run.process)
        is_subsequent = moment is not None and run.sent_at_s > moment.began_at_s
        return tuple(
            Crash(
                suspect=suspect,
                process=run.process,
                suspicion=suspicion,
                is_subsequent=is_subsequent,
            )
            for suspect in sorted(run.suspects)
        )

    def _expire(self, now_s: float) -> None:
        while (
            self._unanswered and self._unanswered[0].ended_at_s < now_s - CRASH_NOTICE_S
        ):
            self._held.release(len(self._unanswered.popleft().suspects))
        while self._ended_at_s:
            process, ended_at_s = next(iter(self._ended_at_s.items()))
            if ended_at_s >= now_s - MAX_ATTEMPT_S:
                return
            del self._ended_at_s[process]


def _suspicion(run: _Run, crashed_at_s: float, is_exact: bool) -> Suspicion | None:
    """Return how suspect an attempt is; None if it had ended before the crash.

    The crash was before ``crashed_at_s`` unless that time is exact.
    """
    if run.began_at_s is None:
        return Suspicion.WAITING
    if crashed_at_s - run.began_at_s < CRASH_ONSET_S:
        return Suspicion.BEGINNING
    if not is_exact:
        return Suspicion.WAITING
    return Suspicion.ANSWERING if run.is_lost else None
