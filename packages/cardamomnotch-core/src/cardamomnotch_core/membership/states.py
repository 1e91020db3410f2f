"""State machine of an upstream as seen by one entry."""

from collections.abc import Mapping
from enum import StrEnum
from typing import Final


class MemberState(StrEnum):
    """State of an upstream."""

    # In the VM list; its sidecar has not answered a heartbeat yet.
    JOINING = "joining"
    # In the VM list; its sidecar answers heartbeats.
    LIVE = "live"
    # Its sidecar does not respond.
    SUSPECT = "suspect"
    # Listed as leaving; running attempts finish, and no new ones start.
    LEAVING = "leaving"
    # No longer in the VM list.
    GONE = "gone"


class MemberSignal(StrEnum):
    """An observation that may change the state of an upstream."""

    # The VM list contains the VM.
    LISTED = "listed"
    LISTED_LEAVING = "listed as leaving"
    UNLISTED = "unlisted"
    # The sidecar answered a heartbeat.
    ANSWERED = "answered"
    # The sidecar did not respond to a heartbeat or an attempt.
    UNRESPONSIVE = "silent"


TRANSITIONS: Final[Mapping[tuple[MemberState, MemberSignal], MemberState]] = {
    (MemberState.JOINING, MemberSignal.LISTED): MemberState.JOINING,
    (MemberState.JOINING, MemberSignal.LISTED_LEAVING): MemberState.LEAVING,
    (MemberState.JOINING, MemberSignal.UNLISTED): MemberState.GONE,
    (MemberState.JOINING, MemberSignal.ANSWERED): MemberState.LIVE,
    (MemberState.JOINING, MemberSignal.UNRESPONSIVE): MemberState.JOINING,
    (MemberState.LIVE, MemberSignal.LISTED): MemberState.LIVE,
    (MemberState.LIVE, MemberSignal.LISTED_LEAVING): MemberState.LEAVING,
    (MemberState.LIVE, MemberSignal.UNLISTED): MemberState.GONE,
    (MemberState.LIVE, MemberSignal.ANSWERED): MemberState.LIVE,
    (MemberState.LIVE, MemberSignal.UNRESPONSIVE): MemberState.SUSPECT,
    (MemberState.SUSPECT, MemberSignal.LISTED): MemberState.SUSPECT,
    (MemberState.SUSPECT, MemberSignal.LISTED_LEAVING): MemberState.LEAVING,
    (MemberState.SUSPECT, MemberSignal.UNLISTED): MemberState.GONE,
    (MemberState.SUSPECT, MemberSignal.ANSWERED): MemberState.LIVE,
    (MemberState.SUSPECT, MemberSignal.UNRESPONSIVE): MemberState.SUSPECT,
    # An upstream that is listed again has to answer a heartbeat before it gets
    # new work.
    (MemberState.LEAVING, MemberSignal.LISTED): MemberState.JOINING,
    (MemberState.LEAVING, MemberSignal.LISTED_LEAVING): MemberState.LEAVING,
    (MemberState.LEAVING, MemberSignal.UNLISTED): MemberState.GONE,
    (MemberState.LEAVING, MemberSignal.ANSWERED): MemberState.LEAVING,
    (MemberState.LEAVING, MemberSignal.UNRESPONSIVE): MemberState.LEAVING,
    (MemberState.GONE, MemberSignal.LISTED): MemberState.JOINING,
    (MemberState.GONE, MemberSignal.LISTED_LEAVING): MemberState.LEAVING,
    (MemberState.GONE, MemberSignal.UNLISTED): MemberState.GONE,
    (MemberState.GONE, MemberSignal.ANSWERED): MemberState.GONE,
    (MemberState.GONE, MemberSignal.UNRESPONSIVE): MemberState.GONE,
}


def next_state(state: MemberState, signal: MemberSignal) -> MemberState:
    """Return the state of an upstream in ``state`` after ``signal``."""
    return TRANSITIONS[state, signal]
