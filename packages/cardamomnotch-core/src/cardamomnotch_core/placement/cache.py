"""The placement that an entry passes on to sidecars."""

from cardamomnotch_protocol.models import EnginePlacement

from .models import Placement


class PlacementCache:
    """Keeps the newest placement; its serial only ever rises."""

    def __init__(self) -> None:
        self._placement = Placement()
        self._serial = 0

    def update(self, placement: Placement, serial: int) -> None:
        """Keep ``placement`` if it is newer."""
        if serial > self._serial:
            self._placement, self._serial = placement, serial

    def for_vm(self, vm_id: str) -> EnginePlacement | None:
        """Return what the engine on ``vm_id`` is to load."""
        versions = self._placement.versions.get(vm_id)
        if versions is None:
            return None
        return EnginePlacement(
            serial=self._serial, fencing=self._placement.fencing, versions=versions
        )
