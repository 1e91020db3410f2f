"""Registry of the requests that are in quarantine."""

from collections.abc import Mapping

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.holder import ConfigurationHolder


class QuarantineRegistry:
    """Tells whether a fingerprint is in quarantine, and for how long.

    Combines the quarantine in the configuration with what this process has
    found itself. ``wall_offset_s`` is the wall clock's time minus the node's
    clock: times in the configuration are wall-clock times, since they are
    shared between machines.
    """

    def __init__(self, holder: ConfigurationHolder, wall_offset_s: float) -> None:
        self._holder = holder
        self._wall_offset_s = wall_offset_s
        self._local_until_s: dict[str, float] = {}

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints from the configuration and this process.

        May include some whose quarantine has expired.
        """
        return tuple(sorted({*self._local_until_s, *self._configured_until_s()}))

    def wall_time_s(self, now_s: float) -> float:
        """Return the wall-clock time at ``now_s`` of the node's clock."""
        return now_s + self._wall_offset_s

    def add(self, fingerprint: str, until_s: float) -> None:
        """Quarantine ``fingerprint`` in this process until ``until_s``.

        This needs no store, so it works while the store is unavailable.
        ``until_s`` is a wall-clock time.
        """
        self._local_until_s[fingerprint] = until_s

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether ``fingerprint`` is in quarantine at ``now_s``."""
        return self._until_s(fingerprint) > self.wall_time_s(now_s)

    def check(self, fingerprint: str, now_s: float) -> None:
        """Raise CardamomnotchError if ``fingerprint`` is in quarantine."""
        remaining_s = self._until_s(fingerprint) - self.wall_time_s(now_s)
        if remaining_s > 0:
            raise CardamomnotchError(
                code=ResultCode.REQUEST_QUARANTINED, retry_after_s=remaining_s
            )
        self._local_until_s.pop(fingerprint, None)

    def _until_s(self, fingerprint: str) -> float:
        configured_s = self._configured_until_s().get(fingerprint, 0.0)
        return max(self._local_until_s.get(fingerprint, 0.0), configured_s)

    def _configured_until_s(self) -> Mapping[str, float]:
        record = self._holder.record
        return record.configuration.quarantined_until if record else {}
