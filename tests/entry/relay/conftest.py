"""Fixtures of the relay's tests."""

from collections.abc import AsyncIterator

import pytest

from cardamomnotch_core.relay.limits import RelayLimits

from tests.fixtures.relay_system import RelaySystem

# A short time to stop, and a retry budget that a test does not use up.
LIMITS = RelayLimits(grace_s=1.05, retry_slack=1_000.0)


@pytest.fixture
async def relay() -> AsyncIterator[RelaySystem]:
    """Return a relaying entry with routes and without upstreams."""
    system = RelaySystem(LIMITS)
    await system.async_start()
    yield system
    await system.async_stop()
