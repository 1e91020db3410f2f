"""What the relay needs of an installation's platform."""

from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from cardamomnotch_core.relay.changes import Change, EntryRecord
from cardamomnotch_core.relay.rollout import RolloutState
from cardamomnotch_platform.store.models import StoreEntry

from .models import AttemptParameters, CallerRequest, ResponseHead


class MessageCodec(Protocol):
    """Names and formats of callers' and upstreams' messages."""

    def decode_request(
        self, method: str, target: str, headers: CIMultiDictProxy[str], body: bytes
    ) -> CallerRequest:
        """Return the request; raises RefusalError if it is malformed."""

    def encode_attempt(
        self, request: CallerRequest, parameters: AttemptParameters
    ) -> CIMultiDict[str]:
        """Return the headers of an attempt."""

    def decode_response(
        self, status: int, headers: CIMultiDictProxy[str]
    ) -> ResponseHead:
        """Return the head of an upstream's answer."""

    def refusal_headers(self, request: CallerRequest) -> dict[str, str]:
        """Return the headers of an answer of the system's own."""


class StoreCodec(Protocol):
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
