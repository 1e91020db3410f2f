"""The life of an upstream as one entry sees it."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Final


class MemberState(StrEnum):
    """Where an upstream stands."""

    # Listed; its sidecar has not answered yet.
    JOINING = "joining"
    LIVE = "live"
    # Its sidecar does not answer.
    SUSPECT = "suspect"
    # Listed as leaving; what runs there ends.
    LEAVING = "leaving"
    # No longer listed.
    GONE = "gone"


class MemberSignal(StrEnum):
    """What is heard of an upstream."""

    LISTED = "listed"
    LISTED_LEAVING = "listed as leaving"
    UNLISTED = "unlisted"
    ANSWERED = "answered"
    SILENT = "silent"


TRANSITIONS: Final[Mapping[tuple[MemberState, MemberSignal], MemberState]] = {
    (MemberState.JOINING, MemberSignal.LISTED): MemberState.JOINING,
    (MemberState.JOINING, MemberSignal.LISTED_LEAVING): MemberState.LEAVING,
    (MemberState.JOINING, MemberSignal.UNLISTED): MemberState.GONE,
    (MemberState.JOINING, MemberSignal.ANSWERED): MemberState.LIVE,
    (MemberState.JOINING, MemberSignal.SILENT): MemberState.JOINING,
    (MemberState.LIVE, MemberSignal.LISTED): MemberState.LIVE,
    (MemberState.LIVE, MemberSignal.LISTED_LEAVING): MemberState.LEAVING,
    (MemberState.LIVE, MemberSignal.UNLISTED): MemberState.GONE,
    (MemberState.LIVE, MemberSignal.ANSWERED): MemberState.LIVE,
    (MemberState.LIVE, MemberSignal.SILENT): MemberState.SUSPECT,
    (MemberState.SUSPECT, MemberSignal.LISTED): MemberState.SUSPECT,
    (MemberState.SUSPECT, MemberSignal.LISTED_LEAVING): MemberState.LEAVING,
    (MemberState.SUSPECT, MemberSignal.UNLISTED): MemberState.GONE,
    (MemberState.SUSPECT, MemberSignal.ANSWERED): MemberState.LIVE,
    (MemberState.SUSPECT, MemberSignal.SILENT): MemberState.SUSPECT,
    # Back in the list, it has to answer again before it gets work.
    (MemberState.LEAVING, MemberSignal.LISTED): MemberState.JOINING,
    (MemberState.LEAVING, MemberSignal.LISTED_LEAVING): MemberState.LEAVING,
    (MemberState.LEAVING, MemberSignal.UNLISTED): MemberState.GONE,
    (MemberState.LEAVING, MemberSignal.ANSWERED): MemberState.LEAVING,
    (MemberState.LEAVING, MemberSignal.SILENT): MemberState.LEAVING,
    (MemberState.GONE, MemberSignal.LISTED): MemberState.JOINING,
    (MemberState.GONE, MemberSignal.LISTED_LEAVING): MemberState.LEAVING,
    (MemberState.GONE, MemberSignal.UNLISTED): MemberState.GONE,
    (MemberState.GONE, MemberSignal.ANSWERED): MemberState.GONE,
    (MemberState.GONE, MemberSignal.SILENT): MemberState.GONE,
}


def next_state(state: MemberState, signal: MemberSignal) -> MemberState:
    """Return the state that follows."""
    return TRANSITIONS[state, signal]
