"""Registry of the requests that are in quarantine."""

from collections.abc import Mapping, Set
from itertools import combinations

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.holder import ConfigurationHolder
from .models import parts_of_key


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

    def check_parts(self, parts: Set[str], now_s: float) -> None:
        """Raise CardamomnotchError if ``parts`` crash upstreams in any request.

        They do if two requests in quarantine have parts in common that were
        not answered in others, and all of these are among ``parts``.
        """
        wall_s = self.wall_time_s(now_s)
        self._local_until_s = {
            key: until_s
            for key, until_s in self._local_until_s.items()
            if until_s > wall_s
        }
        until_s_by_key = {**self._configured_until_s(), **self._local_until_s}
        suspected = [
            (parts_of_key(key), until_s)
            for key, until_s in until_s_by_key.items()
            if until_s > wall_s and parts_of_key(key)
        ]
        for (first, first_until_s), (second, second_until_s) in combinations(
            suspected, 2
        ):
            common = first & second
            if common and common <= parts:
                raise CardamomnotchError(
                    code=ResultCode.REQUEST_QUARANTINED,
                    retry_after_s=min(first_until_s, second_until_s) - wall_s,
                )

    def _until_s(self, fingerprint: str) -> float:
        configured_s = self._configured_until_s().get(fingerprint, 0.0)
        return max(self._local_until_s.get(fingerprint, 0.0), configured_s)

    def _configured_until_s(self) -> Mapping[str, float]:
        record = self._holder.record
        return record.configuration.quarantined_until if record else {}
