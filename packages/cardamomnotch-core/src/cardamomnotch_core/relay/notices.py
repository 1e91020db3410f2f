"""What entries tell each other of their requests at upstreams."""

from enum import StrEnum

import attrs

from .models import PromptPart


class LoadKind(StrEnum):
    """What has happened to an attempt."""

    STARTED = "s"
    ANSWERED = "a"
    ENDED = "e"


@attrs.frozen(kw_only=True)
class LoadNotice:
    """One event of one attempt; losing a notice does no lasting harm."""

    kind: LoadKind
    # Identifies the attempt within its entry.
    attempt: int
    # The rest is told of a start only.
    upstream_id: str = ""
    # Expected time to read the prompt.
    prefill_ms: int = 0
    model: str = ""
    # The parts of the prompt that other requests may share.
    prompt: tuple[PromptPart, ...] = ()
    # Only of sessions that a roll-out would move first.
    session: str = ""
