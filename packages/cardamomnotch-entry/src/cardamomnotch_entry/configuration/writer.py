"""Compare-and-swap of the configuration in the store."""

import uuid
from collections.abc import Callable

import attrs

from cardamomnotch_core.configuration.changes import IncrementalChange, apply_change
from cardamomnotch_core.configuration.document import (
    configuration_from_document,
    document_from_configuration,
    message_from_record,
    record_from_message,
)
from cardamomnotch_core.configuration.models import Configuration, ConfigurationRecord
from cardamomnotch_core.configuration.rebase import differing_paths
from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_platform.store.configuration import (
    RevisionConflictError,
    async_read_configuration,
    async_write_configuration,
)
from cardamomnotch_platform.store.interface import KeyValueStore
from cardamomnotch_protocol.models import ConfigurationMessage

_MAX_ATTEMPTS = 10
# A writer whose response was lost finds its change among this many later ones.
_MAX_FORMER_CHANGE_IDS = 32


async def async_read_configuration_record(
    store: KeyValueStore,
) -> ConfigurationRecord | None:
    """Return the configuration in the store; None if there is none."""
    stored = await async_read_configuration(store)
    return record_from_message(stored.message) if stored.message else None


async def async_edit_configuration(
    store: KeyValueStore,
    edit: Callable[[Configuration], Configuration],
    based_on: int | None = None,
    above: int = 0,
) -> int:
    """Apply ``edit`` to the configuration and return the accepted revision.

    The new revision is higher than ``above``, which is needed after the store
    was restored from a copy older than the active revision of processes.

    Raises RevisionConflictError if the stored revision is not ``based_on``, or
    if another change is accepted first.
    """
    stored = await async_read_configuration(store)
    current = record_from_message(stored.message) if stored.message else None
    revision = current.revision if current else 0
    if based_on is not None and based_on != revision:
        raise _conflict_error(edit(_configuration_of(current)), stored.message)
    edited = edit(_configuration_of(current))
    is_unchanged = current is not None and edited == current.configuration
    if is_unchanged and above <= revision:
        # Another process has made the same change; a new revision would only
        # make every process apply it again.
        return revision
    record = ConfigurationRecord(
        revision=max(revision, above) + 1,
        change_id=uuid.uuid4().hex,
        configuration=edited,
    )
    message = attrs.evolve(
        message_from_record(record),
        former_change_ids=_former_change_ids(stored.message),
    )
    try:
        await _async_write(store, message, stored.mod_revision)
    except RevisionConflictError as error:
        raise _conflict_error(edited, error.winner) from error
    return record.revision


async def _async_write(
    store: KeyValueStore, message: ConfigurationMessage, mod_revision: int
) -> None:
    try:
        await async_write_configuration(store, message, mod_revision)
    except StoreError:
        # The write may have taken effect although the response was lost.
        await async_write_configuration(store, message, mod_revision)


def _configuration_of(record: ConfigurationRecord | None) -> Configuration:
    return record.configuration if record else Configuration()


def _conflict_error(
    proposed: Configuration, winner: ConfigurationMessage | None
) -> RevisionConflictError:
    """Return the error with the accepted revision and the differences."""
    document = winner.document if winner else {}
    paths = differing_paths(document, document_from_configuration(proposed))
    revision = winner.revision if winner else 0
    detail = (
        f"revision {revision} was accepted first; {', '.join(paths)} differ from it"
    )
    return RevisionConflictError(detail, winner)


def _former_change_ids(message: ConfigurationMessage | None) -> tuple[str, ...]:
    if message is None:
        return ()
    return (message.change_id, *message.former_change_ids)[:_MAX_FORMER_CHANGE_IDS]


async def async_apply_change(store: KeyValueStore, change: IncrementalChange) -> int:
    """Apply ``change`` to the accepted configuration; return the new revision.

    Raises ConfigurationError if the result is invalid, StoreError if the store
    is unavailable, and RevisionConflictError if other changes keep being
    accepted first.
    """

    def edit(configuration: Configuration) -> Configuration:
        changed = apply_change(change, configuration)
        return configuration_from_document(document_from_configuration(changed))

    for _ in range(_MAX_ATTEMPTS - 1):
        try:
            return await async_edit_configuration(store, edit)
        except RevisionConflictError:
            continue
    return await async_edit_configuration(store, edit)
