"""A route document that takes seconds to arrive, and other store changes."""

import pytest

from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_entry.relay.composition import boot_clock
from cardamomnotch_runtime.tasks import async_wait_until

from tests.fixtures.relay_system import RelaySystem, document, route

# Time that the document takes on an entry's link, in seconds.
DOCUMENT_S = 4.0
BYTES_PER_S = 430_000 / DOCUMENT_S
# Time within which another change must have taken effect, in seconds.
CHANGE_S = 2.0

CHANGES = {
    "upstream deleted": lambda system, up: system.store.delete("servers/up"),
    "upstream draining": lambda system, up: system.register(
        up, service="bookings", state="draining"
    ),
    "zone out of service": lambda system, up: system.store.put(
        "op/evacuate/zone-a", {}
    ),
}


def large_document(version):
    """Return a document that takes DOCUMENT_S on a link."""
    more = (route(f"more-{number}", "idempotent") for number in range(1_600))
    return document(version, routes=[*document()["routes"], *more])


@pytest.fixture(params=[1, 4], ids=["alone", "with readers"])
async def systems(request):
    """Yield entries of one zone behind slow links to their store."""
    first = RelaySystem(RelayLimits(grace_s=1.05), store_bytes_per_s=BYTES_PER_S)
    await first.async_start()
    others = [
        await first.async_add_entry(f"entry-a-{number}")
        for number in range(2, request.param + 1)
    ]
    yield [first, *others]
    for other in others:
        await other.async_leave()
    await first.async_stop()


def has_upstream(system):
    """Return whether the entry sends requests to an upstream."""
    return bool(system.entry.node.fleet.candidates("bookings", boot_clock()))


@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
async def test_upstream_is_used_on_while_a_large_document_arrives(systems, change):
    """Changes take effect beside a document that arrives slowly."""
    first = systems[0]
    up = await first.async_add_upstream("up", service="bookings")
    for system in systems:
        await first.async_wait_for(lambda system=system: has_upstream(system))
    first.store.put("op/config", large_document(2))
    change(first, up)
    assert await async_wait_until(
        lambda: not any(has_upstream(system) for system in systems), CHANGE_S
    )
    for system in systems:
        assert await async_wait_until(
            lambda system=system: system.entry.node.routes.version == 2,
            3 * DOCUMENT_S,
        )


async def test_upstream_is_used_on_after_a_large_document_has_arrived(systems):
    """A document that arrived slowly keeps no deleted upstream."""
    first = systems[0]
    await first.async_add_upstream("up", service="bookings")
    first.store.put("op/config", large_document(2))
    for system in systems:
        assert await async_wait_until(
            lambda system=system: system.entry.node.routes.version == 2,
            3 * DOCUMENT_S,
        )
    first.store.delete("servers/up")
    assert await async_wait_until(
        lambda: not any(has_upstream(system) for system in systems), CHANGE_S
    )


@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
async def test_upstream_is_used_on_while_everything_is_read_anew(systems, change):
    """After the store has lost its history, changes do not wait for the document."""
    first = systems[0]
    up = await first.async_add_upstream("up", service="bookings")
    for system in systems:
        system.set_store_rate(None)
    first.store.put("op/config", large_document(2))
    for system in systems:
        await first.async_wait_for(
            lambda system=system: (
                system.entry.node.routes.version == 2 and has_upstream(system)
            )
        )
        system.set_store_rate(BYTES_PER_S)
    change(first, up)
    first.store.drop_history()
    assert await async_wait_until(
        lambda: not any(has_upstream(system) for system in systems), CHANGE_S
    )
    first.store.put("op/config", document(3))
    for system in systems:
        assert await async_wait_until(
            lambda system=system: system.entry.node.routes.version == 3,
            3 * DOCUMENT_S,
        )
