"""Crashes of upstreams, and the suspects that may have caused each of them."""

from collections.abc import Iterable, Mapping, Set

import attrs

from .const import CRASH_RETENTION_S, MAX_SUSPECTS
from .detection import Crash, Suspicion


@attrs.frozen
class Refutation:
    """Evidence that ``suspect`` did not cause the crash of ``process``."""

    suspect: str
    process: str


@attrs.define
class _Record:
    """The crashes that one suspect may have caused, by process."""

    suspicions: dict[str, Suspicion] = attrs.field(factory=dict)
    # When each crash became known, in seconds.
    times_s: dict[str, float] = attrs.field(factory=dict)
    # The processes to which requests were sent after the first end of the same
    # moment only.
    subsequent: set[str] = attrs.field(factory=set)


class CrashEvidence:
    """Keeps which crashes each suspect may have caused.

    A crash that several entries have seen counts once. What has been refuted
    does not count, also if it is reported again.
    """

    def __init__(self) -> None:
        # In the order of the suspects' last crashes.
        self._records: dict[str, _Record] = {}
        # Suspicion by process and suspect.
        self._suspects: dict[str, dict[str, Suspicion]] = {}
        # In the order of the refutations' times.
        self._refuted_at_s: dict[Refutation, float] = {}

    @property
    def totals(self) -> dict[str, int]:
        """Return the number of crashes by suspect."""
        return {
            suspect: len(record.times_s) for suspect, record in self._records.items()
        }

    def known_at_s(self, suspect: str) -> Mapping[str, float]:
        """Return when each crash of ``suspect`` became known, by process."""
        record = self._records.get(suspect)
        return record.times_s if record else {}

    def simultaneous_crashes(self, suspect: str, processes: Iterable[str]) -> int:
        """Return how many crashes of one moment did not follow another one.

        A crash follows another one if its request was sent afterwards.
        """
        return len(set(processes) - self._records[suspect].subsequent)

    def suspects(self, process: str, suspicions: Set[Suspicion]) -> list[str]:
        """Return the suspects of a process's crash with one of these suspicions."""
        return [
            suspect
            for suspect, suspicion in self._suspects.get(process, {}).items()
            if suspicion in suspicions
        ]

    def processes(self, suspect: str, suspicions: Set[Suspicion]) -> list[str]:
        """Return the crashed processes with one of these suspicions."""
        record = self._records.get(suspect)
        if record is None:
            return []
        return [
            process
            for process, suspicion in record.suspicions.items()
            if suspicion in suspicions
        ]

    def add(self, crash: Crash, now_s: float) -> bool:
        """Add a crash; return False if it adds nothing to what is known."""
        self.expire(now_s)
        suspect, process = crash.suspect, crash.process
        if Refutation(suspect, process) in self._refuted_at_s:
            return False
        record = self._records.get(suspect, _Record())
        known = record.suspicions.get(process)
        if not crash.is_subsequent:
            record.subsequent.discard(process)
        elif known is None:
            record.subsequent.add(process)
        if known is not None and known >= crash.suspicion:
            return False
        record.suspicions[process] = crash.suspicion
        if known is None:
            record.times_s[process] = now_s
            # The last of the records is the one with the latest crash.
            self._records.pop(suspect, None)
            self._records[suspect] = record
        self._suspects.setdefault(process, {})[suspect] = crash.suspicion
        if len(self._records) > MAX_SUSPECTS:
            self._forget(next(iter(self._records)))
        return True

    def refute(self, refutation: Refutation, now_s: float) -> None:
        """Remove a crash of a suspect, and ignore further reports of it."""
        self._refuted_at_s.setdefault(refutation, now_s)
        record = self._records.get(refutation.suspect)
        if record is None or refutation.process not in record.times_s:
            return
        del record.suspicions[refutation.process], record.times_s[refutation.process]
        record.subsequent.discard(refutation.process)
        self._remove_suspect(refutation.process, refutation.suspect)
        if not record.times_s:
            del self._records[refutation.suspect]

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
        record = self._records[suspect]
        return [
            {
                other
                for other, other_suspicion in self._suspects[process].items()
                if other_suspicion >= _least_rival(suspicion) and other != suspect
            }
            for process, suspicion in record.suspicions.items()
            if record.times_s[process] <= until_s
        ]

    def expire(self, now_s: float) -> None:
        """Forget suspects and refutations after ``CRASH_RETENTION_S``."""
        oldest_s = now_s - CRASH_RETENTION_S
        while self._records:
            suspect, record = next(iter(self._records.items()))
            if max(record.times_s.values()) > oldest_s:
                break
            self._forget(suspect)
        while self._refuted_at_s:
            refutation, refuted_at_s = next(iter(self._refuted_at_s.items()))
            if refuted_at_s > oldest_s:
                break
            del self._refuted_at_s[refutation]

    def _forget(self, suspect: str) -> None:
        for process in self._records.pop(suspect).times_s:
            self._remove_suspect(process, suspect)

    def _remove_suspect(self, process: str, suspect: str) -> None:
        suspects = self._suspects[process]
        del suspects[suspect]
        if not suspects:
            del self._suspects[process]


def _least_rival(suspicion: Suspicion) -> Suspicion:
    """Return how suspect others must be to explain a crash as well.

    A part whose stream went on for a while is not the cause rather than one
    that was answered lately: both are in most requests at any crash.
    """
    return Suspicion.ANSWERED if suspicion is Suspicion.ANSWERING else suspicion
