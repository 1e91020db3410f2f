"""Fixtures for the entry's tests."""

from collections.abc import AsyncIterator

import pytest

from tests.fixtures.in_process_system import InProcessSystem, async_start_small_system


@pytest.fixture
async def system() -> AsyncIterator[InProcessSystem]:
    """Yield a small running system that is ready."""
    running = await async_start_small_system()
    yield running
    await running.async_stop()
