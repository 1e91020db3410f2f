"""Reads and writes the operators' configuration in the store."""

import attrs

from cardamomnotch_protocol import codec
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import ConfigurationMessage
from cardamomnotch_protocol.result_codes import ResultCode

from .interface import KeyValueStore
from .models import StoreEntry

CONFIGURATION_KEY = "cardamomnotch/configuration"


class RevisionConflictError(CardamomnotchError):
    """Another change was accepted first.

    ``winner`` is the configuration in the store; None if there is none.
    """

    code = ResultCode.REVISION_CONFLICT

    def __init__(self, detail: str, winner: ConfigurationMessage | None = None) -> None:
        self.winner = winner
        super().__init__(detail)


@attrs.frozen(kw_only=True)
class StoredConfiguration:
    """The configuration in the store, with the store's revision of its key."""

    message: ConfigurationMessage | None
    mod_revision: int


def decode_stored_configuration(entry: StoreEntry) -> StoredConfiguration:
    """Return the configuration in ``entry``; ``message`` is None without one.

    Raises CardamomnotchError if the value is not a configuration message.
    """
    if not entry.mod_revision or not entry.value:
        return StoredConfiguration(message=None, mod_revision=entry.mod_revision)
    message = codec.decode(entry.value).message
    if not isinstance(message, ConfigurationMessage):
        raise CardamomnotchError(
            "store key of the configuration holds another kind of message",
            code=ResultCode.INVALID_CONFIGURATION,
        )
    return StoredConfiguration(message=message, mod_revision=entry.mod_revision)


async def async_read_configuration(store: KeyValueStore) -> StoredConfiguration:
    """Return the configuration in the store."""
    return decode_stored_configuration(await store.async_get(CONFIGURATION_KEY))


async def async_write_configuration(
    store: KeyValueStore, message: ConfigurationMessage, mod_revision: int
) -> None:
    """Write ``message`` if the key is still at ``mod_revision``.

    Raises RevisionConflictError if another change was accepted first. A
    repeated write whose first reply was lost is recognised by its change id.
    """
    result = await store.async_put_if(
        CONFIGURATION_KEY, codec.encode(message), mod_revision
    )
    if result.succeeded:
        return
    winner = decode_stored_configuration(result.current).message
    if winner is not None and message.change_id in (
        winner.change_id,
        *winner.former_change_ids,
    ):
        return
    raise RevisionConflictError(
        f"configuration revision {winner.revision if winner else 0} was accepted first",
        winner,
    )
