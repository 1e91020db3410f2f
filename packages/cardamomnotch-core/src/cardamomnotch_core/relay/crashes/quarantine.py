"""Quarantine of requests and prompt parts that crash upstreams."""

import heapq
import itertools
from collections.abc import Callable, Hashable, Iterable, Sequence, Set

import attrs

from ..const import MAX_PROMPT_PARTS
from ..models import is_prompt_part
from ..store_changes.changes import CrashesReported
from .answered_suspects import AnsweredSuspects
from .const import (
    CRASH_REPORT_SPREAD_S,
    MAX_CRASHES,
    MAX_LOGGED_SUSPECTS,
    MAX_REPORTED_CRASHES,
    MAX_SUSPECTS,
    MAX_UNREPORTED,
    QUARANTINE_GROWTH,
    QUARANTINE_S,
)
from .detection import Crash, Suspicion
from .evidence import CrashEvidence, CrashHistory, Refutation
from .isolation import Isolation
from .process_ends import ProcessEnds
from .weight import CrashWeighing, CrashWeight

# Suspicions that are refuted by an answer that arrives for a while.
_REFUTED_BY_ONSET = frozenset(Suspicion) - {Suspicion.ANSWERING}

# Isolation of a suspect, by whether it is a request that may have crashed several
# upstreams, and by whether others have ended that no suspect explains.
_ISOLATIONS = {
    (False, False): Isolation.PREFERRED,
    (False, True): Isolation.NONE,
    (True, False): Isolation.REQUIRED,
    (True, True): Isolation.PREFERRED,
}

# Shortest wait of a request, in seconds: shorter ones may not advance a clock.
_MIN_WAIT_S = 0.01

# Called with a crash that this entry has seen, the number of crashes counted
# for its suspect, and the number of suspects that explain all of these. Of a crash with
# many suspects it is called for those with most crashes.
CrashListener = Callable[[Crash, int, int], None]


@attrs.frozen(kw_only=True)
class Decision:
    """Whether a request may be sent."""

    # Whether the request must not be sent to any upstream.
    is_blocked: bool = False
    # Time after which it may be tried again, in seconds, if it is blocked.
    retry_after_s: float = 0.0
    # Time after which to decide again, in seconds; 0 if it may be sent now.
    wait_s: float = 0.0


@attrs.define
class _SuspectGroup:
    """Suspects of a request that cannot be told apart by what is known of them."""

    suspects: Sequence[str]

    @property
    def first(self) -> str:
        """Return the suspect for which a decision on all of them is made."""
        return self.suspects[0]


class Quarantine:
    """Decides which requests must not be sent to any upstream.

    A suspect is a request, by its fingerprint, or a part of a prompt. A request
    is blocked if one of its suspects explains the crashes of upstreams better
    than an outside cause does (``CrashWeighing``), and it contains every suspect
    that explains these crashes as well. So a sound request is not blocked for
    crashes that it shares with the cause, and a sound part not for those that it
    shares with a crashing one.

    After a while a blocked suspect is tried once more, alone: an answer ends
    the block, a further crash makes it longer.

    Knows the crashes that this entry has seen and those that other entries
    have reported in the store. ``ends`` is where the ends of processes are kept.
    """

    def __init__(self, ends: ProcessEnds | None = None) -> None:
        self._evidence = CrashEvidence()
        self._ends = ends if ends is not None else ProcessEnds()
        self._answers = AnsweredSuspects()
        self._weighing = CrashWeighing(self._evidence, self._ends, self._answers)
        self._unreported: list[Crash] = []
        # Refutations by this entry that matter to no other entry yet, and
        # those that are to be stored.
        self._own_refutations: dict[str, set[Refutation]] = {}
        self._unreported_refutations: dict[Refutation, None] = {}
        # Crashes and refutations that are not sent to the other entries yet.
        self._unsent_crashes: list[Crash] = []
        self._unsent_refutations: list[Refutation] = []
        self._listeners: list[CrashListener] = []

    @property
    def unreported(self) -> tuple[Crash, ...]:
        """Return the oldest crashes seen by this entry that are not stored yet."""
        return tuple(self._unreported[:MAX_REPORTED_CRASHES])

    @property
    def unreported_refutations(self) -> tuple[Refutation, ...]:
        """Return the oldest refutations by this entry to be stored."""
        return tuple(self._unreported_refutations)[:MAX_REPORTED_CRASHES]

    @property
    def totals(self) -> dict[str, int]:
        """Return the number of crashes by suspect."""
        return self._evidence.totals

    @property
    def suspect_count(self) -> int:
        """Return the number of suspects."""
        return len(self._evidence)

    def subscribe(self, listener: CrashListener) -> Callable[[], None]:
        """Call ``listener`` for each crash; return how to unsubscribe it."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def record_crash(self, crash: Crash, now_s: float) -> None:
        """Count a crash that this entry has seen."""
        self.record_crashes((crash,), now_s)

    def record_crashes(self, crashes: Sequence[Crash], now_s: float) -> None:
        """Count crashes that this entry has seen, one for each suspect."""
        self._expire(now_s)
        added = []
        for crash in crashes:
            self._ends.record(crash.process, now_s)
            if crash.suspicion in _REFUTED_BY_ONSET and self._answers.is_recent(
                crash.suspect, now_s
            ):
                crash = attrs.evolve(crash, suspicion=Suspicion.ANSWERED)
            if self._add(crash, now_s):
                added.append(crash)
        self._unreported.extend(added)
        # Without a limit, they would grow for as long as the store is unavailable.
        del self._unreported[:-MAX_UNREPORTED]
        self._unsent_crashes.extend(added)
        self._notify_listeners(added, now_s)

    def _notify_listeners(self, added: Sequence[Crash], now_s: float) -> None:
        if not self._listeners:
            return
        most_suspected = heapq.nlargest(
            MAX_LOGGED_SUSPECTS,
            added,
            key=lambda crash: len(self._evidence.known_at_s(crash.suspect)),
        )
        # Suspects with the same history have the same number of explanations.
        explanation_counts: dict[CrashHistory, int] = {}
        for crash in most_suspected:
            history = self._evidence.history(crash.suspect)
            # Evicted meanwhile if there are too many.
            if history is None:
                continue
            if history not in explanation_counts:
                explanations = self._evidence.explanations(crash.suspect, now_s)
                explanation_counts[history] = len(explanations)
            for listener in self._listeners:
                listener(crash, len(history.crashes), explanation_counts[history])

    def add_reported(
        self,
        crashes: Iterable[Crash],
        refutations: Iterable[Refutation],
        now_s: float,
        *,
        is_stored: bool = True,
        is_recent: bool = True,
    ) -> None:
        """Apply what an entry has stored, or sent before it is stored.

        ``is_recent`` is whether the processes have ended just now.
        """
        self._expire(now_s)
        for refutation in refutations:
            self._evidence.refute(refutation, now_s)
            if not is_stored:
                continue
            self._own_refutations.get(refutation.suspect, set()).discard(refutation)
            self._unreported_refutations.pop(refutation, None)
        crashes = tuple(crashes)
        if not is_recent:
            self._ends.record_together((crash.process for crash in crashes), now_s)
        for crash in crashes:
            self._ends.record(crash.process, now_s)
            self._add(crash, now_s)

    def take_unsent(self) -> CrashesReported:
        """Return what to send to the other entries, and forget it.

        They learn of it sooner than from the store, and while that is
        unavailable.
        """
        report = CrashesReported(
            crashes=tuple(self._unsent_crashes),
            refutations=tuple(self._unsent_refutations),
        )
        self._unsent_crashes, self._unsent_refutations = [], []
        return report

    def mark_reported(
        self, crashes: Iterable[Crash], refutations: Iterable[Refutation]
    ) -> None:
        """Record that these are stored."""
        stored = set(crashes)
        # They were the oldest ones.
        count = len(stored)
        self._unreported[:count] = [
            crash for crash in self._unreported[:count] if crash not in stored
        ]
        for refutation in refutations:
            self._unreported_refutations.pop(refutation, None)

    def record_outlasted_onset(self, suspects: Set[str], now_s: float) -> None:
        """Record that an answer has been arriving longer than a crash takes."""
        self._refute(suspects, _REFUTED_BY_ONSET, now_s, is_complete=False)

    def record_completed(self, suspects: Set[str], now_s: float) -> None:
        """Record that a request with these suspects got its complete answer."""
        self._refute(suspects, frozenset(Suspicion), now_s, is_complete=True)

    def crashes(self, suspect: str, now_s: float) -> int:
        """Return how many processes the suspect may have crashed."""
        self._expire(now_s)
        return len(self._evidence.known_at_s(suspect))

    def decide(self, suspects: Set[str], now_s: float) -> Decision:
        """Decide whether a request may be sent now.

        A crash counts against a request only when other entries' reports of it
        have arrived, which may name another cause. Until then a request that
        may be the cause of several waits.
        """
        self._expire(now_s)
        settled_s = now_s - CRASH_REPORT_SPREAD_S
        wait_s = 0.0
        for group in self._groups(suspects, now_s):
            suspect = group.first
            weight = self._weighing.weigh(suspect, now_s, now_s)
            if not weight.is_enough:
                continue
            trial_in_s = _next_trial_s(weight) - now_s
            if (
                trial_in_s > 0.0
                and self._weighing.weigh(suspect, settled_s, now_s).is_enough
                and self._is_cause(suspect, suspects, settled_s)
            ):
                return Decision(is_blocked=True, retry_after_s=trial_in_s)
            if weight.last_s > settled_s and (
                self._open_crashes(suspect)
                or self._evidence.explanations(suspect, now_s) <= suspects
            ):
                wait_s = max(wait_s, weight.last_s - settled_s, _MIN_WAIT_S)
        return Decision(wait_s=wait_s)

    def exclusive_suspects(self, suspects: Set[str], now_s: float) -> frozenset[str]:
        """Return the suspects that run at one upstream at a time.

        This is a suspected request. Parts of prompts are included only if they
        are tried after a block, since other requests share them.
        """
        return self._exclusive(self._groups(suspects, now_s), suspects, now_s)

    def isolation(self, suspects: Set[str], now_s: float) -> Isolation:
        """Return how far a request with these suspects is kept apart."""
        groups = self._groups(suspects, now_s)
        exclusive = self._exclusive(groups, suspects, now_s)
        if any(map(is_prompt_part, exclusive)):
            return Isolation.REQUIRED
        levels = [self._isolation(group.first, now_s) for group in groups]
        return max(levels, default=Isolation.NONE)

    def protects_last_upstream(self, now_s: float) -> bool:
        """Return whether suspects must not use a service's only live upstream."""
        return self._weighing.has_repeated_crashes(now_s)

    def open_crashes(self, suspects: Set[str]) -> int:
        """Return how many crashes one of them may have caused, at most.

        Crashes of suspects that were answered lately do not count.
        """
        return max(map(self._open_crashes, suspects), default=0)

    def is_open_suspect(self, suspects: Set[str]) -> bool:
        """Return whether one may have caused a crash, and was not answered."""
        return any(self._open_crashes(suspect) for suspect in suspects)

    def is_repeat_suspect(self, suspects: Set[str]) -> bool:
        """Return whether this holds for ``MAX_CRASHES`` crashes of one suspect."""
        return any(self._open_crashes(suspect) >= MAX_CRASHES for suspect in suspects)

    def _groups(self, suspects: Set[str], now_s: float) -> list[_SuspectGroup]:
        """Return the suspects that have crashes, those with equal ones together."""
        groups: list[_SuspectGroup] = []
        if not len(self._evidence):
            return groups
        for members in self._evidence.group(suspects).values():
            answered = self._answers.known(members)
            by_kind: dict[Hashable, list[str]] = {}
            for suspect in answered:
                level = self._weighing.answer_level(suspect, now_s)
                key = level, is_prompt_part(suspect)
                by_kind.setdefault(key, []).append(suspect)
            if answered:
                members = [suspect for suspect in members if suspect not in answered]
            requests = list(itertools.filterfalse(is_prompt_part, members))
            parts = [suspect for suspect in members if suspect not in requests]
            kinds = *by_kind.values(), parts, requests
            groups += map(_SuspectGroup, filter(None, kinds))
        return groups

    def _exclusive(
        self, groups: Iterable[_SuspectGroup], suspects: Set[str], now_s: float
    ) -> frozenset[str]:
        return frozenset(
            suspect
            for group in groups
            if (
                self._is_on_trial(group.first, suspects, now_s)
                if is_prompt_part(group.first)
                else self._open_crashes(group.first)
            )
            for suspect in group.suspects
        )

    def _is_cause(self, suspect: str, suspects: Set[str], until_s: float) -> bool:
        """Return whether nothing but ``suspects`` explains the crashes as well.

        No other suspect may explain all of them. Nor may different requests that
        have crashed other upstreams explain one each, if the suspect is a
        request: it is sent once more, alone.
        """
        if not self._evidence.explanations(suspect, until_s) <= suspects:
            return False
        return is_prompt_part(suspect) or any(
            not any(self.is_repeat_suspect({rival}) for rival in rivals - suspects)
            for rivals in self._evidence.rivals(suspect, until_s)
        )

    def _isolation(self, suspect: str, now_s: float) -> Isolation:
        open_crashes = self._open_crashes(suspect)
        if not open_crashes:
            return Isolation.NONE
        weight = self._weighing.weigh(suspect, now_s, now_s)
        # A request that is sent again at once may be at two upstreams that end
        # together; one of more than two came in several copies.
        is_repeated = not is_prompt_part(suspect) and (
            weight.crashes >= MAX_CRASHES or open_crashes > MAX_CRASHES
        )
        return _ISOLATIONS[is_repeated, weight.has_outside_end]

    def _is_on_trial(self, suspect: str, suspects: Set[str], now_s: float) -> bool:
        """Return whether the time of a suspect's block has passed."""
        weight = self._weighing.weigh(suspect, now_s, now_s)
        return (
            weight.is_enough
            and now_s >= _next_trial_s(weight)
            and self._is_cause(suspect, suspects, now_s)
        )

    def _expire(self, now_s: float) -> None:
        self._evidence.expire(now_s)
        self._ends.expire(now_s)

    def _open_crashes(self, suspect: str) -> int:
        history = self._evidence.history(suspect)
        return history.open_crashes if history else 0

    def _add(self, crash: Crash, now_s: float) -> bool:
        if not self._evidence.add(crash, now_s):
            return False
        self._share_refutations(crash.suspect)
        return True

    def _refute(
        self,
        suspects: Set[str],
        suspicions: Set[Suspicion],
        now_s: float,
        *,
        is_complete: bool,
    ) -> None:
        """Refute the crashes of answered ``suspects`` with these suspicions."""
        # The answers to a request with thousands of parts must not evict all others.
        is_large = len(suspects) > MAX_PROMPT_PARTS
        for suspect in suspects:
            is_suspected = self._evidence.history(suspect) is not None
            if not is_large or is_suspected or suspect in self._answers:
                self._answers.record(suspect, now_s, is_complete=is_complete)
            for process in self._evidence.processes(suspect, suspicions):
                refutation = Refutation(suspect, process)
                self._evidence.refute(refutation, now_s)
                self._own_refutations.setdefault(suspect, set()).add(refutation)
            self._share_refutations(suspect)
        while len(self._own_refutations) > MAX_SUSPECTS:
            del self._own_refutations[next(iter(self._own_refutations))]
        while len(self._unreported_refutations) > MAX_UNREPORTED:
            del self._unreported_refutations[next(iter(self._unreported_refutations))]

    def _share_refutations(self, suspect: str) -> None:
        """Store this entry's refutations if another entry may block a request.

        It may if it counts ``MAX_CRASHES`` without them.
        """
        own = self._own_refutations.get(suspect, set())
        if len(self._evidence.known_at_s(suspect)) + len(own) < MAX_CRASHES:
            return
        for refutation in sorted(own, key=lambda refutation: refutation.process):
            self._unreported_refutations[refutation] = None
            self._unsent_refutations.append(refutation)
        self._own_refutations.pop(suspect, None)


def _next_trial_s(weight: CrashWeight) -> float:
    """Return when a blocked suspect may be tried again, in seconds."""
    failed_trials = weight.crashes - weight.required
    return weight.last_s + QUARANTINE_S * QUARANTINE_GROWTH**failed_trials
