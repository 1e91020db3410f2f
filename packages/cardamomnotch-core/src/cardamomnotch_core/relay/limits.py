"""Limits from the installation's settings."""

from typing import Any

import attrs

from .const import READY_AGE_FRACTION

_POSITIVE = attrs.validators.gt(0)
_NOT_NEGATIVE = attrs.validators.ge(0)
_FRACTION = attrs.validators.and_(attrs.validators.gt(0), attrs.validators.le(1))


def _limit_field(default: float, validator: Any = _NOT_NEGATIVE) -> Any:
    return attrs.field(default=default, validator=validator)


@attrs.frozen(kw_only=True)
class RelayLimits:
    """Settings table ``limits``; the limits apply across all entries."""

    # Longest time until a written routes document must be in force.
    activation_ms: float = _limit_field(2_000.0, _POSITIVE)
    # Longest time for which a revoked API key may still be accepted.
    revocation_ms: float = _limit_field(5_000.0, _POSITIVE)
    # Retries allowed within the window, as a ratio of the requests.
    retry_ratio: float = _limit_field(0.5)
    # Retries allowed in addition to that ratio.
    retry_slack: float = _limit_field(20.0)
    # Length of the window in which requests and retries are counted.
    retry_window_s: float = _limit_field(10.0, _POSITIVE)
    # Factor by which a cold upstream's rate may be exceeded.
    cold_overshoot: float = _limit_field(1.5)
    # Requests per second to a cold upstream allowed in addition.
    cold_slack: float = _limit_field(5.0)
    # Largest share of a service's requests during a rollout that a bad version
    # may receive.
    exposure_share: float = _limit_field(0.15, _FRACTION)
    # Time for which a session keeps its version after its last request.
    session_ttl_s: float = _limit_field(5.0)
    # Largest response body that is kept in memory until it is complete; bodies
    # of event streams are not.
    max_response_bytes: int = _limit_field(4_194_304, _POSITIVE)
    # Requests that may wait for a free slot of their upstreams, at each entry.
    queue_requests: int = _limit_field(
        2_000,
        attrs.validators.and_(attrs.validators.ge(1), attrs.validators.le(100_000)),
    )
    # Bytes of the bodies of these requests, at each entry.
    queue_bytes: int = _limit_field(
        32_000_000,
        attrs.validators.and_(
            attrs.validators.ge(65_536), attrs.validators.le(1_000_000_000)
        ),
    )
    # Time limit for a process to shut down after SIGTERM.
    grace_s: float = _limit_field(8.0, _POSITIVE)

    @property
    def document_max_age_s(self) -> float:
        """Return the maximum age at which the routes document is used."""
        revocation_s = self.revocation_ms / 1000
        return max(_DOCUMENT_MIN_AGE_S, revocation_s - _DOCUMENT_AGE_MARGIN_S)

    @property
    def refusal_max_age_s(self) -> float:
        """Return the maximum age at which routes and keys are refused as unknown.

        A document that has them may have been written, and have to be in force, since
        an older confirmation.
        """
        activation_s = self.activation_ms / 1000
        return min(
            self.document_max_age_s,
            max(activation_s / 2, activation_s - _REFUSAL_AGE_MARGIN_S),
        )

    @property
    def ready_max_age_s(self) -> float:
        """Return the age of the routes document above which the entry is not ready."""
        return self.document_max_age_s * READY_AGE_FRACTION

    @property
    def feed_max_age_s(self) -> float:
        """Return the age of the routes document at which the store is asked.

        Another entry's confirmation may be as old; an entry of a somewhat older
        document is no longer ready, or no longer refuses what it does not know.
        """
        return min(
            self.ready_max_age_s * _FEED_AGE_FRACTION,
            max(self.refusal_max_age_s / 2, self.refusal_max_age_s - _STORE_QUERY_S),
        )


# Covers the time for which a watch may miss changes that are being made, and
# the time for a request to reach its upstream, in seconds.
_DOCUMENT_AGE_MARGIN_S = 1.2
# Fraction of the age at which an entry stops being ready that a confirmation from
# another entry may reach; the rest is for a query to the store.
_FEED_AGE_FRACTION = 0.8
# Covers different rates of the clocks, in seconds.
_REFUSAL_AGE_MARGIN_S = 0.05
# Time for one query to the store, in seconds.
_STORE_QUERY_S = 0.1
# Smallest maximum age that leaves time for one query to the store, in seconds.
_DOCUMENT_MIN_AGE_S = 0.5
