"""The newest placement known to an entry, which it sends to sidecars."""

from cardamomnotch_protocol.models import EnginePlacement

from .models import Placement


class PlacementCache:
    """Keeps the placement with the highest serial number."""

    def __init__(self) -> None:
        self._placement = Placement()
        self._serial = 0

    def update(self, placement: Placement, serial: int) -> None:
        """Replace the placement if ``serial`` is higher than its serial."""
        if serial > self._serial:
            self._placement, self._serial = placement, serial

    def for_vm(self, vm_id: str) -> EnginePlacement | None:
        """Return the placement of the engine on ``vm_id``, if any."""
        versions = self._placement.versions.get(vm_id)
        if versions is None:
            return None
        return EnginePlacement(
            serial=self._serial, fencing=self._placement.fencing, versions=versions
        )
