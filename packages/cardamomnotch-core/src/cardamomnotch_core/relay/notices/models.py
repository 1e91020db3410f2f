"""Notices by which entries share their attempts in flight."""

from enum import StrEnum

import attrs

from ..models import PromptPart


class LoadKind(StrEnum):
    """Event in the life of an attempt."""

    STARTED = "s"
    ANSWERED = "a"
    ENDED = "e"


@attrs.frozen(kw_only=True)
class LoadNotice:
    """One event of one attempt, sent to the other entries.

    The loss of a notice has no lasting effect: attempts without an end notice
    expire.
    """

    kind: LoadKind
    # Number of the attempt, unique within its entry.
    attempt: int
    # Hash of the workspace's name, in all notices of an attempt; empty if unknown.
    workspace: str = ""
    # The remaining fields are only set in start notices.
    upstream_id: str = ""
    # Expected time to the first token on an idle upstream, in milliseconds.
    prefill_ms: int = 0
    model: str = ""
    # The parts of the prompt that may also occur in other requests.
    prompt: tuple[PromptPart, ...] = ()
    # Only set for sessions that the first stage of a rollout moves.
    session: str = ""
