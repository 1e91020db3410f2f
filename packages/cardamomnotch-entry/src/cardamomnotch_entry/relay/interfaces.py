"""What the relay needs of an installation's platform."""

from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from cardamomnotch_core.relay.changes import Change, EntryRecord
from cardamomnotch_core.relay.rollout import RolloutState
from cardamomnotch_platform.store.models import StoreEntry

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


class Documents(Protocol):
    """Keys and formats of what lies in the store."""

    def decode(self, entry: StoreEntry) -> Change | None:
        """Return what an entry or a change means; None if nothing to the relay."""

    def record_key(self, entry: str) -> str:
        """Return the key of an entry's record."""

    def encode_record(self, record: EntryRecord) -> bytes:
        """Return the stored form of ``record``."""

    def status_key(self, service: str) -> str:
        """Return the key of the report on a service's roll-out."""

    def encode_status(self, target: str, state: RolloutState) -> bytes:
        """Return the stored form of a report on a roll-out."""
