"""What the relay needs of an installation's platform."""

from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from cardamomnotch_core.relay.changes import Change, EntryRecord
from cardamomnotch_core.relay.rollout import RolloutState
from cardamomnotch_core.relay.versions import Rollout

from .models import AnswerHead, AttemptTerms, CallerRequest


class Wire(Protocol):
    """Names and formats of callers' and upstreams' messages."""

    def decode_request(
        self, method: str, target: str, headers: CIMultiDictProxy[str], body: bytes
    ) -> CallerRequest:
        """Return the request; raises RefusalError if it is malformed."""

    def encode_attempt(
        self, request: CallerRequest, terms: AttemptTerms
    ) -> CIMultiDict[str]:
        """Return the headers of an attempt."""

    def decode_answer(self, status: int, headers: CIMultiDictProxy[str]) -> AnswerHead:
        """Return the head of an upstream's answer."""

    def refusal_headers(self, request: CallerRequest) -> dict[str, str]:
        """Return the headers of an answer of the system's own."""


class Feed(Protocol):
    """What the platform's store holds for the relay.

    Every method raises FeedError if no answer came; a write may have taken
    effect all the same.
    """

    async def async_read_all(self) -> tuple[list[Change], int]:
        """Return all that is known as changes, and the cursor to go on from."""

    async def async_watch(self, cursor: int, wait_s: float) -> tuple[list[Change], int]:
        """Return the changes after ``cursor`` as soon as there are any.

        Raises HistoryLostError if they are no longer known.
        """

    async def async_write_record(self, record: EntryRecord, ttl_s: float) -> None:
        """Write this entry's record; it lapses after ``ttl_s`` seconds."""

    async def async_keep_record(self) -> bool:
        """Keep the record alive; return whether it still stands."""

    async def async_drop_record(self, record: EntryRecord) -> None:
        """Delete this entry's record."""

    async def async_report_rollout(self, rollout: Rollout, state: RolloutState) -> None:
        """Report how far a roll-out is; raises ConflictError if another did."""
