"""Bounds that the installation sets, which its settings name."""

from typing import Any

import attrs

_POSITIVE = attrs.validators.gt(0)
_NOT_NEGATIVE = attrs.validators.ge(0)
_FRACTION = attrs.validators.and_(attrs.validators.gt(0), attrs.validators.le(1))


def _limit_field(default: float, validator: Any = _NOT_NEGATIVE) -> Any:
    return attrs.field(default=default, validator=validator)


@attrs.frozen(kw_only=True)
class RelayLimits:
    """Table ``limits``: bounds over all entries together."""

    # Longest time that a key which was taken away may still be used.
    revocation_ms: float = _limit_field(5_000.0, _POSITIVE)
    # Attempts beyond the first within the window, as a part of the requests.
    retry_ratio: float = _limit_field(0.5)
    # Attempts that are allowed beyond that part.
    retry_slack: float = _limit_field(20.0)
    # Time over which attempts are counted.
    retry_window_s: float = _limit_field(10.0, _POSITIVE)
    # Factor by which a cold upstream's rate may be passed.
    cold_overshoot: float = _limit_field(1.5)
    # Requests a second that are allowed beyond that.
    cold_slack: float = _limit_field(5.0)
    # Part of a service's requests that a bad version may get in its roll-out.
    exposure_share: float = _limit_field(0.15, _FRACTION)
    # Time after its last request for which a session keeps its version.
    session_ttl_s: float = _limit_field(5.0)
    # Time that a process has to end after SIGTERM.
    grace_s: float = _limit_field(8.0, _POSITIVE)

    @property
    def document_max_age_s(self) -> float:
        """Return how old the knowledge of keys may be when it is used."""
        revocation_s = self.revocation_ms / 1000
        return max(_DOCUMENT_MIN_AGE_S, revocation_s - _DOCUMENT_AGE_MARGIN_S)


# Time that a watch may hear nothing while changes are made, and time for a
# request to reach its upstream, in seconds.
_DOCUMENT_AGE_MARGIN_S = 1.2
# Shortest age that leaves time for one question to the store, in seconds.
_DOCUMENT_MIN_AGE_S = 0.5
