"""Fixtures for the relay tests."""

from collections.abc import AsyncIterator

import pytest

from cardamomnotch_core.relay.limits import RelayLimits

from tests.fixtures.relay_system import RelaySystem

# A short grace time, and a retry budget that no test exhausts.
LIMITS = RelayLimits(grace_s=1.05, retry_slack=1_000.0)


@pytest.fixture
async def relay() -> AsyncIterator[RelaySystem]:
    """Yield a running relaying entry with routes and without upstreams."""
    system = RelaySystem(LIMITS)
    await system.async_start()
    yield system
    await system.async_stop()
