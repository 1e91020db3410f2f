"""The rule that chose the model before upstream time was shared out.

Without shortage the decisions must still be these.
"""

ESCALATION_LATENCY_FRACTION = 0.8


class EarlierRule:
    """Asks the smallest model first, and the largest if confidence is low."""

    def __init__(self):
        self.low_shares = {}

    def first_model(self, route, idle, placement_of):
        """Return the model that is asked first."""
        smallest, largest = route.models[0], route.models[-1]
        limit_s = route.target_latency_s * ESCALATION_LATENCY_FRACTION
        if (
            smallest == largest
            or not route.repeat.is_repeatable
            or idle.smallest_s + idle.largest_s <= limit_s * 0.7
        ):
            return smallest
        share = self.low_shares.get(route.name, 0.5)
        if share < 0.25:
            return smallest
        first, second = placement_of(smallest), placement_of(largest)
        if first is None or second is None:
            return smallest
        if second.waiting_ms > 60.0:
            return smallest
        largest_s = second.expected_ms / 1000
        both_s = first.expected_ms / 1000 + largest_s
        return largest if largest_s <= limit_s < both_s else smallest

    def record_answer(self, route, model, confidence):
        """Record the confidence of a model's answer."""
        if confidence is None or not route.models or model != route.models[0]:
            return
        share = self.low_shares.get(route.name, 0.5)
        self.low_shares[route.name] = share + 0.05 * ((confidence < 50) - share)

    def next_model(self, route, model, confidence, elapsed_s, placement_of):
        """Return the model to ask after ``model``, or None to keep its answer."""
        if confidence is None or model == route.models[-1] or confidence >= 50:
            return None
        placement = placement_of(route.models[-1])
        if placement is None:
            return None
        expected_s = elapsed_s + placement.expected_ms / 1000
        limit_s = route.target_latency_s * ESCALATION_LATENCY_FRACTION
        return route.models[-1] if expected_s <= limit_s else None
