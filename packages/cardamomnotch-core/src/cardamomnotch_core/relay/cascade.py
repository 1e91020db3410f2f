"""Choice of a model by the confidence of the smaller model's answer."""

from .const import DEFAULT_CONFIDENCE_FLOOR
from .models import Route


class Cascade:
    """Asks the smallest model first, and the largest if confidence is low."""

    def __init__(self, confidence_floor: int = DEFAULT_CONFIDENCE_FLOOR) -> None:
        self._confidence_floor = confidence_floor

    def first_model(self, route: Route) -> str:
        """Return the model that is asked first."""
        return route.models[0]

    def next_model(
        self, route: Route, model: str, confidence: int | None
    ) -> str | None:
        """Return the model to ask after ``model``, or None to keep its answer.

        ``confidence`` is the model's own rating of its answer, 0 to 100; None
        if it did not give one.
        """
        if confidence is None or model == route.models[-1]:
            return None
        if confidence >= self._confidence_floor:
            return None
        return route.models[-1]
