"""Fixtures of the entry's tests."""

from collections.abc import AsyncIterator

import pytest

from tests.fixtures.in_process_system import InProcessSystem, async_start_small_system


@pytest.fixture
async def system() -> AsyncIterator[InProcessSystem]:
    """Return a small system that serves."""
    running = await async_start_small_system()
    yield running
    await running.async_stop()
