"""Values that are read from the store one by one, apart from other changes."""

from collections.abc import Container, Iterable

import attrs

from cardamomnotch_protocol.store_position import StorePosition

from .models import StoreChange


@attrs.define
class _KeyState:
    """What is known of a key of which a value was left out."""

    # Last change whose value is not known; None if the value is known.
    omitted: StorePosition | None = None
    # Position up to which no change of the key is newer than the value that was
    # applied last; None if that is not known.
    known: StorePosition | None = None

    def is_known_at(self, position: StorePosition) -> bool:
        """Return whether a change at ``position`` is not newer than the known value."""
        return self.known is not None and position <= self.known


class OmittedValues:
    """Keys whose change is known, but not the value.

    A value is read by a call that is sent after its change was known. The changes of
    a key may arrive in another order than they were made in: messages have omitted
    values first, and a value may be read before the changes that precede it arrive.
    So what replaces what is decided by the position in the store only.
    """

    def __init__(self) -> None:
        self._states: dict[str, _KeyState] = {}

    def __contains__(self, key: str) -> bool:
        return self.position(key) is not None

    def __len__(self) -> int:
        return sum(state.omitted is not None for state in self._states.values())

    @property
    def remembered_keys(self) -> frozenset[str]:
        """Return the keys to read, and those of which older changes may arrive."""
        return frozenset(self._states)

    def record_changes(
        self, changes: Iterable[StoreChange]
    ) -> tuple[list[StoreChange], list[str]]:
        """Return the changes to apply, and the keys to read anew.

        A key that is being read already is not returned again, and neither is a change
        that is older than the key's known value.
        """
        complete, added = [], []
        for change in changes:
            state = self._states.get(change.key)
            if state is None:
                if not change.is_omitted:
                    complete.append(change)
                    continue
                state = self._states[change.key] = _KeyState()
            if state.is_known_at(change.position):
                continue
            if change.is_omitted:
                if state.omitted is None:
                    added.append(change.key)
                state.omitted = max(state.omitted or change.position, change.position)
                continue
            complete.append(change)
            state.known = change.position
            # An omitted change was made at its position or before.
            if state.omitted is not None and state.omitted <= change.position:
                state.omitted = None
        return complete, [key for key in added if key in self]

    def position(self, key: str) -> StorePosition | None:
        """Return the last change to read; None if the key has none."""
        state = self._states.get(key)
        return None if state is None else state.omitted

    def record_read(
        self, key: str, known_position: StorePosition, position: StorePosition
    ) -> bool:
        """Record a value of ``position``; return whether it is to be used.

        ``known_position`` is the change that was known when the call was sent. The
        key stays to be read if a newer change has become known since. The value is
        not used if one with a value has, or if the store has come back from a copy.
        """
        state = self._states.get(key)
        if state is None or state.omitted is None:
            return False
        read_up_to = max(known_position, position)
        if read_up_to.era < state.omitted.era:
            return False
        if state.omitted <= read_up_to:
            state.omitted = None
        is_newer = not state.is_known_at(read_up_to)
        if is_newer:
            state.known = read_up_to
        return is_newer

    def record_all_read(
        self, position: StorePosition, left_out: Container[str] = ()
    ) -> None:
        """Record that all keys but those ``left_out`` were read as of ``position``."""
        for key, state in self._states.items():
            state.omitted = None
            if key not in left_out:
                state.known = max(state.known or position, position)

    def forget_until(self, position: StorePosition, being_read: Container[str]) -> None:
        """Forget known values of which no older change can arrive any more.

        All changes up to ``position`` are known; ``being_read`` are the keys of which
        a reply of the store may still arrive.
        """
        for key, state in tuple(self._states.items()):
            if state.omitted is not None or key in being_read:
                continue
            if state.known is None or state.known <= position:
                del self._states[key]
