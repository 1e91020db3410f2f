"""Orders to one engine: one at a time, fenced and read back."""

from collections.abc import Collection

from cardamomnotch_protocol.models import EnginePlacement

from .const import ORDER_RETRY_S


class PlacementReconciler:
    """Compares what an engine is to load with what it reports.

    A placement with a lower fencing number than any seen is obsolete. An
    order that was interrupted, or that the engine did not follow, is given
    again; giving the same order twice is harmless.
    """

    def __init__(self) -> None:
        self._wanted: EnginePlacement | None = None
        self._newest_fencing = 0
        self._in_flight = False
        self._running: dict[str, str] = {}
        self._not_before_s = float("-inf")
        self.obsolete_placements = 0

    @property
    def desired_placement(self) -> EnginePlacement | None:
        """Return the placement in force, if any."""
        return self._wanted

    def is_to_be_unloaded(self, version: str) -> bool:
        """Return whether ``version`` is to be unloaded."""
        return self._wanted is not None and version not in self._wanted.versions

    def set_desired_placement(self, placement: EnginePlacement | None) -> None:
        """Note a placement unless a newer planner has spoken."""
        if placement is None:
            return
        serial = self._wanted.serial if self._wanted else 0
        if placement.fencing < self._newest_fencing or placement.serial < serial:
            self.obsolete_placements += 1
            return
        self._newest_fencing = placement.fencing
        self._wanted = placement

    def next_order(
        self, *, loaded: Collection[str], fencing: int, now_s: float
    ) -> EnginePlacement | None:
        """Return the order that is due, by the engine's own report.

        A version with attempts in flight is not unloaded.
        """
        self._newest_fencing = max(self._newest_fencing, fencing)
        desired_placement = self._wanted
        if desired_placement is None or self._in_flight or now_s < self._not_before_s:
            return None
        if desired_placement.fencing < self._newest_fencing:
            return None
        if set(loaded) == set(desired_placement.versions):
            return None
        if any(self.is_to_be_unloaded(version) for version in self._running.values()):
            return None
        self._in_flight = True
        return desired_placement

    def start_attempt(self, attempt_id: str, version: str) -> None:
        """Note an attempt in flight on ``version``."""
        self._running[attempt_id] = version

    def end_attempt(self, attempt_id: str) -> None:
        """Forget the attempt."""
        self._running.pop(attempt_id, None)

    def end_order(self, now_s: float) -> None:
        """Note that the engine has answered, or has not."""
        self._in_flight = False
        self._not_before_s = now_s + ORDER_RETRY_S
