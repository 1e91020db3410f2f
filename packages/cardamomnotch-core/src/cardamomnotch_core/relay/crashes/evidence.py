"""Crashes of upstreams, and the suspects that may have caused each of them."""

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence, Set
from typing import TypeVar
from weakref import WeakValueDictionary

import attrs

from .const import (
    CRASH_RETENTION_S,
    MAX_EXPIRED_AT_ONCE,
    MAX_REFUTATIONS,
    MAX_SUSPECTS,
)
from .detection import OPEN_SUSPICIONS, Crash, Suspicion

_Key = TypeVar("_Key")


@attrs.frozen
class Refutation:
    """Evidence that ``suspect`` did not cause the crash of ``process``."""

    suspect: str
    process: str


@attrs.frozen
class _Crash:
    """A crash that a suspect may have caused."""

    suspicion: Suspicion
    # When it became known, in seconds.
    known_at_s: float
    # Whether the request was sent after the first end of the same moment.
    is_subsequent: bool


# Compared by identity: equal histories are one object.
@attrs.frozen(eq=False)
class CrashHistory:
    """The crashes that some suspects may have caused, the same for each of them.

    Thousands of parts of one request share a history, so whatever depends on it only
    is decided once for all of them.
    """

    crashes: Mapping[str, _Crash]
    # When each crash became known, by process, in seconds.
    times_s: Mapping[str, float] = attrs.field(init=False)
    last_s: float = attrs.field(init=False)
    # How many of the crashes have an open suspicion.
    open_crashes: int = attrs.field(init=False)

    @times_s.default
    def _times_s(self) -> Mapping[str, float]:
        return {process: crash.known_at_s for process, crash in self.crashes.items()}

    @last_s.default
    def _last_s(self) -> float:
        return max(self.times_s.values())

    @open_crashes.default
    def _open_crashes(self) -> int:
        return sum(
            crash.suspicion in OPEN_SUSPICIONS for crash in self.crashes.values()
        )


class CrashEvidence:
    """Keeps which crashes each suspect may have caused.

    A crash that several entries have seen counts once. What has been refuted
    does not count, also if it is reported again.
    """

    def __init__(self) -> None:
        # History of each suspect, in the order of the last crashes: of those with one
        # crash, and of those with several.
        self._single: dict[str, CrashHistory] = {}
        self._repeated: dict[str, CrashHistory] = {}
        self._histories: WeakValueDictionary[
            frozenset[tuple[str, _Crash]], CrashHistory
        ] = WeakValueDictionary()
        # Suspicion by process and suspect, and how many of each process are open.
        self._suspects: dict[str, dict[str, Suspicion]] = {}
        self._open_counts: Counter[str] = Counter()
        # In the order of the refutations' times.
        self._refuted_at_s: dict[Refutation, float] = {}

    def __len__(self) -> int:
        return len(self._single) + len(self._repeated)

    @property
    def totals(self) -> dict[str, int]:
        """Return the number of crashes by suspect."""
        return {
            suspect: len(history.crashes)
            for histories in (self._repeated, self._single)
            for suspect, history in histories.items()
        }

    def history(self, suspect: str) -> CrashHistory | None:
        """Return the crashes of ``suspect``; None if it has none."""
        return self._repeated.get(suspect) or self._single.get(suspect)

    def group(self, suspects: Set[str]) -> dict[CrashHistory, list[str]]:
        """Return those of the suspects that have crashes, by their history."""
        groups: dict[CrashHistory, list[str]] = {}
        for suspect, history in zip(
            suspects, map(self._single.get, suspects), strict=True
        ):
            if history is None:
                history = self._repeated.get(suspect)
                if history is None:
                    continue
            members = groups.get(history)
            if members is None:
                groups[history] = [suspect]
            else:
                members.append(suspect)
        return groups

    def known_at_s(self, suspect: str) -> Mapping[str, float]:
        """Return when each crash of ``suspect`` became known, by process."""
        history = self.history(suspect)
        return history.times_s if history else {}

    def simultaneous_crashes(self, suspect: str, processes: Iterable[str]) -> int:
        """Return how many crashes of one moment did not follow another one.

        A crash follows another one if its request was sent afterwards.
        """
        crashes = self.history(suspect).crashes
        return sum(not crashes[process].is_subsequent for process in set(processes))

    def has_open_suspect(self, process: str) -> bool:
        """Return whether a suspect of a process's crash has an open suspicion."""
        return self._open_counts[process] > 0

    def processes(self, suspect: str, suspicions: Set[Suspicion]) -> list[str]:
        """Return the crashed processes with one of these suspicions."""
        history = self.history(suspect)
        if history is None:
            return []
        return [
            process
            for process, crash in history.crashes.items()
            if crash.suspicion in suspicions
        ]

    def add(self, crash: Crash, now_s: float) -> bool:
        """Add a crash; return False if it adds nothing to what is known."""
        suspect, process = crash.suspect, crash.process
        if Refutation(suspect, process) in self._refuted_at_s:
            return False
        history = self.history(suspect)
        crashes = history.crashes if history else {}
        known = crashes.get(process)
        is_new = known is None or known.suspicion < crash.suspicion
        added = _Crash(
            suspicion=crash.suspicion if is_new else known.suspicion,
            known_at_s=now_s if known is None else known.known_at_s,
            is_subsequent=crash.is_subsequent
            and (known is None or known.is_subsequent),
        )
        if added == known:
            return False
        # The last one is the one with the latest crash.
        self._set_history(suspect, {**crashes, process: added}, is_latest=known is None)
        self._set_suspicion(process, suspect, added.suspicion)
        if len(self) > MAX_SUSPECTS:
            self._forget(next(iter(self._single or self._repeated)))
        return is_new

    def refute(self, refutation: Refutation, now_s: float) -> None:
        """Remove a crash of a suspect, and ignore further reports of it."""
        self._refuted_at_s.setdefault(refutation, now_s)
        if len(self._refuted_at_s) > MAX_REFUTATIONS:
            del self._refuted_at_s[next(iter(self._refuted_at_s))]
        suspect, process = refutation.suspect, refutation.process
        history = self.history(suspect)
        if history is None or process not in history.crashes:
            return
        crashes = dict(history.crashes)
        del crashes[process]
        self._set_suspicion(process, suspect, None)
        self._set_history(suspect, crashes)

    def explanations(self, suspect: str, until_s: float) -> Set[str]:
        """Return the suspects that explain the crashes of ``suspect`` as well.

        Each is at least as suspect in all of its crashes that were known at
        ``until_s``; ``suspect`` is one of them. There must be such a crash.
        """
        return set.intersection(*self.rivals(suspect, until_s)) | {suspect}

    def rivals(self, suspect: str, until_s: float) -> list[Set[str]]:
        """Return, for each crash of ``suspect``, those that explain it as well.

        Only crashes that were known at ``until_s`` are regarded.
        """
        return [
            {
                other
                for other, other_suspicion in self._suspects[process].items()
                if other_suspicion >= _least_rival(crash.suspicion) and other != suspect
            }
            for process, crash in self.history(suspect).crashes.items()
            if crash.known_at_s <= until_s
        ]

    def expire(self, now_s: float) -> None:
        """Forget suspects and refutations after ``CRASH_RETENTION_S``.

        Of many at one moment a part is forgotten by each call.
        """
        oldest_s = now_s - CRASH_RETENTION_S
        for histories in (self._single, self._repeated):
            times_s = ((key, history.last_s) for key, history in histories.items())
            for suspect in _take_until(times_s, oldest_s):
                self._forget(suspect)
        for refutation in _take_until(self._refuted_at_s.items(), oldest_s):
            del self._refuted_at_s[refutation]

    def _set_history(
        self, suspect: str, crashes: Mapping[str, _Crash], *, is_latest: bool = False
    ) -> None:
        """Set the crashes of a suspect, and its place by the last of them."""
        target, other = self._single, self._repeated
        if len(crashes) > 1:
            target, other = other, target
        other.pop(suspect, None)
        if is_latest or not crashes:
            target.pop(suspect, None)
        if not crashes:
            return
        key = frozenset(crashes.items())
        history = self._histories.get(key)
        if history is None:
            history = self._histories[key] = CrashHistory(crashes)
        target[suspect] = history

    def _set_suspicion(
        self, process: str, suspect: str, suspicion: Suspicion | None
    ) -> None:
        """Set how suspect one is of a process's crash; None if it is not."""
        suspects = self._suspects.setdefault(process, {})
        previous = suspects.pop(suspect, None)
        if suspicion is not None:
            suspects[suspect] = suspicion
        self._open_counts[process] += (suspicion in OPEN_SUSPICIONS) - (
            previous in OPEN_SUSPICIONS
        )
        if not suspects:
            del self._suspects[process], self._open_counts[process]

    def _forget(self, suspect: str) -> None:
        for process in self.history(suspect).crashes:
            self._set_suspicion(process, suspect, None)
        self._single.pop(suspect, None)
        self._repeated.pop(suspect, None)


def _take_until(
    times_s: Iterable[tuple[_Key, float]], until_s: float
) -> Sequence[_Key]:
    """Return the first keys with a time up to ``until_s``, as many as are removed."""
    taken = []
    for key, time_s in times_s:
        if time_s > until_s or len(taken) >= MAX_EXPIRED_AT_ONCE:
            break
        taken.append(key)
    return taken


def _least_rival(suspicion: Suspicion) -> Suspicion:
    """Return how suspect others must be to explain a crash as well.

    A part whose stream went on for a while is not the cause rather than one
    that was answered lately: both are in most requests at any crash.
    """
    return Suspicion.ANSWERED if suspicion is Suspicion.ANSWERING else suspicion
