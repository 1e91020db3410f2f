"""A route document that is written many times a second."""

import asyncio
from collections import deque

import attrs
import orjson
import pytest

from cardamomnotch_adapter.const import CALL_RATES
from cardamomnotch_core.relay.limits import RelayLimits

from tests.fixtures.relay_system import RelaySystem, document, route

# Time within which a written document must be in force, in seconds.
CHANGE_S = 2.0


@attrs.frozen
class Changes:
    """How often a document with how many more routes is written, and how long."""

    per_s: float
    routes: int
    for_s: float

    async def async_write(self, systems):
        """Write the documents; return the versions that came into force too late."""
        store, late = systems[0].store, []
        more = [route(f"more-{number}", "idempotent") for number in range(self.routes)]
        routes = [*document()["routes"], *more]
        raw = orjson.dumps({**document(), "version": 0, "routes": routes})
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        written = deque()
        version = 1
        while loop.time() < began_at_s + self.for_s + CHANGE_S:
            if loop.time() < began_at_s + self.for_s:
                version += 1
                number = b'"version":%d' % version
                store.put("op/config", raw.replace(b'"version":0', number, 1))
                written.append((loop.time() + CHANGE_S, version))
            while written and written[0][0] <= loop.time():
                _, due = written.popleft()
                used = [system.entry.node.routes.version for system in systems]
                if min(used) < due:
                    late.append((due, used))
            await asyncio.sleep(1 / self.per_s)
        return late


CHANGES = {
    "small document": Changes(per_s=12.0, routes=150, for_s=10.0),
    "middle document": Changes(per_s=5.0, routes=300, for_s=6.0),
    "large document": Changes(per_s=3.0, routes=1_500, for_s=6.0),
}


@pytest.fixture(params=[1, 4], ids=["alone", "with readers"])
async def systems(request):
    """Yield entries of one zone."""
    first = RelaySystem(RelayLimits(grace_s=1.05))
    await first.async_start()
    others = [
        await first.async_add_entry(f"entry-a-{number}")
        for number in range(2, request.param + 1)
    ]
    yield [first, *others]
    for other in others:
        await other.async_leave()
    await first.async_stop()


@pytest.mark.parametrize("changes", CHANGES.values(), ids=CHANGES)
async def test_entry_falls_behind_frequent_changes_for_good(systems, changes):
    """Every version is in force in time, at few calls whatever the document's size."""
    calls = systems[0].store.calls
    calls.clear()
    assert not await changes.async_write(systems)
    for kind in ("kv-watch", "kv-key"):
        per_s = calls.count(f"GET /{kind}") / len(systems) / (changes.for_s + CHANGE_S)
        assert per_s <= 0.8 * CALL_RATES[kind].per_s
