"""Positions in the history of the platform's store."""

import attrs


@attrs.frozen(order=True)
class StorePosition:
    """A revision of the store, within one era.

    An era begins when the store comes back from a copy of itself: it gives out the
    revisions since the copy again, for other content. So positions are compared by
    era first, and revisions of different eras are never compared with each other.
    A store that states no era is in era 0.
    """

    era: int
    revision: int

    def is_continued_by(self, other: "StorePosition") -> bool:
        """Return whether ``other`` is not before this one, in the same era."""
        return self.era == other.era and self.revision <= other.revision
