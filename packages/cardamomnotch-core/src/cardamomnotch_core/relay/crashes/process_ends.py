"""Ends of upstream processes, grouped by the moment at which they happened."""

import bisect
from collections.abc import Iterable, Sequence

import attrs

from .const import CRASH_RETENTION_S, END_MOMENT_S


# Compared by identity: a moment stays the same while processes are added.
@attrs.define(eq=False)
class EndMoment:
    """Processes that ended at about the same time, possibly for one reason."""

    began_at_s: float
    processes: list[str] = attrs.field(factory=list)


class ProcessEnds:
    """Keeps when processes ended, other than after draining.

    Processes that end within ``END_MOMENT_S`` belong to one moment.
    """

    def __init__(self) -> None:
        # In the order of their begin.
        self._moments: list[EndMoment] = []
        self._moment_by_process: dict[str, EndMoment] = {}

    def record(self, process: str, ended_at_s: float) -> None:
        """Record the end of a process; only the first report of it counts."""
        if process in self._moment_by_process:
            return
        nearby = self.between(ended_at_s - END_MOMENT_S, ended_at_s)
        moment = nearby[0] if nearby else self._add_moment(ended_at_s)
        self._add_process(process, moment)

    def record_together(self, processes: Iterable[str], known_at_s: float) -> None:
        """Record ends that were reported together, at a time that is not known.

        They belong to one moment, and to no other one of ``known_at_s``.
        """
        moment: EndMoment | None = None
        unknown = []
        for process in processes:
            known = self._moment_by_process.get(process)
            moment = moment or known
            if known is None:
                unknown.append(process)
        if not unknown:
            return
        if moment is None:
            moment = self._add_moment(known_at_s)
        for process in unknown:
            self._add_process(process, moment)

    def moment(self, process: str) -> EndMoment | None:
        """Return the moment of a process's end; None if it is not known."""
        return self._moment_by_process.get(process)

    def between(self, first_s: float, last_s: float) -> Sequence[EndMoment]:
        """Return the moments that began in a time span, in order."""
        first = bisect.bisect_left(self._moments, first_s, key=_begin)
        last = bisect.bisect_right(self._moments, last_s, key=_begin)
        return self._moments[first:last]

    def expire(self, now_s: float) -> None:
        """Forget the moments before ``CRASH_RETENTION_S``."""
        oldest_s = now_s - CRASH_RETENTION_S
        while self._moments and self._moments[0].began_at_s < oldest_s:
            for process in self._moments.pop(0).processes:
                del self._moment_by_process[process]

    def _add_moment(self, began_at_s: float) -> EndMoment:
        moment = EndMoment(began_at_s)
        bisect.insort(self._moments, moment, key=_begin)
        return moment

    def _add_process(self, process: str, moment: EndMoment) -> None:
        moment.processes.append(process)
        self._moment_by_process[process] = moment


def _begin(moment: EndMoment) -> float:
    return moment.began_at_s
