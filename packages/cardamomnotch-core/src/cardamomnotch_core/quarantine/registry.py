"""Which requests are in quarantine, by the lists and by own findings."""

from collections.abc import Mapping

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.holder import ConfigurationHolder


class QuarantineRegistry:
    """Answers whether a fingerprint is in quarantine, and for how long.

    ``wall_offset_s`` is the wall clock less the node's clock: the lists carry
    times of the wall clock, since they pass between machines.
    """

    def __init__(self, holder: ConfigurationHolder, wall_offset_s: float) -> None:
        self._holder = holder
        self._wall_offset_s = wall_offset_s
        self._own: dict[str, float] = {}

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """Return the fingerprints that the lists and this process hold."""
        return tuple(sorted({*self._own, *self._listed()}))

    def wall_time_s(self, now_s: float) -> float:
        """Return the wall clock's time at ``now_s``."""
        return now_s + self._wall_offset_s

    def add(self, fingerprint: str, until_s: float) -> None:
        """Hold an own finding, also while the store is down."""
        self._own[fingerprint] = until_s

    def holds(self, fingerprint: str, now_s: float) -> bool:
        """Return whether ``fingerprint`` is in quarantine."""
        return self._until_s(fingerprint) > self.wall_time_s(now_s)

    def check(self, fingerprint: str, now_s: float) -> None:
        """Raise CardamomnotchError while ``fingerprint`` is in quarantine."""
        left_s = self._until_s(fingerprint) - self.wall_time_s(now_s)
        if left_s > 0:
            raise CardamomnotchError(
                code=ResultCode.REQUEST_QUARANTINED, retry_after_s=left_s
            )
        self._own.pop(fingerprint, None)

    def _until_s(self, fingerprint: str) -> float:
        listed_s = self._listed().get(fingerprint, 0.0)
        return max(self._own.get(fingerprint, 0.0), listed_s)

    def _listed(self) -> Mapping[str, float]:
        record = self._holder.record
        return record.configuration.quarantined_until if record else {}
