"""What a process holds of responses that it cannot pass on yet.

Answers one load: upstreams that send parts without an end. Each part is inside the
limit of one response; all of them together exceed the memory of the process.
"""

from collections.abc import Callable
from typing import Any

import attrs


@attrs.define(eq=False)
class HeldResponse:
    """The bytes that are held of one response."""

    _memory: "ResponseMemory"
    # Ends the response as one that was broken off.
    end: Callable[[], None]
    held_bytes: int = 0

    def record(self, size: int) -> None:
        """Record that ``size`` bytes are held now."""
        self._memory.record(self, size)

    def close(self) -> None:
        """Release all bytes; later calls have no effect."""
        self._memory.close(self)


class ResponseMemory:
    """Limits the sum over all responses; the largest ones end if it is exceeded."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held_bytes = 0
        self._responses: set[HeldResponse] = set()
        self._ended = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held of all responses."""
        return self._held_bytes

    def open(self, end: Callable[[], None]) -> HeldResponse:
        """Return the record of a response that begins; ``end`` ends it early."""
        held = HeldResponse(self, end)
        self._responses.add(held)
        return held

    def record(self, held: HeldResponse, size: int) -> None:
        """Set what is held of a response, and end the largest ones if need be."""
        if held not in self._responses:
            return
        self._held_bytes += size - held.held_bytes
        held.held_bytes = size
        while self._held_bytes > self._max_bytes:
            largest = max(self._responses, key=lambda held: held.held_bytes)
            self.close(largest)
            self._ended += 1
            largest.end()

    def close(self, held: HeldResponse) -> None:
        """Release what is held of a response; later calls have no effect."""
        if held in self._responses:
            self._responses.remove(held)
            self._held_bytes -= held.held_bytes

    def diagnostics(self) -> dict[str, Any]:
        """Return the part of the state dump on the responses."""
        return {
            "responses": len(self._responses),
            "held_bytes": self._held_bytes,
            "max_held_bytes": self._max_bytes,
            "ended": self._ended,
        }
