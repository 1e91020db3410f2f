"""Prompts that wait for their first token at one upstream."""

from collections.abc import Callable, Hashable

import attrs

from ..placement.const import MAX_FIRST_TOKEN_WAIT_S
from ..placement.first_token import QueueEstimate
from .const import MIN_SPEED_WEIGHT, SPEED_WEIGHT_EXPONENT, STUCK_S
from .speed import UpstreamSpeed


@attrs.define
class PendingPrompt:
    """A request that waits for its first token; times in milliseconds.

    All times are those of an upstream with the speed factor 1.
    """

    prefill_ms: float
    started_at_s: float
    # Expected time to the first token, and the part of it that does not depend on
    # other requests.
    expected_ms: float
    idle_ms: float
    # Expected time with the speed at the start.
    due_ms: float


@attrs.define
class Backlog:
    """Prefill that an upstream has to do before, or beside, a new request's.

    The first two are times of an upstream with the speed factor 1.
    """

    # What is left of the prompt that is being read.
    reading_ms: float = 0.0
    # Prompts that wait.
    waiting_ms: float = 0.0
    # How long the first token that is due next is overdue.
    overdue_ms: float = 0.0


_NO_BACKLOG = Backlog()


@attrs.define
class UpstreamQueue(QueueEstimate):
    """Pending requests of one upstream, of this and the other entries.

    Adds to the estimate for requests without a prompt what the estimate for prompts
    needs. Lives as long as the upstream's process is registered.
    """

    speed: UpstreamSpeed = attrs.field(factory=UpstreamSpeed)
    # Prompts that wait for their first token, in the order of their starts.
    prompts: dict[Hashable, PendingPrompt] = attrs.field(factory=dict)
    _prefill_ms: float = 0.0
    # When the upstream is assumed to have begun the prefill of the oldest prompt.
    _reading_since_s: float = 0.0
    _answered_at_s: float = 0.0

    def start(
        self,
        key: Hashable,
        prefill_ms: float,
        now_s: float,
        parallel: int = 1,
        prompt: PendingPrompt | None = None,
    ) -> None:
        """Add a request that waits for its first token."""
        super().start(key, prefill_ms, now_s, parallel)
        self._remove(key)
        if prompt is None:
            prompt = PendingPrompt(
                prefill_ms, now_s, prefill_ms, prefill_ms, prefill_ms
            )
        if not self.prompts:
            self._reading_since_s = now_s
            self._prefill_ms = 0.0
        self.prompts[key] = prompt
        self._prefill_ms += prompt.prefill_ms

    def finish(self, key: Hashable, now_s: float, *, answered: bool) -> None:
        """Remove a request; ``answered`` tells whether it got its first token."""
        super().finish(key, now_s, answered=answered)
        prompt = self._remove(key)
        if prompt is None or not answered:
            return
        observed_ms = (now_s - prompt.started_at_s) * 1000
        idle_share = prompt.idle_ms / max(1.0, prompt.expected_ms)
        weight = max(MIN_SPEED_WEIGHT, idle_share**SPEED_WEIGHT_EXPONENT)
        self.speed.update(prompt.expected_ms, observed_ms, weight, now_s)
        self._answered_at_s = now_s
        # The first token follows the end of the prefill after the base time; in that
        # time the next prompt is being read.
        base_ms = max(0.0, prompt.idle_ms - prompt.prefill_ms)
        read_at_s = now_s - base_ms * self.speed.factor(now_s) / 1000
        self._reading_since_s = max(self._reading_since_s, read_at_s)
        self._remove_stuck(prompt.started_at_s, now_s)

    def remove_matching(self, matches: Callable[[Hashable], bool]) -> None:
        """Remove the pending requests whose key matches ``matches``."""
        super().remove_matching(matches)
        for key in tuple(filter(matches, self.prompts)):
            self._remove(key)

    def backlog(self, now_s: float) -> Backlog:
        """Return the prefill that is left of the pending requests."""
        prompts = self.prompts
        while prompts:
            key, oldest = next(iter(prompts.items()))
            if oldest.started_at_s >= now_s - MAX_FIRST_TOKEN_WAIT_S:
                break
            self._remove(key)
        else:
            return _NO_BACKLOG
        since_s = max(self._reading_since_s, oldest.started_at_s)
        elapsed_ms = (now_s - since_s) * 1000
        waiting_ms = max(0.0, self._prefill_ms - oldest.prefill_ms)
        read_ms = elapsed_ms / self.speed.factor(now_s)
        reading_ms = oldest.prefill_ms - read_ms
        if reading_ms < 0.0:
            # The oldest prompt has been read, and the next one is being read.
            waiting_ms = max(0.0, waiting_ms + reading_ms)
            reading_ms = 0.0
        progress_s = max(since_s, self._answered_at_s)
        overdue_ms = max(0.0, (now_s - progress_s) * 1000 - oldest.due_ms)
        return Backlog(reading_ms, waiting_ms, overdue_ms)

    def _remove(self, key: Hashable) -> PendingPrompt | None:
        prompt = self.prompts.pop(key, None)
        if prompt is not None:
            self._prefill_ms -= prompt.prefill_ms
        return prompt

    def _remove_stuck(self, answered_start_s: float, now_s: float) -> None:
        """Remove older requests that are long overdue: a later one was answered."""
        if not self.prompts:
            return
        for key, prompt in tuple(self.prompts.items()):
            if prompt.started_at_s >= answered_start_s:
                return
            if now_s - prompt.started_at_s > prompt.due_ms / 1000 + STUCK_S:
                self._remove(key)
