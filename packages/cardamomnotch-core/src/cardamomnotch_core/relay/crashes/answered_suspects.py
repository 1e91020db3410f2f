"""How often requests with a suspect were answered lately."""

import math
from collections import OrderedDict
from collections.abc import Iterable, Set

import attrs

from .const import ANSWER_RETENTION_S, MAX_ANSWERED_SUSPECTS


@attrs.define
class _Answers:
    # Exponentially decayed number of answers, at the time of the last one.
    count: float
    last_s: float

    def decayed(self, now_s: float) -> float:
        return self.count * math.exp((self.last_s - now_s) / ANSWER_RETENTION_S)


class AnsweredSuspects:
    """Counts this entry's answered requests by suspect."""

    def __init__(self) -> None:
        # In the order of the last answers.
        self._answers: OrderedDict[str, _Answers] = OrderedDict()

    def __contains__(self, suspect: str) -> bool:
        return suspect in self._answers

    def known(self, suspects: Iterable[str]) -> Set[str]:
        """Return those of the suspects that were answered lately."""
        return self._answers.keys() & suspects

    def record(self, suspect: str, now_s: float, *, is_complete: bool) -> None:
        """Record an answer to a request with ``suspect``, and count it if complete."""
        answers = self._answers.setdefault(suspect, _Answers(0.0, now_s))
        answers.count = answers.decayed(now_s) + float(is_complete)
        answers.last_s = now_s
        self._answers.move_to_end(suspect)
        if len(self._answers) > MAX_ANSWERED_SUSPECTS:
            self._answers.popitem(last=False)

    def is_recent(self, suspect: str, now_s: float) -> bool:
        """Return whether an answer was recorded within ``ANSWER_RETENTION_S``."""
        answers = self._answers.get(suspect)
        return answers is not None and now_s - answers.last_s < ANSWER_RETENTION_S

    def count(self, suspect: str, now_s: float) -> float:
        """Return about how many were completely answered lately."""
        answers = self._answers.get(suspect)
        return answers.decayed(now_s) if answers is not None else 0.0
