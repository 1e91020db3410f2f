"""Limit on the suspects of all requests that are held at the same time.

Answers one load: requests of legal size whose prompts have thousands of short parts.
Each part may crash upstreams, so none is left out; the requests are counted instead.
"""

from cardamomnotch_protocol.result_codes import ResultCode

from ..const import MAX_PROMPT_PARTS
from ..exceptions import RefusalError
from .const import MAX_HELD_SUSPECTS

# Retry-After of a request that is refused, in seconds.
_RETRY_AFTER_S = 1.0


class HeldSuspects:
    """Counts the suspects of requests that are served, or that got no answer lately.

    Requests with as many parts as estimates regard are always admitted, and so is a
    single one.
    """

    def __init__(self, most: int = MAX_HELD_SUSPECTS) -> None:
        self._most = most
        self._count = 0

    @property
    def count(self) -> int:
        """Return the number of suspects that are held."""
        return self._count

    def admit(self, count: int) -> None:
        """Count a request with ``count`` suspects; ``release`` ends that.

        Raises RefusalError if too many are held.
        """
        is_large = count > MAX_PROMPT_PARTS
        if is_large and self._count and self._count + count > self._most:
            raise RefusalError(
                ResultCode.OVERLOADED,
                f"the prompt has {count} parts, and those of other requests leave no"
                " memory for it",
                _RETRY_AFTER_S,
            )
        self._count += count

    def hold(self, count: int) -> None:
        """Count the suspects of a request that has ended."""
        self._count += count

    def release(self, count: int) -> None:
        """Count ``count`` suspects no longer."""
        self._count -= count
