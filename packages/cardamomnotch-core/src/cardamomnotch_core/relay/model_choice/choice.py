"""Choice of a request's model as a share of the upstream time that there is.

Answers two loads: prompts so long that the largest model's first token would come too
late if a smaller model were asked before it; and more requests for larger models than
upstreams have time for, or the retry budget has room for, on which the requests that
lose most without one get it.
"""

from collections.abc import Callable, Iterable, Mapping
from functools import partial

import attrs

from ..const import ESCALATION_LATENCY_FRACTION
from ..models import RequestFacts, Route
from ..placement.placer import Placement
from .const import (
    DEFAULT_CONFIDENCE_FLOOR,
    DEFAULT_EXPLORED_SHARE,
    IDLE_TIME_FRACTION,
    MAX_WAIT_OF_LARGEST_MS,
    MIN_LOW_CONFIDENCE_SHARE,
)
from .demand import RecentDemand
from .in_time import chance_in_time, ends_too_late, is_in_time, upstream_time_ms
from .models import (
    Answer,
    ChoiceReason,
    ChoiceRequest,
    ModelDecision,
    PromptTimes,
    Rank,
    Shortage,
)
from .options import Option, best_option
from .quality import QualityEstimates
from .shortage import BudgetView, ShortageEstimates

# Returns where a model would be asked now; None if no upstream can take the request.
PlacementOf = Callable[[str], Placement | None]

# Returns whether a workspace uses far more than its share of a service at a time.
IsOverShare = Callable[[str, str, float], bool]


def never_over_share(service: str, workspace: str, now_s: float) -> bool:
    """Return False: no workspace counts as over its share."""
    return False


class ModelChoice:
    """Chooses the first model, and whether an answer is kept.

    Without shortage the smallest model is asked first, and the largest if confidence
    is low; the largest at once where it can answer in time only so.
    """

    def __init__(
        self,
        budget_use: BudgetView,
        *,
        is_over_share: IsOverShare = never_over_share,
        random_source: Callable[[], float],
        confidence_floor: int = DEFAULT_CONFIDENCE_FLOOR,
        explored_share: float = DEFAULT_EXPLORED_SHARE,
    ) -> None:
        self._shortages = ShortageEstimates(budget_use)
        self._quality = QualityEstimates()
        self._demand: dict[str, RecentDemand] = {}
        self._is_over_share = is_over_share
        self._random = random_source
        self._confidence_floor = confidence_floor
        self._explored_share = explored_share

    @property
    def services(self) -> Iterable[str]:
        """Return the services whose routes have several models."""
        return self._shortages.services

    def set_routes(self, routes: Iterable[Route]) -> None:
        """Set the routes in force, and delete what was learned of others."""
        routes = tuple(routes)
        self._shortages.set_routes(routes)
        self._quality.set_routes(routes)
        services = set(self.services)
        for name in self._demand.keys() - services:
            del self._demand[name]

    def record_wait(self, placement: Placement, now_s: float) -> None:
        """Record the wait of a request that is sent."""
        service = placement.state.upstream.service
        self._shortages.record_wait(service, placement.waiting_ms, now_s)

    def record_pause(
        self, request: ChoiceRequest, pause_s: float, now_s: float
    ) -> None:
        """Record a pause between two events of a stream."""
        longest_s = request.route.max_pause_s
        if longest_s > 0:
            fraction = pause_s / longest_s
            self._shortages.record_pause(request.service.name, fraction, now_s)

    def record_answer(self, request: ChoiceRequest, answer: Answer) -> None:
        """Record the confidence of a model's answer."""
        if answer.confidence is None:
            return
        is_low = answer.confidence < self._confidence_floor
        self._quality.record_answer(
            request.route, request.facts, answer.model, is_low=is_low
        )

    def record_output(self, route: Route, tokens: int) -> None:
        """Record how many tokens a complete answer of a route had."""
        self._quality.record_output(route, tokens)

    def shortage(self, service: str, now_s: float) -> Shortage:
        """Return how short the upstream time and the retry budget of a service are."""
        return self._shortages.get(service, now_s)

    def learned(self) -> Mapping[str, object]:
        """Return what was learned, by route, for the state dump."""
        return self._quality.as_dict()

    def with_expected_output(self, route: Route, facts: RequestFacts) -> RequestFacts:
        """Return the facts with the number of output tokens that is expected."""
        tokens = self._quality.output_tokens(route, facts)
        if tokens == facts.expected_output_tokens:
            return facts
        return attrs.evolve(facts, expected_output_tokens=tokens)

    def lacks_confidence(self, request: ChoiceRequest, answer: Answer) -> bool:
        """Return whether a larger model than the answer's is wanted."""
        return (
            answer.confidence is not None
            and answer.confidence < self._confidence_floor
            and answer.model != request.route.models[-1]
        )

    def first_model(
        self,
        request: ChoiceRequest,
        idle: PromptTimes,
        placement_of: PlacementOf,
        now_s: float,
    ) -> ModelDecision:
        """Return the model that is asked first.

        ``placement_of`` is called only if the prompt may be too long for two models,
        one after the other, or the retry budget is short.
        """
        route = request.route
        shortage = self.shortage(request.service.name, now_s)
        self._quality.record_prompt(route, request.facts)
        small = ModelDecision(route.models[0], ChoiceReason.SMALL, shortage)
        if not self._may_be_large_first(route, idle, shortage):
            return small
        second = placement_of(route.models[-1])
        if second is None or not is_in_time(route, 0.0, second):
            return small
        first = placement_of(route.models[0])
        if first is None:
            return small
        kept = Answer(
            model=route.models[0],
            confidence=None,
            elapsed_s=0.0,
            end_ms=first.expected_ms + first.end_ms,
        )
        if ends_too_late(request, kept, second):
            return small
        is_only_way = not is_in_time(route, first.expected_ms / 1000, second)
        if shortage.value <= 0:
            # A long prompt at the largest model holds up all others at its upstream.
            is_granted = is_only_way and second.waiting_ms <= MAX_WAIT_OF_LARGEST_MS
        else:
            is_granted = self._is_large_first_granted(
                request, first, second, shortage, now_s, is_only_way=is_only_way
            )
        if not is_granted:
            return small
        return ModelDecision(route.models[-1], ChoiceReason.LARGE_FIRST, shortage)

    def next_model(
        self,
        request: ChoiceRequest,
        answer: Answer,
        placement_of: PlacementOf,
        now_s: float,
    ) -> ModelDecision:
        """Return the model to ask after an answer that lacks confidence.

        Its model is None if the answer is kept.
        """
        route = request.route
        shortage = self.shortage(request.service.name, now_s)
        larger = route.models[route.models.index(answer.model) + 1 :]
        largest = placement_of(larger[-1])
        if largest is None:
            return ModelDecision(None, ChoiceReason.KEPT_NO_UPSTREAM, shortage)
        options = [self._option(request, answer, larger[-1], largest)]
        reason = self._obstacle(request, answer, largest)
        least_gain = 0.0 if reason else options[0].gain * (1 - shortage.value)
        for model in larger[:-1]:
            if not self._considers_middle(request, answer, model, shortage, least_gain):
                continue
            placement = placement_of(model)
            if placement is not None:
                options.append(self._option(request, answer, model, placement))
        usable = [
            option
            for option in options
            if self._obstacle(request, answer, option.placement) is None
        ]
        if not usable:
            if reason is ChoiceReason.KEPT_IN_TIME:
                self._add_late_wish(request, answer, options[0], now_s)
            return ModelDecision(None, reason, shortage)
        option = best_option(
            usable,
            options[0],
            shortage,
            partial(self._quality.is_known, request.route, request.facts),
        )
        rank = self._add_wish(request, option, now_s)
        if not self._is_granted(request, rank, 1 - shortage.value):
            reason = (
                ChoiceReason.KEPT_BUDGET
                if shortage.budget_part >= shortage.time_part
                else ChoiceReason.KEPT_SHORTAGE
            )
            return ModelDecision(None, reason, shortage)
        return ModelDecision(option.model, ChoiceReason.ESCALATED, shortage)

    def _may_be_large_first(
        self, route: Route, idle: PromptTimes, shortage: Shortage
    ) -> bool:
        if len(route.models) < 2 or not route.repeat.is_repeatable:
            return False
        if self._quality.low_share(route) < MIN_LOW_CONFIDENCE_SHARE:
            return False
        limit_s = route.target_latency_s * ESCALATION_LATENCY_FRACTION
        both_s = idle.smallest_s + idle.largest_s
        if shortage.value > 0:
            both_s += 2 * shortage.wait_ms / 1000
        return shortage.budget_part > 0 or both_s > limit_s * IDLE_TIME_FRACTION

    def _is_large_first_granted(
        self,
        request: ChoiceRequest,
        first: Placement,
        second: Placement,
        shortage: Shortage,
        now_s: float,
        *,
        is_only_way: bool,
    ) -> bool:
        """Return whether a request gets the largest model at once under shortage.

        This takes upstream time, but none of the retry budget: the shorter that is,
        the more of the requests that rank highest get the largest model at once.
        """
        share = 1 - shortage.time_part
        if not is_only_way:
            if second.waiting_ms > MAX_WAIT_OF_LARGEST_MS:
                return False
            share *= shortage.budget_part
        smallest_chance = self._quality.chance(
            request.route, request.facts, request.route.models[0]
        )
        kept_chance = smallest_chance * chance_in_time(request.route, 0.0, first)
        option = self._valued(
            request, request.route.models[-1], second, 0.0, kept_chance
        )
        if option.gain <= 0:
            return False
        rank = self._add_wish(request, option, now_s)
        return self._is_granted(request, rank, share)

    def _obstacle(
        self, request: ChoiceRequest, answer: Answer, placement: Placement
    ) -> ChoiceReason | None:
        """Return why a larger model cannot answer in time; None if it can."""
        if not is_in_time(request.route, answer.elapsed_s, placement):
            return ChoiceReason.KEPT_IN_TIME
        if ends_too_late(request, answer, placement):
            return ChoiceReason.KEPT_END
        return None

    def _considers_middle(
        self,
        request: ChoiceRequest,
        answer: Answer,
        model: str,
        shortage: Shortage,
        least_gain: float,
    ) -> bool:
        """Return whether a model between two others is compared with the largest.

        Under shortage it is if it could pay, without its time; otherwise a model
        without answers is, for a small share of the requests.
        """
        if shortage.value > 0:
            kept = (answer.confidence or 0) / 100
            chance = self._quality.chance(request.route, request.facts, model, kept)
            return chance - kept > least_gain
        return (
            self._explored_share > 0
            and not self._quality.is_known(request.route, request.facts, model)
            and self._random() < self._explored_share
        )

    def _option(
        self, request: ChoiceRequest, answer: Answer, model: str, placement: Placement
    ) -> Option:
        kept_chance = (answer.confidence or 0) / 100
        return self._valued(request, model, placement, answer.elapsed_s, kept_chance)

    def _valued(
        self,
        request: ChoiceRequest,
        model: str,
        placement: Placement,
        elapsed_s: float,
        kept_chance: float,
    ) -> Option:
        route, facts = request.route, request.facts
        chance = self._quality.chance(route, facts, model, kept_chance)
        chance *= chance_in_time(route, elapsed_s, placement)
        return Option(
            model=model,
            placement=placement,
            gain=chance - kept_chance,
            time_ms=upstream_time_ms(placement),
            cost=request.service.model_costs.get(model, 0.0),
        )

    def _add_late_wish(
        self, request: ChoiceRequest, answer: Answer, option: Option, now_s: float
    ) -> None:
        """Count a wish as demand that only the load makes late.

        On idle upstreams the larger model alone would be in time. Otherwise requests
        that rank lower would keep the upstreams busy.
        """
        route = request.route
        idle_s = option.placement.prefill_ms / 1000
        if idle_s > route.target_latency_s * ESCALATION_LATENCY_FRACTION:
            return
        gain = self._quality.chance(route, request.facts, option.model)
        gain -= (answer.confidence or 0) / 100
        self._add_wish(request, attrs.evolve(option, gain=gain), now_s)

    def _add_wish(self, request: ChoiceRequest, option: Option, now_s: float) -> Rank:
        service = request.service.name
        loss = self._quality.size_factor(request.route, request.facts) * option.gain
        rank = Rank(
            request.priority,
            self._is_over_share(service, request.workspace_name, now_s),
            loss / option.time_ms,
        )
        demand = self._demand.get(service)
        if demand is None:
            demand = self._demand[service] = RecentDemand(self._random)
        demand.add(rank, option.time_ms, now_s)
        return rank

    def _is_granted(self, request: ChoiceRequest, rank: Rank, share: float) -> bool:
        """Return whether a wish ranks within ``share`` of the wanted upstream time."""
        if share >= 1:
            return True
        return self._demand[request.service.name].position(rank) < share
