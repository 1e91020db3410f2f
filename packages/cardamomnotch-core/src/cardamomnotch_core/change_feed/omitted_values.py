"""Values that are read from the store one by one, apart from other changes."""

from collections.abc import Iterable

from .models import StoreChange


class OmittedValues:
    """Keys whose change is known, but not the value.

    A value is read by a call that is sent after its change was known. What changes
    the key again replaces it.
    """

    def __init__(self) -> None:
        # Revision of the last change whose value is not known, by key.
        self._revisions: dict[str, int] = {}

    def __contains__(self, key: str) -> bool:
        return key in self._revisions

    def __len__(self) -> int:
        return len(self._revisions)

    def record_changes(
        self, changes: Iterable[StoreChange]
    ) -> tuple[list[StoreChange], list[str]]:
        """Return the changes that have a value, and the keys to read anew.

        A key that is being read already is not returned again.
        """
        complete, added = [], []
        for change in changes:
            if not change.is_omitted:
                self._revisions.pop(change.key, None)
                complete.append(change)
                continue
            if change.key not in self._revisions:
                added.append(change.key)
            self._revisions[change.key] = change.revision
        return complete, [key for key in added if key in self._revisions]

    def revision(self, key: str) -> int | None:
        """Return the last change to read; None if the key has none."""
        return self._revisions.get(key)

    def record_read(self, key: str, known_revision: int, revision: int) -> bool:
        """Record a value of ``revision``; return whether it is to be used.

        ``known_revision`` is the change that was known when the call was sent. The
        key stays to be read if a newer change has become known since.
        """
        wanted = self._revisions.get(key)
        if wanted is None:
            return False
        if wanted <= max(known_revision, revision):
            del self._revisions[key]
        return True

    def clear(self) -> None:
        """Forget all keys, since everything has been read."""
        self._revisions.clear()
