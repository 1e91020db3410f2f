"""Estimates of what an upstream takes for a request.

Answers the load of many prompts at once on upstreams of unequal speed: upstreams read
prompts one after the other, the most urgent first, between the tokens of running
requests. What one request takes is learned for each service and model from this
entry's attempts, and the speed of each upstream from the attempts of all entries.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Hashable, Iterator
from typing import TYPE_CHECKING

import attrs

from ..models import RequestFacts
from ..placement.const import RUNNING_REQUEST_DELAY_MS
from ..placement.first_token import FirstTokenModel
from .calibration import Calibration
from .const import (
    DECODING_DEVIATIONS,
    DECODING_MAXIMUMS,
    DECODING_MINIMUMS,
    DECODING_PRIOR,
    FIRST_TOKEN_DEVIATIONS,
    FIRST_TOKEN_MAXIMUMS,
    FIRST_TOKEN_MINIMUMS,
    FIRST_TOKEN_PRIOR,
    LOAD_LIMITS_MS,
    MAX_ESTIMATED_MODELS,
)
from .models import LOAD_CLASSES, ErrorSummary, FirstTokenEstimate, UsualTimes
from .queue import PendingPrompt
from .regression import CoefficientLimits, LinearTime

if TYPE_CHECKING:
    from ..fleet import UpstreamState

_FIRST_TOKEN_LIMITS = CoefficientLimits(
    prior=FIRST_TOKEN_PRIOR,
    deviations=FIRST_TOKEN_DEVIATIONS,
    minimums=FIRST_TOKEN_MINIMUMS,
    maximums=FIRST_TOKEN_MAXIMUMS,
)
_DECODING_LIMITS = CoefficientLimits(
    prior=DECODING_PRIOR,
    deviations=DECODING_DEVIATIONS,
    minimums=DECODING_MINIMUMS,
    maximums=DECODING_MAXIMUMS,
)


@attrs.define
class _ModelTimes:
    """What was learned of one model of one service."""

    first_token: LinearTime
    calibrations: tuple[Calibration, ...]


@attrs.define
class _Sample:
    """An attempt of this entry, as it was expected at its start."""

    times: _ModelTimes
    inputs: tuple[float, ...]
    # Class of the expected wait, as an index.
    load: int
    # Expected time without other requests, expected wait before the correction, and
    # their sum after it, in milliseconds.
    idle_ms: float
    waiting_ms: float
    expected_ms: float
    overdue_ms: float
    output_tokens: int


@attrs.define
class _Decoding:
    """An attempt of this entry whose answer has begun."""

    times: LinearTime
    inputs: tuple[float, ...]
    speed: float
    began_at_s: float


class UpstreamEstimates:
    """Estimates the times to the first token and to the end, by upstream.

    Requests without a prompt have the estimate of ``first_tokens`` and of the
    upstream's queue alone.
    """

    def __init__(self, first_tokens: FirstTokenModel | None = None) -> None:
        self.first_tokens = first_tokens or FirstTokenModel()
        self._models: dict[tuple[str, str], _ModelTimes] = {}
        self._decoding_times: dict[str, LinearTime] = {}
        # This entry's attempts, by their key, until their first token and end.
        self._samples: dict[Hashable, _Sample] = {}
        self._decodings: dict[Hashable, _Decoding] = {}

    @property
    def errors(self) -> Iterator[ErrorSummary]:
        """Yield the ratio of observed to expected times by model and load."""
        for (service, model), times in self._models.items():
            for load, item in zip(LOAD_CLASSES, times.calibrations, strict=True):
                if item.samples:
                    yield ErrorSummary(
                        service=service,
                        model=model,
                        load=load,
                        samples=item.samples,
                        median=item.median,
                        spread=item.spread,
                    )

    @property
    def tracked_count(self) -> int:
        """Return how many attempts of this entry are followed."""
        return len(self._samples) + len(self._decodings)

    def first_token(
        self,
        state: UpstreamState,
        facts: RequestFacts,
        model: str,
        unread_tokens: int,
        now_s: float,
    ) -> FirstTokenEstimate:
        """Return the expected time to the first token of a request sent now."""
        queue = state.queue
        if not facts.prompt_tokens:
            waiting_ms = queue.waiting_ms(now_s, max(1, state.upstream.slots))
            waiting_ms += state.running(now_s) * RUNNING_REQUEST_DELAY_MS
            prefill_ms = self.first_tokens.expected_ms(model, unread_tokens)
            return FirstTokenEstimate(prefill_ms, waiting_ms)
        service = state.upstream.service
        times = self._models.get((service, model)) or self._add_times(service, model)
        base, rate, busy_rate, running_delay, reading, waiting = (
            times.first_token.coefficients
        )
        idle_ms = base + rate * unread_tokens
        running = state.running(now_s)
        waiting_ms = overdue_ms = 0.0
        if running:
            waiting_ms = running * (running_delay + busy_rate * unread_tokens)
        if queue.prompts:
            backlog = queue.backlog(now_s)
            waiting_ms += reading * backlog.reading_ms + waiting * backlog.waiting_ms
            overdue_ms = backlog.overdue_ms
        speed = queue.speed.factor(now_s)
        waiting_ms = waiting_ms * speed + overdue_ms
        calibration = times.calibrations[bisect_right(LOAD_LIMITS_MS, waiting_ms)]
        correction = calibration.correction
        return FirstTokenEstimate(
            idle_ms * speed, waiting_ms * correction, calibration.spread
        )

    def prefill_ms(self, service: str, model: str, unread_tokens: int) -> float:
        """Return the expected time to the first token on an idle upstream.

        The upstream has the usual speed of its service.
        """
        base, rate, *_ = self._times(service, model).first_token.coefficients
        return base + rate * unread_tokens

    def end_ms(
        self, state: UpstreamState, model: str, output_tokens: int, now_s: float
    ) -> float:
        """Return the expected time from the first token to the end.

        ``model`` is not used yet: engines run the tokens of all models in one batch,
        and the recorded paces of small and large models do not differ.
        """
        if not output_tokens:
            return 0.0
        times = self._decoding(state.upstream.service)
        inputs = _decoding_inputs(state, output_tokens, now_s)
        return times.expected(inputs) * state.queue.speed.factor(now_s)

    def record_sent(
        self,
        state: UpstreamState,
        key: Hashable,
        facts: RequestFacts,
        model: str,
        unread_tokens: int,
        now_s: float,
    ) -> UsualTimes:
        """Record an attempt of this entry before it counts as running."""
        if not facts.prompt_tokens:
            estimate = self.first_token(state, facts, model, unread_tokens, now_s)
            prefill_ms = estimate.prefill_ms
            state.queue.start(key, prefill_ms, now_s, max(1, state.upstream.slots))
            return UsualTimes(prefill_ms, prefill_ms + estimate.waiting_ms)
        times = self._times(state.upstream.service, model)
        running = state.running(now_s)
        backlog = state.queue.backlog(now_s)
        inputs = (
            1.0,
            unread_tokens,
            unread_tokens * running,
            running,
            backlog.reading_ms,
            backlog.waiting_ms,
        )
        speed = state.queue.speed.factor(now_s)
        modelled_ms = times.first_token.expected(inputs)
        base, rate, *_ = times.first_token.coefficients
        prompt_ms = rate * unread_tokens
        idle_ms = base + prompt_ms
        usual_wait_ms = modelled_ms - idle_ms
        waiting_ms = usual_wait_ms * speed + backlog.overdue_ms
        load = bisect_right(LOAD_LIMITS_MS, waiting_ms)
        correction = times.calibrations[load].correction
        expected_ms = idle_ms * speed + waiting_ms * correction
        self._samples[key] = _Sample(
            times=times,
            inputs=inputs,
            load=load,
            idle_ms=idle_ms * speed,
            waiting_ms=waiting_ms,
            expected_ms=expected_ms,
            overdue_ms=backlog.overdue_ms,
            output_tokens=facts.likely_output_tokens,
        )
        pending = PendingPrompt(
            prefill_ms=prompt_ms,
            started_at_s=now_s,
            expected_ms=idle_ms + usual_wait_ms * correction,
            idle_ms=idle_ms,
            due_ms=expected_ms,
        )
        state.queue.start(key, pending.idle_ms, now_s, prompt=pending)
        return UsualTimes(pending.idle_ms, pending.expected_ms + backlog.overdue_ms)

    def record_sent_by_other(
        self,
        state: UpstreamState,
        key: Hashable,
        model: str,
        idle_ms: float,
        now_s: float,
    ) -> None:
        """Record another entry's attempt, of which a notice has arrived.

        ``idle_ms`` is the time to the first token that the entry expects on an idle
        upstream.
        """
        times = self._times(state.upstream.service, model)
        base, _, _, running_delay, reading, waiting = times.first_token.coefficients
        backlog = state.queue.backlog(now_s)
        expected_ms = idle_ms + running_delay * state.running(now_s)
        expected_ms += reading * backlog.reading_ms + waiting * backlog.waiting_ms
        speed = state.queue.speed.factor(now_s)
        pending = PendingPrompt(
            prefill_ms=max(0.0, idle_ms - base),
            started_at_s=now_s,
            expected_ms=expected_ms,
            idle_ms=idle_ms,
            due_ms=expected_ms * speed + backlog.overdue_ms,
        )
        state.queue.start(key, idle_ms, now_s, prompt=pending)

    def record_first_token(
        self, state: UpstreamState, key: Hashable, first_token_s: float, now_s: float
    ) -> None:
        """Learn from the first token of an attempt of this entry."""
        state.queue.finish(key, now_s, answered=True)
        sample = self._samples.pop(key, None)
        if sample is None:
            return
        observed_ms = first_token_s * 1000
        speed = state.queue.speed
        # What shows a change of this upstream's speed says little of the others.
        if not sample.overdue_ms and not speed.is_changing:
            sample.times.first_token.update(
                sample.inputs, observed_ms / speed.factor(now_s)
            )
        sample.times.calibrations[sample.load].update(
            sample.idle_ms, sample.waiting_ms, sample.expected_ms, observed_ms
        )
        if sample.output_tokens:
            self._decodings[key] = _Decoding(
                self._decoding(state.upstream.service),
                _decoding_inputs(state, sample.output_tokens, now_s),
                state.queue.speed.factor(now_s),
                now_s,
            )

    def record_end(
        self, state: UpstreamState, key: Hashable, now_s: float, *, completed: bool
    ) -> None:
        """Record the end of an attempt of this entry; learn from a completed one."""
        state.queue.finish(key, now_s, answered=False)
        self._samples.pop(key, None)
        decoding = self._decodings.pop(key, None)
        if decoding is not None and completed:
            elapsed_ms = (now_s - decoding.began_at_s) * 1000
            decoding.times.update(decoding.inputs, elapsed_ms / decoding.speed)

    def _times(self, service: str, model: str) -> _ModelTimes:
        times = self._models.get((service, model))
        return times or self._add_times(service, model)

    def _add_times(self, service: str, model: str) -> _ModelTimes:
        """Start with what other models of the service have shown of its engine."""
        coefficients = FIRST_TOKEN_PRIOR
        for (other, _), known in self._models.items():
            if other == service:
                base, _, _, *rest = known.first_token.coefficients
                coefficients = (base, *FIRST_TOKEN_PRIOR[1:3], *rest)
        if len(self._models) >= MAX_ESTIMATED_MODELS:
            del self._models[next(iter(self._models))]
        times = _ModelTimes(
            LinearTime(_FIRST_TOKEN_LIMITS, coefficients),
            tuple(Calibration() for _ in LOAD_CLASSES),
        )
        self._models[service, model] = times
        return times

    def _decoding(self, service: str) -> LinearTime:
        times = self._decoding_times.get(service)
        if times is None:
            if len(self._decoding_times) >= MAX_ESTIMATED_MODELS:
                del self._decoding_times[next(iter(self._decoding_times))]
            times = self._decoding_times[service] = LinearTime(_DECODING_LIMITS)
        return times


def _decoding_inputs(
    state: UpstreamState, output_tokens: int, now_s: float
) -> tuple[float, ...]:
    backlog = state.queue.backlog(now_s)
    return (
        output_tokens,
        output_tokens * state.running(now_s),
        backlog.reading_ms + backlog.waiting_ms,
    )
