"""Readiness of a starting entry: every upstream was probed once."""

from collections.abc import Iterable

from .models import Upstream


class InitialProbe:
    """Tracks whether the first heartbeats to all upstreams are done.

    Until then an entry would refuse requests that another entry could serve.
    Once complete it stays complete, also when upstreams join later.
    """

    def __init__(self) -> None:
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Return whether every upstream was probed."""
        return self._is_complete

    def update(self, upstreams: Iterable[Upstream]) -> None:
        """Complete the probe if each of ``upstreams`` answered or failed."""
        self._is_complete = self._is_complete or all(
            upstream.was_probed for upstream in upstreams
        )
