"""The models of one request for which the relay chooses them."""

from collections.abc import Callable, Sequence

import attrs

from cardamomnotch_core.relay.model_choice.models import (
    ChoiceReason,
    ChoiceRequest,
    ModelDecision,
)
from cardamomnotch_core.relay.node import RelayNode

from .attempts import Attempt


class ModelSelection:
    """Asks the node for the models of one request, and keeps its last decision."""

    def __init__(
        self,
        *,
        node: RelayNode,
        request: ChoiceRequest,
        body_bytes: int,
        clock: Callable[[], float],
        arrived_at_s: float,
    ) -> None:
        self._node = node
        self._request = request
        self._body_bytes = body_bytes
        self._clock = clock
        self._arrived_at_s = arrived_at_s
        self._first = node.first_model(request, body_bytes, clock())
        self._decision = self._first

    @property
    def decision(self) -> ModelDecision:
        """Return the last decision."""
        return self._decision

    @property
    def first_model(self) -> str:
        """Return the model that is asked first."""
        assert self._first.model is not None
        return self._first.model

    def choose_next(
        self, attempt: Attempt, *, runs_left: int, has_failed_attempt: bool
    ) -> str | None:
        """Return the model to ask after the answer of ``attempt``.

        Return None if the answer is kept. Otherwise the retry budget has granted the
        next attempt.
        """
        now_s, choice = self._clock(), self._node.model_choice
        answer = attempt.answer(now_s - self._arrived_at_s)
        choice.record_answer(self._request, answer)
        if not choice.lacks_confidence(self._request, answer):
            return None
        rerun = _Rerun(
            is_repeatable=self._request.route.repeat.is_repeatable,
            is_suspect=self._node.quarantine.is_repeat_suspect(
                self._request.facts.suspects
            ),
            runs_left=runs_left,
            has_failed_attempt=has_failed_attempt,
        )
        service = self._request.service.name
        for reason, applies in _OBSTACLES:
            if applies(rerun):
                shortage = choice.shortage(service, now_s)
                self._decision = ModelDecision(None, reason, shortage)
                return None
        decision = self._node.next_model(self._request, answer, self._body_bytes, now_s)
        # Without a grant the answer would be dropped, and no attempt would follow.
        if decision.model is not None and not self._node.allow_retry(
            service, now_s, is_escalation=True
        ):
            decision = attrs.evolve(
                decision, model=None, reason=ChoiceReason.KEPT_BUDGET
            )
        self._decision = decision
        return decision.model

    def record_pause(self, since_s: float) -> None:
        """Record that the next part of a stream has arrived, after a wait for it."""
        now_s = self._clock()
        self._node.model_choice.record_pause(self._request, now_s - since_s, now_s)

    def record_output(self, events: int) -> None:
        """Record the events of a complete stream, if the service states their size."""
        tokens = events * self._request.service.tokens_per_event
        if tokens:
            self._node.model_choice.record_output(self._request.route, tokens)


@attrs.frozen(kw_only=True)
class _Rerun:
    """What decides whether a request may run again, whatever the load."""

    is_repeatable: bool
    # Whether an upstream crashes with a dropped answer is known late.
    is_suspect: bool
    runs_left: int
    has_failed_attempt: bool


# What rules a second run out, in the order of the reasons that are logged. After a
# failed attempt the last one is reserved for another failure.
_OBSTACLES: Sequence[tuple[ChoiceReason, Callable[[_Rerun], bool]]] = (
    (ChoiceReason.KEPT_REPEAT, lambda rerun: not rerun.is_repeatable),
    (ChoiceReason.KEPT_SUSPECT, lambda rerun: rerun.is_suspect),
    (
        ChoiceReason.KEPT_ATTEMPTS,
        lambda rerun: rerun.runs_left < (2 if rerun.has_failed_attempt else 1),
    ),
)
