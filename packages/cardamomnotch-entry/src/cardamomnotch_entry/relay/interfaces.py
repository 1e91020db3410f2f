"""Interfaces that an installation's platform implements for the relay."""

from collections.abc import Sequence
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from cardamomnotch_core.relay.crashes.detection import Crash
from cardamomnotch_core.relay.crashes.evidence import Refutation
from cardamomnotch_core.relay.rollouts.rollout import RolloutState
from cardamomnotch_core.relay.store_changes.changes import Change, EntryRecord
from cardamomnotch_platform.store.models import StoreEntry

from .models import AttemptParameters, CallerRequest, ResponseHead


class MessageCodec(Protocol):
    """Decodes and encodes the platform's HTTP messages."""

    def decode_request(
        self, method: str, target: str, headers: CIMultiDictProxy[str], body: bytes
    ) -> CallerRequest:
        """Decode a request; raises RefusalError if it is malformed."""

    def encode_attempt(
        self, request: CallerRequest, parameters: AttemptParameters
    ) -> CIMultiDict[str]:
        """Return the headers of the request to the upstream."""

    def decode_response(
        self, status: int, headers: CIMultiDictProxy[str]
    ) -> ResponseHead:
        """Return the decoded head of an upstream's response.

        Names a header that the response to the caller cannot have.
        """

    def refusal_headers(self, request: CallerRequest) -> dict[str, str]:
        """Return the headers of a response that the relay itself creates."""


class StoreCodec(Protocol):
    """Decodes and encodes the items of the store."""

    def decode(self, entry: StoreEntry) -> Change | None:
        """Decode an item; return None if it does not concern the relay."""

    @property
    def document_key(self) -> str:
        """Return the key of the route document, which may be large."""

    @property
    def small_value_prefixes(self) -> Sequence[str]:
        """Return the prefixes of all other keys that concern the relay."""

    @property
    def watch_prefixes(self) -> Sequence[str]:
        """Return few prefixes that cover the same keys, for watches."""

    @property
    def upstreams_prefix(self) -> str:
        """Return the prefix of the keys of upstreams."""

    def record_key(self, entry: str) -> str:
        """Return the store key of an entry's record."""

    def encode_record(self, record: EntryRecord) -> bytes:
        """Return the stored form of ``record``."""

    def crashes_key(self, name: str) -> str:
        """Return the store key of a report of crashes."""

    def encode_crashes(
        self, crashes: Sequence[Crash], refutations: Sequence[Refutation]
    ) -> bytes:
        """Return the stored form of a report of crashes and refutations."""

    def order_key(self, service: str) -> str:
        """Return the store key of the order to roll a service out."""

    def status_key(self, service: str) -> str:
        """Return the store key of the report on a service's rollout."""

    def encode_status(self, target: str, state: RolloutState) -> bytes:
        """Return the stored form of a report on a rollout."""
