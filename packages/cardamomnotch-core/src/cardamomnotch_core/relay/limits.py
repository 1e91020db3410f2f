"""Bounds that the installation sets, which its settings name."""

import attrs


@attrs.frozen(kw_only=True)
class RelayLimits:
    """Bounds over all entries together; times in seconds."""

    # Longest time that a key which was taken away may still be used.
    revocation_s: float = 5.0
    retry_ratio: float = 0.5
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    # A cold upstream's rate may be passed by this factor and number.
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    # Time that a process has to end after SIGTERM.
    grace_s: float = 8.0

    @property
    def knowledge_max_age_s(self) -> float:
        """Return how old the knowledge of keys may be when it is used."""
        return max(0.5, self.revocation_s - _KNOWLEDGE_MARGIN_S)


# Time that a watch may hear nothing while changes are made, and time for a
# request to reach its upstream, in seconds.
_KNOWLEDGE_MARGIN_S = 1.2
