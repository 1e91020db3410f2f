"""Upstreams that have refused a request as full although slots seemed free."""

from collections.abc import Hashable

import attrs

from ..fleet import UpstreamState
from .const import FULL_UPSTREAM_S


@attrs.frozen
class _Mark:
    """What is known of an upstream since it refused a request."""

    attempt: Hashable
    full_until_s: float
    # The penalty that the refusal itself gave the upstream.
    penalty_until_s: float


class FullUpstreams:
    """Upstreams that count as full, for a short time or until a request ends there."""

    def __init__(self) -> None:
        self._marks: dict[str, _Mark] = {}

    def __len__(self) -> int:
        return len(self._marks)

    def record_refused(
        self, state: UpstreamState, attempt: Hashable, now_s: float
    ) -> None:
        """Record that an upstream refused ``attempt`` since it is full."""
        self._marks[state.upstream_id] = _Mark(
            attempt, now_s + FULL_UPSTREAM_S, state.penalty_until_s
        )

    def record_ended(self, state: UpstreamState, attempt: Hashable) -> None:
        """Record the end of an attempt, which frees a slot if it had one."""
        mark = self._marks.get(state.upstream_id)
        if mark is not None and mark.attempt != attempt:
            self._marks[state.upstream_id] = attrs.evolve(
                mark, full_until_s=float("-inf")
            )

    def is_full(self, state: UpstreamState, now_s: float) -> bool:
        """Return whether an upstream counts as full."""
        mark = self._marks.get(state.upstream_id)
        return mark is not None and now_s < mark.full_until_s

    def is_last_resort(self, state: UpstreamState, now_s: float) -> bool:
        """Return whether an upstream failed, other than by refusing as full."""
        if not state.is_penalized(now_s):
            return False
        mark = self._marks.get(state.upstream_id)
        return mark is None or mark.penalty_until_s != state.penalty_until_s

    def expire(self, now_s: float) -> None:
        """Delete the marks that say nothing any more."""
        self._marks = {
            upstream_id: mark
            for upstream_id, mark in self._marks.items()
            if now_s < max(mark.full_until_s, mark.penalty_until_s)
        }
