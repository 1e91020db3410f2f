"""What the outcome of an attempt says about its upstream."""

from typing import Final

from cardamomnotch_core.relay.crashes.detection import AttemptEnd

from .models import AttemptOutcome

# Outcomes that are no evidence for or against the upstream's version.
NEUTRAL_OUTCOMES: Final = frozenset(
    {AttemptOutcome.NOT_RUN, AttemptOutcome.UNREACHABLE, AttemptOutcome.CANCELLED}
)
# What each outcome says about a crash of the upstream.
ATTEMPT_ENDS: Final = {
    AttemptOutcome.ANSWERED: AttemptEnd.COMPLETED,
    AttemptOutcome.BROKEN: AttemptEnd.LOST,
    AttemptOutcome.CANCELLED: AttemptEnd.ABANDONED,
    AttemptOutcome.FAILED: AttemptEnd.NEUTRAL,
    AttemptOutcome.INVALID: AttemptEnd.NEUTRAL,
    AttemptOutcome.LOST: AttemptEnd.LOST,
    AttemptOutcome.NOT_RUN: AttemptEnd.NEUTRAL,
    AttemptOutcome.UNREACHABLE: AttemptEnd.NEUTRAL,
    AttemptOutcome.UNSURE: AttemptEnd.ABANDONED,
}
# Outcomes that count against the upstream's version in a rollout.
BAD_OUTCOMES: Final = frozenset(
    {
        AttemptOutcome.FAILED,
        AttemptOutcome.LOST,
        AttemptOutcome.BROKEN,
        AttemptOutcome.INVALID,
    }
)
