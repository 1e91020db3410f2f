"""What is learned of a route's answers, by model and size of the request.

Answers one load: routes whose requests differ in size and in how often the smallest
model suffices, of which the configuration says nothing.
"""

from collections.abc import Iterable, Mapping

import attrs

from ..models import RequestFacts, Route
from .const import (
    BASE_SIZE_FACTOR,
    DEFAULT_LARGEST_CHANCE,
    DEFAULT_LOW_CONFIDENCE_SHARE,
    DEFAULT_MIDDLE_POSITION,
    LEARNING_STEP,
    MAX_SIZE_FACTOR,
    SIZE_CLASS_BOUNDS,
)


@attrs.define
class _Mean:
    """Mean that forgets old samples; the first ones are averaged."""

    value: float = 0.0
    samples: int = 0

    def update(self, sample: float) -> None:
        self.samples += 1
        step = max(LEARNING_STEP, 1 / self.samples)
        self.value += step * (sample - self.value)


@attrs.define
class _RouteQuality:
    # Share of the smallest model's answers with low confidence.
    low_share: float = DEFAULT_LOW_CONFIDENCE_SHARE
    # Share of the answers without low confidence by model and size class.
    chances: dict[tuple[str, int], float] = attrs.field(factory=dict)
    prompt_tokens: _Mean = attrs.field(factory=_Mean)
    output_tokens: _Mean = attrs.field(factory=_Mean)


class QualityEstimates:
    """Estimates how probably a model's answer to a request is good.

    Of each route at most one figure for each of its models and size classes is
    stored.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteQuality] = {}

    def set_routes(self, routes: Iterable[Route]) -> None:
        """Delete what was learned of routes and models other than these."""
        models = {route.name: route.models for route in routes}
        for name in self._routes.keys() - models.keys():
            del self._routes[name]
        for name, learned in self._routes.items():
            for key in tuple(learned.chances):
                if key[0] not in models[name]:
                    del learned.chances[key]

    def record_prompt(self, route: Route, facts: RequestFacts) -> None:
        """Record the size of a request."""
        self._learned(route).prompt_tokens.update(facts.prompt_tokens)

    def record_output(self, route: Route, tokens: int) -> None:
        """Record how many tokens a complete answer had."""
        self._learned(route).output_tokens.update(tokens)

    def record_answer(
        self, route: Route, facts: RequestFacts, model: str, *, is_low: bool
    ) -> None:
        """Record whether a model's answer had low confidence."""
        if model not in route.models:
            return
        learned = self._learned(route)
        if model == route.models[0]:
            learned.low_share += LEARNING_STEP * (is_low - learned.low_share)
        chance = self.chance(route, facts, model)
        key = model, self._size_class(route, facts)
        learned.chances[key] = chance + LEARNING_STEP * ((not is_low) - chance)

    def low_share(self, route: Route) -> float:
        """Return the share of the smallest model's answers with low confidence."""
        learned = self._routes.get(route.name)
        return learned.low_share if learned else DEFAULT_LOW_CONFIDENCE_SHARE

    def is_known(self, route: Route, facts: RequestFacts, model: str) -> bool:
        """Return whether there were answers of the model to such requests."""
        learned = self._routes.get(route.name)
        key = model, self._size_class(route, facts)
        return learned is not None and key in learned.chances

    def chance(
        self,
        route: Route,
        facts: RequestFacts,
        model: str,
        smallest_chance: float | None = None,
    ) -> float:
        """Return the probability that a model's answer is good.

        ``smallest_chance`` is that of a smaller model's answer to this request, if
        there is one. A model without answers is placed between its neighbours.
        """
        learned = self._routes.get(route.name)
        size_class = self._size_class(route, facts)
        known = learned.chances.get((model, size_class)) if learned else None
        if known is not None:
            return known
        if model == route.models[0]:
            return 1 - self.low_share(route)
        if model == route.models[-1]:
            return DEFAULT_LARGEST_CHANCE
        largest = self.chance(route, facts, route.models[-1])
        lower = smallest_chance
        if lower is None:
            below = route.models[route.models.index(model) - 1]
            lower = self.chance(route, facts, below)
        return lower + DEFAULT_MIDDLE_POSITION * (largest - lower)

    def size_factor(self, route: Route, facts: RequestFacts) -> float:
        """Return the loss without a good answer, relative to a mean request's."""
        relative = self._relative_size(route, facts)
        return min(
            MAX_SIZE_FACTOR, BASE_SIZE_FACTOR + (1 - BASE_SIZE_FACTOR) * relative
        )

    def output_tokens(self, route: Route, facts: RequestFacts) -> int:
        """Return the expected number of output tokens; 0 if nothing is known."""
        learned = self._routes.get(route.name)
        expected = facts.expected_output_tokens
        if not expected and learned:
            expected = round(learned.output_tokens.value)
        limit = facts.max_output_tokens
        return min(expected, limit) if expected and limit else expected

    def as_dict(self) -> Mapping[str, object]:
        """Return what was learned, by route, for the state dump."""
        return {
            name: {
                "low_share": round(learned.low_share, 3),
                "prompt_tokens": round(learned.prompt_tokens.value),
                "output_tokens": round(learned.output_tokens.value),
                "good": {
                    f"{model}/{size_class}": round(chance, 3)
                    for (model, size_class), chance in learned.chances.items()
                },
            }
            for name, learned in self._routes.items()
        }

    def _learned(self, route: Route) -> _RouteQuality:
        return self._routes.setdefault(route.name, _RouteQuality())

    def _relative_size(self, route: Route, facts: RequestFacts) -> float:
        learned = self._routes.get(route.name)
        if learned is None or not learned.prompt_tokens.value:
            return 1.0
        return facts.prompt_tokens / learned.prompt_tokens.value

    def _size_class(self, route: Route, facts: RequestFacts) -> int:
        relative = self._relative_size(route, facts)
        return sum(relative >= bound for bound in SIZE_CLASS_BOUNDS)
