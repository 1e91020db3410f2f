"""Values that are read from the store one by one, apart from other changes."""

from collections.abc import Iterable

from cardamomnotch_protocol.store_position import StorePosition

from .models import StoreChange


class OmittedValues:
    """Keys whose change is known, but not the value.

    A value is read by a call that is sent after its change was known. What changes
    the key again replaces it.
    """

    def __init__(self) -> None:
        # Position of the last change whose value is not known, by key.
        self._positions: dict[str, StorePosition] = {}

    def __contains__(self, key: str) -> bool:
        return key in self._positions

    def __len__(self) -> int:
        return len(self._positions)

    def record_changes(
        self, changes: Iterable[StoreChange]
    ) -> tuple[list[StoreChange], list[str]]:
        """Return the changes that have a value, and the keys to read anew.

        A key that is being read already is not returned again.
        """
        complete, added = [], []
        for change in changes:
            if not change.is_omitted:
                self._positions.pop(change.key, None)
                complete.append(change)
                continue
            if change.key not in self._positions:
                added.append(change.key)
            self._positions[change.key] = change.position
        return complete, [key for key in added if key in self._positions]

    def position(self, key: str) -> StorePosition | None:
        """Return the last change to read; None if the key has none."""
        return self._positions.get(key)

    def record_read(
        self, key: str, known_position: StorePosition, position: StorePosition
    ) -> bool:
        """Record a value of ``position``; return whether it is to be used.

        ``known_position`` is the change that was known when the call was sent. The
        key stays to be read if a newer change has become known since.
        """
        wanted = self._positions.get(key)
        if wanted is None:
            return False
        if wanted <= max(known_position, position):
            del self._positions[key]
        return True

    def clear(self) -> None:
        """Forget all keys, since everything has been read."""
        self._positions.clear()
