"""Enforcement of the plan limits of workspaces at an entry."""

import math

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.models import Plan
from .bucket import TokenBucket
from .const import BURST_S, CONCURRENCY_RETRY_AFTER_S


class CapacityError(CardamomnotchError):
    """The workspace's plan or the upstreams have no capacity left."""

    code = ResultCode.CAPACITY_EXCEEDED


@attrs.define
class _Usage:
    """Requests in flight and rate limits of one workspace."""

    in_flight: int = 0
    request_bucket: TokenBucket | None = None
    token_bucket: TokenBucket | None = None


class WorkspaceUsage:
    """Limits workspaces to this entry's share of their plans.

    The share is the plan's limit divided by the number of live entries. It
    needs no messages between entries, since the load balancer spreads each
    workspace's requests over them.
    """

    def __init__(self) -> None:
        self._usages: dict[str, _Usage] = {}

    @property
    def total_in_flight(self) -> int:
        """Return the number of requests in flight of all workspaces."""
        return sum(item.in_flight for item in self._usages.values())

    @property
    def active_count(self) -> int:
        """Return the number of workspaces with requests in flight."""
        return sum(item.in_flight > 0 for item in self._usages.values())

    def in_flight(self, workspace: str) -> int:
        """Return the number of requests in flight of ``workspace``."""
        usage = self._usages.get(workspace)
        return usage.in_flight if usage else 0

    def check(
        self, workspace: str, plan: Plan, tokens: int, entry_count: int, now_s: float
    ) -> None:
        """Raise CapacityError if the plan allows no further request now."""
        usage = self._usages.setdefault(workspace, _Usage())
        limit = math.ceil(plan.concurrent_requests / entry_count)
        if limit and usage.in_flight >= limit:
            raise CapacityError(
                f"workspace has {usage.in_flight} requests in flight at this entry,"
                f" the limit is {limit}",
                retry_after_s=CONCURRENCY_RETRY_AFTER_S,
            )
        usage.request_bucket = _adjusted_bucket(
            usage.request_bucket, plan.requests_per_s / entry_count, 1.0, now_s
        )
        usage.token_bucket = _adjusted_bucket(
            usage.token_bucket, plan.tokens_per_s / entry_count, float(tokens), now_s
        )
        waits_s = (
            usage.request_bucket.wait_s(1.0, now_s) if usage.request_bucket else 0.0,
            usage.token_bucket.wait_s(float(tokens), now_s)
            if usage.token_bucket
            else 0.0,
        )
        if max(waits_s) > 0:
            raise CapacityError(retry_after_s=max(waits_s))

    def start(self, workspace: str, tokens: int) -> None:
        """Count an admitted request and charge its expected tokens."""
        usage = self._usages.setdefault(workspace, _Usage())
        usage.in_flight += 1
        if usage.request_bucket:
            usage.request_bucket.charge(1.0)
        if usage.token_bucket:
            usage.token_bucket.charge(tokens)

    def end(self, workspace: str, unused_tokens: int) -> None:
        """Stop counting a request, and give back its unused tokens."""
        usage = self._usages[workspace]
        usage.in_flight -= 1
        if usage.token_bucket:
            usage.token_bucket.charge(-unused_tokens)

    def retain_only(self, workspaces: frozenset[str]) -> None:
        """Drop idle workspaces that are not in ``workspaces``."""
        for name in self._usages.keys() - workspaces:
            if not self._usages[name].in_flight:
                del self._usages[name]


def _adjusted_bucket(
    bucket: TokenBucket | None, rate: float, min_burst: float, now_s: float
) -> TokenBucket | None:
    """Return ``bucket`` set to ``rate``; None if the rate is 0 (no limit)."""
    if not rate:
        return None
    burst = max(min_burst, rate * BURST_S)
    if bucket is None:
        return TokenBucket.full(rate, burst, now_s)
    bucket.set_rate(rate, max(burst, bucket.burst), now_s)
    return bucket
