"""Whether an entry that starts has asked all of its upstreams once."""

from collections.abc import Iterable

from .models import Upstream


class FirstSurvey:
    """Stays complete once every upstream has answered or failed to.

    Before that an entry would refuse what another entry could serve.
    """

    def __init__(self) -> None:
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Return whether all upstreams were asked."""
        return self._is_complete

    def check(self, upstreams: Iterable[Upstream]) -> None:
        """Look whether one of ``upstreams`` has still to be asked."""
        self._is_complete = self._is_complete or all(
            upstream.was_asked for upstream in upstreams
        )
