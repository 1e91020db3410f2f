"""Upstreams while a long listing of them is read beside changes."""

from collections.abc import Iterable, Iterator

from .changes import UpstreamListed


class PartialListing:
    """Keeps what is known of upstreams until their listing is complete.

    A page may arrive later than a change that it does not contain yet, so what a
    change has said of an upstream is not replaced by a page.
    """

    def __init__(self, known: Iterable[str] = (), *, is_restored: bool = False) -> None:
        # Whether the store has come back from a copy since it was read before.
        self.is_restored = is_restored
        self._unlisted = set(known)
        self._changed: set[str] = set()

    def record_change(self, upstream_id: str) -> None:
        """Record that a change has listed or removed an upstream."""
        self._unlisted.discard(upstream_id)
        self._changed.add(upstream_id)

    def select(self, page: Iterable[object]) -> Iterator[UpstreamListed]:
        """Yield the upstreams of a page that no change has named."""
        for change in page:
            if not isinstance(change, UpstreamListed):
                continue
            if change.upstream.upstream_id not in self._changed:
                yield change

    @property
    def unlisted(self) -> frozenset[str]:
        """Return the upstreams that the listing has not named so far."""
        return frozenset(self._unlisted)
