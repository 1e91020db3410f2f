"""Changes of the operators' lists in the store."""

import uuid
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from cardamomnotch_core.configuration.document import (
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
from cardamomnotch_runtime.settings import load_settings

from ..settings import OperatorSettings

Change = Callable[[Configuration], Configuration]


@asynccontextmanager
async def async_open_store(settings_path: Path) -> AsyncIterator[StoreClient]:
    """Yield a client of the store that the settings name."""
    settings = load_settings(settings_path, OperatorSettings)
    async with aiohttp.ClientSession() as session:
        yield StoreClient(session, settings.platform.store_url)


async def async_read_record(store: StoreClient) -> ConfigurationRecord | None:
    """Return the lists in the store, if there are any."""
    stored = await async_read_configuration(store)
    return record_from_message(stored.message) if stored.message else None


async def async_change(
    store: StoreClient, change: Change, based_on: int | None = None
) -> int:
    """Apply ``change`` to the lists and return the accepted revision.

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
    record = ConfigurationRecord(
        revision=revision + 1,
        change_id=uuid.uuid4().hex,
        configuration=change(current.configuration if current else Configuration()),
    )
    message = message_from_record(record)
    try:
        await async_write_configuration(store, message, stored.mod_revision)
    except StoreError:
        # The write may have taken effect before the answer was lost.
        await async_write_configuration(store, message, stored.mod_revision)
    return record.revision
