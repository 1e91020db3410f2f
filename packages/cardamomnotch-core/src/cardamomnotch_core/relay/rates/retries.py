"""Budget for retries of requests on further upstreams."""

from collections import deque

import attrs

from .const import RETRY_BUDGET_FRACTION


@attrs.define
class _Window:
    request_times_s: deque[float] = attrs.field(factory=deque)
    retry_times_s: deque[float] = attrs.field(factory=deque)


@attrs.frozen(kw_only=True)
class BudgetUse:
    """Retries of a service within the window at this entry."""

    used: int
    # Retries that the entry may send within the window.
    allowed: float

    @property
    def share(self) -> float:
        """Return the used share of what is allowed; 0 if no retries ever are."""
        return self.used / self.allowed if self.allowed > 0 else 0.0


class RetryBudget:
    """Limits the retries of each service within a sliding window.

    The limit across all entries is ``ratio`` times the requests plus ``slack``
    in any ``window_s`` seconds. Each entry applies the ratio to its own
    requests and uses an equal part of the slack, so the total stays within
    the limit without communication between entries.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.set_limit(ratio, slack, window_s)
        self._entries = 1
        self._windows: dict[str, _Window] = {}

    def set_limit(self, ratio: float, slack: float, window_s: float) -> None:
        """Set the limit that applies across all entries."""
        self._ratio = ratio * RETRY_BUDGET_FRACTION
        self._slack = slack * RETRY_BUDGET_FRACTION
        self._window_s = window_s

    def set_entries(self, count: int) -> None:
        """Set the number of entries, including this one."""
        self._entries = max(1, count)

    def record_request(self, service: str, now_s: float) -> None:
        """Count a request's first attempt."""
        self._window(service, now_s).request_times_s.append(now_s)

    def use(
        self, service: str, now_s: float, *, may_use_slack: bool = True
    ) -> BudgetUse:
        """Return what is used and allowed now, without counting anything.

        An entry that the others may no longer count leaves the slack to them.
        """
        window = self._window(service, now_s)
        allowed = self._ratio * len(window.request_times_s)
        if may_use_slack:
            allowed += self._slack / self._entries
        return BudgetUse(used=len(window.retry_times_s), allowed=allowed)

    def try_spend(
        self,
        service: str,
        now_s: float,
        *,
        may_use_slack: bool = True,
        reserved_share: float = 0.0,
    ) -> bool:
        """Count a retry if the budget allows it, and return whether it does.

        Leaves ``reserved_share`` of what is allowed to others. An entry that the
        others may no longer count leaves the slack to them.
        """
        use = self.use(service, now_s, may_use_slack=may_use_slack)
        if use.used + 1 > use.allowed * (1 - reserved_share):
            return False
        self._windows[service].retry_times_s.append(now_s)
        return True

    def _window(self, service: str, now_s: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        oldest = now_s - self._window_s
        for times in (window.request_times_s, window.retry_times_s):
            while times and times[0] < oldest:
                times.popleft()
        return window
