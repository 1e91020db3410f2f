"""The rate limits of cold upstreams, and those that upstreams name."""

import math
from collections.abc import Mapping, Sequence

import attrs

from cardamomnotch_protocol.result_codes import ResultCode

from ..exceptions import RefusalError
from ..fleet import Fleet, UpstreamState
from ..limits import RelayLimits
from ..live_entries import LiveEntries
from ..models import Service, UpstreamHints
from .rate_limits import (
    RateLimit,
    UpstreamRateLimiter,
    cold_rate_limit,
    named_rate_limit,
)

# Retry-After times if all upstreams are at their rate limits, in seconds.
_RETRY_COLD_S = 0.5
_MIN_RETRY_NAMED_S = 0.05


@attrs.frozen
class _NamedRate:
    """Requests per second that an upstream takes from all entries together."""

    rate: float
    # When this entry learned of it.
    known_at_s: float


@attrs.frozen
class _Selection:
    """The upstreams of whose cold limits this entry has a part."""

    allowed: Sequence[UpstreamState] = ()
    # Changes of entries and cold phases as of which it was made.
    version: tuple[int, int] = (-1, -1)
    service: Service | None = None
    until_s: float = -math.inf
    selected: Sequence[UpstreamState] = ()


class UpstreamRates:
    """Keeps the requests to each upstream within its rate limits."""

    def __init__(self, entries: LiveEntries, fleet: Fleet, limits: RelayLimits) -> None:
        self._entries = entries
        self._fleet = fleet
        self._limits = limits
        self._limiter = UpstreamRateLimiter(entries)
        # The last selection of each service.
        self._selections: dict[str, _Selection] = {}
        # By upstream process.
        self._named: dict[str, _NamedRate] = {}
        # Processes whose named rate has changed, or ended, for the other
        # entries.
        self._unsent: dict[str, None] = {}

    @property
    def named(self) -> dict[str, float]:
        """Return the requests per second that upstreams have named, by process."""
        return {process: named.rate for process, named in self._named.items()}

    def set_limits(self, limits: RelayLimits) -> None:
        """Apply changed limits."""
        self._limits = limits

    def record_sent(self, state: UpstreamState, now_s: float) -> None:
        """Count a request that this entry sends."""
        self._limiter.record_sent(state.upstream_id, now_s)

    def record_sent_by_other(self, state: UpstreamState, now_s: float) -> None:
        """Count a request that another entry has sent."""
        if state.upstream.process in self._named:
            self._limiter.record_sent_by_other(state.upstream_id, now_s)

    def applies(self, service: Service, now_s: float) -> bool:
        """Return whether any upstream may have a limit now."""
        return bool(self._named) or self._has_cold(service, now_s)

    def select(
        self, allowed: Sequence[UpstreamState], service: Service, now_s: float
    ) -> Sequence[UpstreamState]:
        """Leave out cold upstreams of whose limit this entry has no part.

        The selection is kept until an entry, an upstream or its cold phase
        changes. Raises RefusalError if there is no other upstream.
        """
        if not self._has_cold(service, now_s):
            return allowed
        version = self._entries.changes, self._fleet.cold_changes
        last = self._selections.get(service.name, _Selection())
        if not (
            last.allowed is allowed
            and last.version == version
            and last.service == service
            and now_s < last.until_s
            and self._entries.is_recorded(now_s)
        ):
            last = self._select_anew(allowed, service, version, now_s)
            self._selections[service.name] = last
        if not last.selected:
            raise self.refusal(allowed, service, now_s)
        return last.selected

    def may_send(self, state: UpstreamState, service: Service, now_s: float) -> bool:
        """Return whether the upstream may get a request of this entry now."""
        return not self._wait_s(state, service, now_s)

    def refusal(
        self, allowed: Sequence[UpstreamState], service: Service, now_s: float
    ) -> RefusalError:
        """Return the refusal of a request while all upstreams are at their limits."""
        named_waits_s = [
            self._wait_s(state, service, now_s)
            for state in allowed
            if state.upstream.process in self._named
        ]
        wait_s = min(named_waits_s, default=math.inf)
        if math.isfinite(wait_s):
            return RefusalError(
                ResultCode.UPSTREAM_RATE_LIMITED,
                "all upstreams of the service are at the rate limit that they named",
                max(_MIN_RETRY_NAMED_S, wait_s),
            )
        return RefusalError(
            ResultCode.UPSTREAM_FULL,
            "all upstreams of the service are cold and at their rate limit",
            _RETRY_COLD_S,
        )

    def record_hints(
        self, process: str, hints: UpstreamHints, sent_at_s: float, now_s: float
    ) -> None:
        """Apply what an upstream states in its answer to a request.

        ``sent_at_s`` is when the request was sent. A limit ends with an answer
        that names none, unless the request was sent before it was known.
        """
        known = self._named.get(process)
        if hints.rate_limit == (known.rate if known else None):
            return
        if known and hints.rate_limit is None and sent_at_s < known.known_at_s:
            return
        self.apply({process: hints.rate_limit}, now_s)
        self._unsent[process] = None

    def apply(self, rates: Mapping[str, float | None], now_s: float) -> None:
        """Apply rate limits by process; None ends a limit."""
        for process, rate in rates.items():
            if rate is None or not self._fleet.has_process(process):
                self._named.pop(process, None)
            else:
                self._named[process] = _NamedRate(rate, now_s)

    def take_unsent(self) -> dict[str, float | None]:
        """Return the rates for the other entries, by process, and forget them."""
        processes, self._unsent = self._unsent, {}
        named = self.named
        return {process: named.get(process) for process in processes}

    def announce_all(self) -> None:
        """Send all limits to the other entries, for one that has started."""
        self._unsent.update(dict.fromkeys(self._named))

    def forget_process(self, process: str) -> None:
        """Delete the limit of a process that has ended."""
        self._named.pop(process, None)

    def forget_upstream(self, upstream_id: str) -> None:
        """Delete the send times of an upstream that is gone."""
        self._limiter.forget(upstream_id)

    def _has_cold(self, service: Service, now_s: float) -> bool:
        return bool(service.cold_rate) and self._fleet.has_cold(now_s)

    def _select_anew(
        self,
        allowed: Sequence[UpstreamState],
        service: Service,
        version: tuple[int, int],
        now_s: float,
    ) -> "_Selection":
        limit = self._cold_limit(service)
        without_part = {
            state.upstream_id: state.cold_until_s
            for state in allowed
            if state.is_cold(now_s)
            and not self._limiter.allowed(state.upstream_id, limit, now_s)
        }
        return _Selection(
            allowed=allowed,
            version=version,
            service=service,
            until_s=min(without_part.values(), default=math.inf),
            selected=tuple(
                state for state in allowed if state.upstream_id not in without_part
            )
            if without_part
            else allowed,
        )

    def _cold_limit(self, service: Service) -> RateLimit:
        overshoot, slack = self._limits.cold_overshoot, self._limits.cold_slack
        return cold_rate_limit(service.cold_rate, overshoot, slack)

    def _wait_s(self, state: UpstreamState, service: Service, now_s: float) -> float:
        """Return after how many seconds the upstream may get a request."""
        wait_s = 0.0
        named = self._named.get(state.upstream.process)
        if named is not None:
            limit = named_rate_limit(named.rate)
            wait_s = self._limiter.wait_s(state.upstream_id, limit, now_s)
        if service.cold_rate and state.is_cold(now_s):
            limit = self._cold_limit(service)
            cold_wait_s = self._limiter.wait_s(state.upstream_id, limit, now_s)
            wait_s = max(wait_s, cold_wait_s)
        return wait_s
