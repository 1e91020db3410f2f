"""Isolation of requests that may crash their upstream, over all entries."""

from collections.abc import Hashable, Iterable, Sequence, Set
from enum import IntEnum, auto
from itertools import count

import attrs

from ...membership.rendezvous import rendezvous_hash
from .const import CRASH_ONSET_S, ISOLATED_RUN_EXPIRY_S

# Key of the order in which a service's processes are reserved.
_RESERVED = "reserved"


class Isolation(IntEnum):
    """How far a request is kept apart from suspected ones."""

    # Avoids the upstreams of suspected requests.
    NONE = auto()
    # Shares an upstream with other suspected requests if it has to.
    PREFERRED = auto()
    # Is the only suspected request at its upstream, or waits.
    REQUIRED = auto()


@attrs.frozen(kw_only=True)
class RunNotice:
    """A suspected request's run begins or ends, sent to the other entries."""

    # Number of the run, unique within its entry.
    run: int
    # Upstream process; empty if the run has ended.
    process: str = ""
    # Suspects that must not run elsewhere meanwhile.
    suspects: frozenset[str] = frozenset()
    is_alone: bool = False


@attrs.frozen
class _Run:
    process: str
    suspects: frozenset[str]
    is_alone: bool
    began_at_s: float


class RunIsolation:
    """Keeps the runs of suspected requests apart, over all entries.

    Suspected requests use only a part of a service's upstreams, the same at
    all entries, so that a crash leaves the rest to others. A run that has to
    be alone is announced to the other entries before it is sent; of those that
    are announced at the same time one is sent.
    """

    def __init__(self, entry: str) -> None:
        self._entry = entry
        # Runs by entry and number, in the order of their begin.
        self._runs: dict[tuple[str, int], _Run] = {}
        # Numbers of this entry's runs by the key of their attempts.
        self._numbers: dict[Hashable, int] = {}
        self._next_number = count()
        # When their requests can no longer crash the upstream, in order.
        self._outlasted_at_s: dict[Hashable, float] = {}
        self._notices: list[RunNotice] = []

    @property
    def is_idle(self) -> bool:
        """Return whether no suspected request runs."""
        return not self._runs

    @property
    def processes(self) -> Set[str]:
        """Return the processes that a suspected request may crash now."""
        return {run.process for run in self._runs.values()}

    def take_notices(self, now_s: float) -> list[RunNotice]:
        """Return the notices for the other entries, and forget them."""
        self._end_outlasted(now_s)
        notices, self._notices = self._notices, []
        return notices

    def select(
        self,
        processes: Sequence[str],
        isolation: Isolation,
        suspects: Set[str],
        now_s: float,
        *,
        may_use_last: bool = True,
    ) -> list[str]:
        """Return the ``processes`` that a request may be sent to.

        These are the live ones of a service. The result is empty if the request
        has to wait. ``suspects`` are those of the request that must not run
        elsewhere meanwhile. ``may_use_last`` is whether a suspected request may
        use the only process that is left.
        """
        self._end_outlasted(now_s)
        self._expire(now_s)
        used = self.processes
        if isolation is Isolation.NONE:
            unused = [process for process in processes if process not in used]
            return unused if len(unused) >= reserved(processes) else list(processes)
        if any(run.suspects & suspects for run in self._runs.values()):
            return []
        usable = set(_usable(processes))
        if len(processes) == 1 and not may_use_last:
            return []
        alone = {run.process for run in self._runs.values() if run.is_alone}
        selected = usable - used
        if not selected and isolation is Isolation.PREFERRED:
            selected = usable - alone
        return [process for process in processes if process in selected]

    def begin(
        self,
        key: Hashable,
        process: str,
        suspects: Set[str],
        now_s: float,
        *,
        is_alone: bool = False,
    ) -> None:
        """Record and announce this entry's run; ``key`` identifies it."""
        number = next(self._next_number)
        self._numbers[key] = number
        run = _Run(process, frozenset(suspects), is_alone, now_s)
        self._runs[self._entry, number] = run
        self._notices.append(
            RunNotice(
                run=number, process=process, suspects=run.suspects, is_alone=is_alone
            )
        )

    def is_begun(self, key: Hashable) -> bool:
        """Return whether the run was announced and has not ended."""
        return key in self._numbers

    def may_run(self, key: Hashable) -> bool:
        """Return whether an announced run may be sent.

        It may not if another entry has announced one at the same time that
        precedes it, with one of its suspects or, if it has to be alone, at its
        process.
        """
        if key not in self._numbers:
            return False
        own = self._entry, self._numbers[key]
        run = self._runs[own]
        return not any(
            _conflict(run, other) and _precedes(other, name, run, own)
            for name, other in self._runs.items()
            if name != own
        )

    def record_first_byte(self, key: Hashable, now_s: float) -> None:
        """Record that the run's answer has begun: it will end after the onset."""
        if key in self._numbers:
            self._outlasted_at_s[key] = now_s + CRASH_ONSET_S

    def end(self, key: Hashable) -> None:
        """Record that the run has ended; no effect if it was not begun."""
        self._outlasted_at_s.pop(key, None)
        number = self._numbers.pop(key, None)
        if number is None:
            return
        self._runs.pop((self._entry, number), None)
        self._notices.append(RunNotice(run=number))

    def apply(self, entry: str, notices: Iterable[RunNotice], now_s: float) -> None:
        """Record the runs of another entry."""
        for notice in notices:
            name = entry, notice.run
            if notice.process:
                self._runs[name] = _Run(
                    notice.process, notice.suspects, notice.is_alone, now_s
                )
            else:
                self._runs.pop(name, None)

    def forget_entry(self, entry: str) -> None:
        """Forget the runs of an entry that is gone."""
        for name in [name for name in self._runs if name[0] == entry]:
            del self._runs[name]

    def _end_outlasted(self, now_s: float) -> None:
        """End the runs whose answers have outlasted their onset."""
        while self._outlasted_at_s:
            key, outlasted_at_s = next(iter(self._outlasted_at_s.items()))
            if outlasted_at_s > now_s:
                return
            self.end(key)

    def _expire(self, now_s: float) -> None:
        """Forget other entries' runs whose end was not received."""
        for name, run in list(self._runs.items()):
            if run.began_at_s > now_s - ISOLATED_RUN_EXPIRY_S:
                return
            if name[0] != self._entry:
                del self._runs[name]


def reserved(processes: Sequence[str]) -> int:
    """Return how many of a service's live processes suspects leave to others."""
    return max(1, len(processes) // 2)


def _usable(processes: Sequence[str]) -> Sequence[str]:
    """Return the processes for suspected requests, the same at all entries."""
    if len(processes) == 1:
        return processes
    in_order = sorted(processes, key=lambda name: rendezvous_hash(name, _RESERVED))
    return in_order[reserved(processes) :]


def _conflict(run: _Run, other: _Run) -> bool:
    if run.suspects & other.suspects:
        return True
    return run.is_alone and run.process == other.process


def _precedes(
    run: _Run, name: tuple[str, int], other: _Run, other_name: tuple[str, int]
) -> bool:
    """Return whether ``run`` goes first of two that were announced together."""
    if run.is_alone is not other.is_alone:
        return other.is_alone
    return _rank(name) < _rank(other_name)


def _rank(name: tuple[str, int]) -> int:
    entry, number = name
    return rendezvous_hash(entry, str(number))
