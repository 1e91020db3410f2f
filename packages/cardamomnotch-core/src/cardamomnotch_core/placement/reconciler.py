"""Reconciles the versions that an engine has loaded with its placement."""

from collections.abc import Collection

from cardamomnotch_protocol.models import EnginePlacement

from .const import ORDER_RETRY_S


class PlacementReconciler:
    """Decides when to send the desired placement to one engine as an order.

    Only one order is in flight at a time. A placement with a lower fencing
    token than the highest received is obsolete. An order that was interrupted, or
    that the engine did not carry out, is sent again; orders are idempotent.
    """

    def __init__(self) -> None:
        self._desired_placement: EnginePlacement | None = None
        self._highest_fencing = 0
        self._order_in_flight = False
        self._versions_in_use: dict[str, str] = {}
        self._next_order_at_s = float("-inf")
        self.obsolete_placements = 0

    @property
    def desired_placement(self) -> EnginePlacement | None:
        """Return the placement that the engine is to reach, if any."""
        return self._desired_placement

    def is_to_be_unloaded(self, version: str) -> bool:
        """Return whether the desired placement excludes ``version``."""
        return (
            self._desired_placement is not None
            and version not in self._desired_placement.versions
        )

    def set_desired_placement(self, placement: EnginePlacement | None) -> None:
        """Set the placement, unless it is obsolete, which is counted."""
        if placement is None:
            return
        serial = self._desired_placement.serial if self._desired_placement else 0
        if placement.fencing < self._highest_fencing or placement.serial < serial:
            self.obsolete_placements += 1
            return
        self._highest_fencing = placement.fencing
        self._desired_placement = placement

    def next_order(
        self, *, loaded: Collection[str], fencing: int, now_s: float
    ) -> EnginePlacement | None:
        """Return the order to send now, or None.

        ``loaded`` and ``fencing`` are taken from the engine's status report.
        No order is sent while it would unload a version with attempts in
        flight.
        """
        self._highest_fencing = max(self._highest_fencing, fencing)
        desired = self._desired_placement
        if desired is None or self._order_in_flight or now_s < self._next_order_at_s:
            return None
        if desired.fencing < self._highest_fencing:
            return None
        if set(loaded) == set(desired.versions):
            return None
        if any(
            self.is_to_be_unloaded(version)
            for version in self._versions_in_use.values()
        ):
            return None
        self._order_in_flight = True
        return desired

    def start_attempt(self, attempt_id: str, version: str) -> None:
        """Record an attempt in flight on ``version``."""
        self._versions_in_use[attempt_id] = version

    def end_attempt(self, attempt_id: str) -> None:
        """Remove the attempt from those in flight."""
        self._versions_in_use.pop(attempt_id, None)

    def end_order(self, now_s: float) -> None:
        """Record that the order was answered or has failed."""
        self._order_in_flight = False
        self._next_order_at_s = now_s + ORDER_RETRY_S
