"""Delays between two watches of the configuration in the store."""

import asyncio
import random
from types import SimpleNamespace

import pytest

from cardamomnotch_entry.coordinators import configuration as module
from cardamomnotch_entry.coordinators.configuration import ConfigurationCoordinator
from cardamomnotch_platform.exceptions import StoreError
from cardamomnotch_platform.store.models import StoreEntry

# Time within which a change must be active everywhere, in seconds.
_ACTIVATION_S = 13.0
# Timeout of a call to the store, in seconds.
_STORE_TIMEOUT_S = 2.0


class StoreStandIn:
    """A store that fails, or closes each watch after ``watch_s`` seconds."""

    def __init__(self, clock) -> None:
        self._clock = clock
        self.is_down = False
        self.watch_s = 0.0

    async def async_get(self, key):
        """Return an absent key."""
        if self.is_down:
            raise StoreError("store is down")
        return StoreEntry(key=key)

    async def async_watch(self, key, from_revision):
        """Yield nothing and end."""
        self._clock.now_s += self.watch_s
        for entry in ():
            yield entry


@pytest.fixture
def clock():
    """Return a clock that the store stand-in advances."""
    clock = SimpleNamespace(now_s=100.0)
    return clock


@pytest.fixture
def store(clock):
    """Return a store that answers."""
    return StoreStandIn(clock)


@pytest.fixture
def coordinator(store, clock, monkeypatch):
    """Return a coordinator that uses the longest delay of its back-off."""
    source = random.Random(1)
    monkeypatch.setattr(source, "uniform", lambda low, high: high)
    runner = SimpleNamespace(register=lambda *args: None, dispatch=lambda event: None)
    return ConfigurationCoordinator(
        store,
        runner,
        source,
        holder=SimpleNamespace(revision=1),
        tasks=None,
        clock=lambda: clock.now_s,
    )


@pytest.fixture
def delays_s(monkeypatch):
    """Return the list of the delays after each watch."""
    delays = []

    async def async_sleep(seconds):
        delays.append(seconds)

    monkeypatch.setattr(
        module,
        "asyncio",
        SimpleNamespace(sleep=async_sleep, timeout=asyncio.timeout),
    )
    return delays


async def _async_watch(coordinator, count):
    for _ in range(count):
        await coordinator.async_read_and_watch()


async def test_earlier_outage_does_not_delay_a_later_watch(
    coordinator, store, delays_s
):
    """A watch that ends after the store was back is renewed soon."""
    store.is_down = True
    await _async_watch(coordinator, 8)
    assert delays_s[-1] > 8 * delays_s[0]
    store.is_down, store.watch_s = False, 3.0
    await _async_watch(coordinator, 3)
    assert max(delays_s[-3:]) < 1.0


async def test_store_that_closes_each_watch_is_asked_less_and_less(
    coordinator, store, delays_s
):
    """Watches that end at once are renewed with growing delays."""
    await _async_watch(coordinator, 8)
    assert delays_s[-1] > 8 * delays_s[0]


async def test_store_that_is_back_is_read_within_the_activation_time(
    coordinator, store, delays_s
):
    """After an outage of any length the store is soon read again."""
    store.is_down = True
    await _async_watch(coordinator, 20)
    assert max(delays_s) + _STORE_TIMEOUT_S < _ACTIVATION_S
