"""Compare-and-swap of the operators' lists in the store."""

import uuid
from collections.abc import Callable

from cardamomnotch_core.configuration.changes import ListsChange, apply_change
from cardamomnotch_core.configuration.document import (
    configuration_from_document,
    document_from_configuration,
    message_from_record,
    record_from_message,
)
from cardamomnotch_core.configuration.models import Configuration, ConfigurationRecord
from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_platform.store.configuration import (
    RevisionConflictError,
    async_read_configuration,
    async_write_configuration,
)

_MAX_TRIES = 10


async def async_read_record(store: StoreClient) -> ConfigurationRecord | None:
    """Return the lists in the store, if there are any."""
    stored = await async_read_configuration(store)
    return record_from_message(stored.message) if stored.message else None


async def async_replace(
    store: StoreClient,
    edit: Callable[[Configuration], Configuration],
    based_on: int | None = None,
) -> int:
    """Edit the lists once and return the accepted revision.

    Raises RevisionConflictError if the lists are not at ``based_on``, or if
    another change came first.
    """
    stored = await async_read_configuration(store)
    current = record_from_message(stored.message) if stored.message else None
    revision = current.revision if current else 0
    if based_on is not None and based_on != revision:
        raise RevisionConflictError(
            f"the lists are at revision {revision}, not {based_on}"
        )
    edited = edit(current.configuration if current else Configuration())
    if current is not None and edited == current.configuration:
        # Another process made the same change; a revision spares nobody work.
        return revision
    record = ConfigurationRecord(
        revision=revision + 1, change_id=uuid.uuid4().hex, configuration=edited
    )
    message = message_from_record(record)
    try:
        await async_write_configuration(store, message, stored.mod_revision)
    except StoreError:
        # The write may have taken effect before the answer was lost.
        await async_write_configuration(store, message, stored.mod_revision)
    return record.revision


async def async_make_change(store: StoreClient, change: ListsChange) -> int:
    """Make ``change`` on top of whatever is accepted; return the revision.

    Raises ConfigurationError if the result contradicts itself, StoreError,
    or RevisionConflictError if others keep coming first.
    """

    def edit(configuration: Configuration) -> Configuration:
        changed = apply_change(change, configuration)
        return configuration_from_document(document_from_configuration(changed))

    for _ in range(_MAX_TRIES - 1):
        try:
            return await async_replace(store, edit)
        except RevisionConflictError:
            continue
    return await async_replace(store, edit)
