"""Access to the store for operator commands."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp

from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_runtime.settings import load_settings

from ..settings import OperatorSettings


@asynccontextmanager
async def async_open_store(settings_path: Path) -> AsyncIterator[StoreClient]:
    """Yield a client of the store configured in the settings file."""
    settings = load_settings(settings_path, OperatorSettings)
    async with aiohttp.ClientSession() as session:
        yield StoreClient(session, settings.platform.store_url)
