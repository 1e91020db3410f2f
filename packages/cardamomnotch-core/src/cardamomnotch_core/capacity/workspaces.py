"""What each workspace uses at this entry."""

import math

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.models import Plan
from .bucket import TokenBucket
from .const import BURST_S, CONCURRENCY_RETRY_AFTER_S


class CapacityError(CardamomnotchError):
    """The workspace's plan, or the upstreams, bear no more now."""

    code = ResultCode.CAPACITY_EXCEEDED


@attrs.define
class _Usage:
    in_flight: int = 0
    requests: TokenBucket | None = None
    tokens: TokenBucket | None = None


class WorkspaceUsage:
    """Holds workspaces to this entry's part of their plans.

    The part is the plan's limit divided by the live entries, which needs no
    message; the balancer spreads a workspace's calls over them.
    """

    def __init__(self) -> None:
        self._usages: dict[str, _Usage] = {}

    @property
    def total_in_flight(self) -> int:
        """Return the requests of all workspaces."""
        return sum(item.in_flight for item in self._usages.values())

    @property
    def active(self) -> int:
        """Return how many workspaces have requests in flight."""
        return sum(item.in_flight > 0 for item in self._usages.values())

    def in_flight(self, workspace: str) -> int:
        """Return the requests of ``workspace``."""
        usage = self._usages.get(workspace)
        return usage.in_flight if usage else 0

    def check(
        self, workspace: str, plan: Plan, tokens: int, entries: int, now_s: float
    ) -> None:
        """Raise CapacityError if the plan bears no further request now."""
        usage = self._usages.setdefault(workspace, _Usage())
        limit = math.ceil(plan.concurrent_requests / entries)
        if limit and usage.in_flight >= limit:
            raise CapacityError(
                f"{usage.in_flight} requests in flight",
                retry_after_s=CONCURRENCY_RETRY_AFTER_S,
            )
        usage.requests = _adjusted(
            usage.requests, plan.requests_per_s / entries, 1.0, now_s
        )
        usage.tokens = _adjusted(
            usage.tokens, plan.tokens_per_s / entries, float(tokens), now_s
        )
        waits_s = (
            usage.requests.wait_s(1.0, now_s) if usage.requests else 0.0,
            usage.tokens.wait_s(float(tokens), now_s) if usage.tokens else 0.0,
        )
        if max(waits_s) > 0:
            raise CapacityError(retry_after_s=max(waits_s))

    def start(self, workspace: str, tokens: int) -> None:
        """Count a request that was admitted."""
        usage = self._usages.setdefault(workspace, _Usage())
        usage.in_flight += 1
        if usage.requests:
            usage.requests.charge(1.0)
        if usage.tokens:
            usage.tokens.charge(tokens)

    def end(self, workspace: str, unused_tokens: int) -> None:
        """Stop counting a request, and give back what it did not use."""
        usage = self._usages[workspace]
        usage.in_flight -= 1
        if usage.tokens:
            usage.tokens.charge(-unused_tokens)

    def forget_all_but(self, workspaces: frozenset[str]) -> None:
        """Drop idle workspaces that are no longer listed."""
        for name in self._usages.keys() - workspaces:
            if not self._usages[name].in_flight:
                del self._usages[name]


def _adjusted(
    bucket: TokenBucket | None, rate: float, least_burst: float, now_s: float
) -> TokenBucket | None:
    """Return a bucket at ``rate``; a rate of 0 is no limit."""
    if not rate:
        return None
    burst = max(least_burst, rate * BURST_S)
    if bucket is None:
        return TokenBucket.full(rate, burst, now_s)
    bucket.set_rate(rate, max(burst, bucket.burst), now_s)
    return bucket
