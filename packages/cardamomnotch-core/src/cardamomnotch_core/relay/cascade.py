"""Choice of a model by the smaller model's own confidence."""

from .const import DEFAULT_CONFIDENCE_FLOOR
from .models import Route


class Cascade:
    """Starts with the smallest model, and goes to the largest in doubt."""

    def __init__(self, confidence_floor: int = DEFAULT_CONFIDENCE_FLOOR) -> None:
        self._confidence_floor = confidence_floor

    def first_model(self, route: Route) -> str:
        """Return the model that is asked first."""
        return route.models[0]

    def next_model(
        self, route: Route, model: str, confidence: int | None
    ) -> str | None:
        """Return a better model for an answer of ``model``, or None.

        ``confidence`` is the model's own opinion of its answer, 0 to 100.
        """
        if confidence is None or model == route.models[-1]:
            return None
        if confidence >= self._confidence_floor:
            return None
        return route.models[-1]
