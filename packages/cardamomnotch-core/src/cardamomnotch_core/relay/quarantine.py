"""Quarantine of requests that crash upstreams."""

from collections import deque
from collections.abc import Callable, Iterable

import attrs

from .const import (
    CRASH_NOTICE_S,
    CRASH_RETENTION_S,
    MAX_CRASHES,
    MAX_REPORTED_CRASHES,
    MAX_SUSPECTS,
    QUARANTINE_S,
)


@attrs.frozen(kw_only=True)
class Crash:
    """An upstream process that ended while it ran a request."""

    # Fingerprint of the request.
    fingerprint: str
    # Identifies one run of an upstream.
    process: str


# Called with each crash that this entry has seen, and the number of crashes
# counted for its request.
CrashListener = Callable[[Crash, int], None]


class UnansweredAttempts:
    """Attempts that ended without an answer while their upstream seemed alive.

    If the upstream's process ends soon after, it may have crashed with them.
    """

    def __init__(self) -> None:
        # Fingerprint and end time of each attempt, by process and in the order
        # of these times.
        self._attempts: dict[str, deque[tuple[str, float]]] = {}

    def add(self, crash: Crash, now_s: float) -> None:
        """Record that an attempt has ended without an answer."""
        attempts = self._attempts.setdefault(crash.process, deque())
        attempts.append((crash.fingerprint, now_s))
        while attempts[0][1] < now_s - CRASH_NOTICE_S:
            attempts.popleft()

    def take(self, process: str, now_s: float) -> tuple[Crash, ...]:
        """Return what the end of ``process`` is attributed to, and forget it."""
        attempts = self._attempts.pop(process, ())
        return tuple(
            Crash(fingerprint=fingerprint, process=process)
            for fingerprint, ended_at_s in attempts
            if ended_at_s >= now_s - CRASH_NOTICE_S
        )


class CrashCounts:
    """Counts the upstream processes that each request has crashed.

    Knows the crashes that this entry has seen and those that other entries
    have reported in the store. A crash seen by several entries counts once.
    """

    def __init__(self) -> None:
        # Crashed processes by fingerprint, and the time of the last crash; in
        # the order of these times.
        self._processes: dict[str, set[str]] = {}
        self._last_crash_s: dict[str, float] = {}
        self._unreported: list[Crash] = []
        self._listeners: list[CrashListener] = []

    @property
    def unreported(self) -> tuple[Crash, ...]:
        """Return the oldest crashes seen by this entry that are not stored yet."""
        return tuple(self._unreported[:MAX_REPORTED_CRASHES])

    @property
    def totals(self) -> dict[str, int]:
        """Return the number of crashes by fingerprint."""
        return {
            fingerprint: len(processes)
            for fingerprint, processes in self._processes.items()
        }

    def record_crash(self, crash: Crash, now_s: float) -> None:
        """Count a crash that this entry has seen."""
        if not self._add(crash, now_s):
            return
        self._unreported.append(crash)
        for listener in self._listeners:
            listener(crash, len(self._processes[crash.fingerprint]))

    def subscribe(self, listener: CrashListener) -> Callable[[], None]:
        """Call ``listener`` for each crash; return how to unsubscribe it."""
        self._listeners.append(listener)
        return lambda: self._listeners.remove(listener)

    def add_reported(self, crashes: Iterable[Crash], now_s: float) -> None:
        """Count crashes that an entry has stored."""
        for crash in crashes:
            self._add(crash, now_s)

    def mark_reported(self, crashes: Iterable[Crash]) -> None:
        """Record that ``crashes`` are stored."""
        stored = set(crashes)
        self._unreported = [crash for crash in self._unreported if crash not in stored]

    def clear(self, fingerprint: str) -> None:
        """Forget a request's crashes, because one of its runs completed."""
        if fingerprint in self._processes:
            self._forget(fingerprint)

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether the request must be refused."""
        further_crashes = self.crashes(fingerprint, now_s) - MAX_CRASHES
        if further_crashes < 0:
            return False
        quarantine_s = QUARANTINE_S * 2**further_crashes
        return now_s < self._last_crash_s[fingerprint] + quarantine_s

    def crashes(self, fingerprint: str, now_s: float) -> int:
        """Return how many upstream processes the request has crashed."""
        self._expire(now_s)
        return len(self._processes.get(fingerprint, ()))

    def _add(self, crash: Crash, now_s: float) -> bool:
        """Add a crash; return False if it is known."""
        self._expire(now_s)
        processes = self._processes.setdefault(crash.fingerprint, set())
        if crash.process in processes:
            return False
        processes.add(crash.process)
        self._last_crash_s.pop(crash.fingerprint, None)
        self._last_crash_s[crash.fingerprint] = now_s
        if len(self._last_crash_s) > MAX_SUSPECTS:
            self._forget(next(iter(self._last_crash_s)))
        return True

    def _expire(self, now_s: float) -> None:
        while self._last_crash_s:
            fingerprint, last_crash_s = next(iter(self._last_crash_s.items()))
            if now_s < last_crash_s + CRASH_RETENTION_S:
                return
            self._forget(fingerprint)

    def _forget(self, fingerprint: str) -> None:
        del self._last_crash_s[fingerprint]
        del self._processes[fingerprint]
