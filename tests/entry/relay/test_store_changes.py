"""Effects of store changes and store outages on a relaying entry."""

import asyncio

import pytest

from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.models import RolloutOrder
from cardamomnotch_core.relay.store_changes import changes
from cardamomnotch_entry.relay import composition
from cardamomnotch_entry.relay.composition import boot_clock
from cardamomnotch_entry.relay.settings import RelaySettings

from tests.fixtures.positions import at
from tests.fixtures.relay_system import RelaySystem, document, route
from tests.stand_ins.platform_upstream import plain


@pytest.fixture
async def short_max_age_relay():
    """Yield an entry whose API keys become stale within 1.5 seconds."""
    system = RelaySystem(RelayLimits(revocation_ms=3_000.0, grace_s=1.0))
    await system.async_start()
    await system.async_add_upstream("up", service="bookings")
    yield system
    await system.async_stop()


def is_fresh(system):
    """Return whether the entry's routes and keys are fresh enough to use."""
    return system.entry.node.routes.is_fresh(boot_clock())


async def test_entry_becomes_unready_before_it_refuses_requests(short_max_age_relay):
    """Readiness ends during a store outage while callers are still served."""
    short_max_age_relay.store.faults.active["busy"] = True
    await short_max_age_relay.async_wait_for(
        lambda: not short_max_age_relay.entry.is_ready
    )
    assert is_fresh(short_max_age_relay)
    assert (await short_max_age_relay.async_call("/read/x")).status == 200


@pytest.mark.parametrize(
    ("path", "key"),
    [("/added/x", "key-one"), ("/read/x", "key-added")],
    ids=["route", "key"],
)
async def test_outdated_document_refuses_what_has_been_added(relay, path, key):
    """A 404 or 401 is not given by a document that a newer one must have replaced."""
    await relay.async_add_upstream("up", service="bookings")
    status_before = (await relay.async_call(path, key=key)).status
    relay.store.faults.active["busy"] = True
    # A document with the route or key may have to be in force by now.
    await asyncio.sleep(2.0)
    response = await relay.async_call(path, key=key)
    assert (response.status, response.error_code) == (503, 108)
    assert float(response.headers["Retry-After"]) > 0
    assert (await relay.async_call("/read/x")).status == 200
    relay.store.faults.active["busy"] = False
    returned_at_s = boot_clock()
    routes = relay.entry.node.routes
    await relay.async_wait_for(lambda: routes.confirmed_at_s > returned_at_s)
    assert (await relay.async_call(path, key=key)).status == status_before


async def test_idle_connections_close_when_the_entry_stays_unready(
    short_max_age_relay, monkeypatch
):
    """Idle connections are closed once the balancer uses other entries."""
    monkeypatch.setattr(composition, "BALANCER_DETECTION_S", 0.3)
    host, _, port = short_max_age_relay.caller_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"GET /open/x HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: one\r\n\r\n"
    )
    await reader.readuntil(b"whole")
    short_max_age_relay.store.faults.active["busy"] = True
    async with asyncio.timeout(10):
        assert await reader.read() == b""
    writer.close()


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/read/x", "key-one", 200),
        ("/read/x", "key-other", 401),
        ("/read/x", None, 401),
        ("/open/x", None, 200),
        ("/none/x", "key-one", 404),
        ("/read", "key-one", 404),
    ],
)
async def test_routes_and_keys(relay, path, key, status):
    """Routes match by path prefix, and need a key unless they are public."""
    upstream = await relay.async_add_upstream("up", service="bookings")
    answer = await relay.async_call(path, method="GET", key=key)
    assert answer.status == status
    assert len(upstream.seen) == (status == 200)


@pytest.mark.parametrize("fault", ["silent", "busy", "limited", "reset"])
@pytest.mark.parametrize("path", ["/read/x", "/none/x"])
async def test_entry_without_the_store_refuses_with_retry_after(
    short_max_age_relay, fault, path
):
    """With stale routes a request gets a 503, neither served nor a 404."""
    assert (await short_max_age_relay.async_call("/read/x")).status == 200
    short_max_age_relay.store.faults.active[fault] = True
    await short_max_age_relay.async_wait_for(lambda: not is_fresh(short_max_age_relay))
    assert not short_max_age_relay.entry.is_ready
    answer = await short_max_age_relay.async_call(path)
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) == 0.05
    assert answer.headers["Connection"] == "close"
    del short_max_age_relay.store.faults.active[fault]
    await short_max_age_relay.async_wait_for(lambda: short_max_age_relay.entry.is_ready)
    assert (await short_max_age_relay.async_call("/read/x")).status == 200


async def test_public_route_is_served_with_stale_routes(short_max_age_relay):
    """A public route needs no key check, so stale keys do not matter."""
    short_max_age_relay.store.faults.active["busy"] = True
    await short_max_age_relay.async_wait_for(lambda: not is_fresh(short_max_age_relay))
    assert (await short_max_age_relay.async_call("/open/x")).status == 200


async def test_removed_key_is_refused(relay):
    """A request with a removed key reaches no upstream."""
    upstream = await relay.async_add_upstream("up", service="bookings")
    tenants = [{"name": "firm-one", "api_keys": ["key-two"]}]
    relay.store.put("op/config", document(2, tenants=tenants))
    await relay.async_wait_for(lambda: relay.entry.node.routes.version == 2)
    assert (await relay.async_call("/read/x")).status == 401
    assert (await relay.async_call("/read/x", key="key-two")).status == 200
    assert len(upstream.seen) == 1


async def test_older_document_version_is_ignored(relay):
    """A document with a lower version does not replace the present one."""
    relay.store.put("op/config", document(7, routes=[route("new", "idempotent")]))
    relay.store.put("op/config", document(3))
    relay.store.put("op/evacuate/zone-z", {})
    await relay.async_wait_for(lambda: "zone-z" in relay.entry.node.fleet.zones_out)
    assert relay.entry.node.routes.version == 7


async def test_dropped_history_causes_a_full_read(relay):
    """Changes that are missing from the history are found by a full read."""
    await relay.async_add_upstream("up", service="bookings")
    await relay.async_add_upstream("up-gone", service="bookings")
    relay.store.drop_history()
    relay.store.put("op/config", document(2))
    relay.store.delete("servers/up-gone")
    relay.store.drop_history()
    await relay.async_wait_for(lambda: relay.entry.node.routes.version == 2)
    await relay.async_wait_for(lambda: relay.entry.node.fleet.get("up-gone") is None)
    assert relay.entry.node.fleet.get("up") is not None


async def test_draining_upstream_gets_no_new_requests(relay):
    """A draining upstream gets no requests once the store lists it so."""
    leaving = await relay.async_add_upstream("up-leaving", service="bookings")
    await relay.async_add_upstream("up-good", plain(b"good"), service="bookings")
    relay.register(leaving, service="bookings", state="draining")
    await relay.async_wait_for(
        lambda: relay.entry.node.fleet.get("up-leaving").upstream.is_draining
    )
    answers = [await relay.async_call("/read/x") for _ in range(4)]
    assert {answer.body for answer in answers} == {b"good"}


async def test_zone_evacuation_and_return(relay):
    """An evacuated availability zone gets no requests until it returns."""
    upstream = await relay.async_add_upstream("up", service="bookings")
    fleet = relay.entry.node.fleet
    relay.store.put("op/evacuate/zone-a", {})
    await relay.async_wait_for(lambda: fleet.zones_out)
    assert (await relay.async_call("/read/x")).status == 503
    relay.store.delete("op/evacuate/zone-a")
    await relay.async_wait_for(lambda: not fleet.zones_out)
    assert (await relay.async_call("/read/x")).status == 200
    assert len(upstream.seen) == 1


async def test_entry_without_routes_refuses_requests():
    """An entry without routes answers 503 with Retry-After."""
    system = RelaySystem(RelayLimits(grace_s=1.0))
    await system.async_start()
    system.entry.node.routes.__init__(3.0)
    answer = await system.async_call("/read/x")
    assert (answer.status, "Retry-After" in answer.headers) == (503, True)
    await system.async_stop()


async def test_record_is_written_again_after_its_lease_expires(relay):
    """An entry whose record expired writes it again."""
    await relay.async_wait_for(lambda: relay.store.value("entries/entry-a-1"))
    for lease in tuple(relay.store._state.leases):
        relay.store.expire_lease(lease)
    assert relay.store.value("entries/entry-a-1") is None
    await relay.async_wait_for(lambda: relay.store.value("entries/entry-a-1"))


async def test_stopped_entry_deletes_its_record(relay):
    """A stopped entry's record is deleted at once."""
    await relay.async_wait_for(lambda: relay.store.value("entries/entry-a-1"))
    await relay.async_stop_entry()
    assert relay.store.value("entries/entry-a-1") is None


async def test_changed_limits_apply_at_once(relay, caplog):
    """Changed limits apply without a restart; changed addresses do not."""
    caplog.set_level("INFO")
    entry = relay.entry
    settings = RelaySettings(
        name="entry-a-1",
        zone="zone-a",
        caller_address="127.0.0.1:2",
        peer_address=entry.node.identity.address,
        admin_address=relay.admin_address,
        store_address="127.0.0.1:1",
        limits=RelayLimits(revocation_ms=2_000.0, exposure_share=0.01, grace_s=1.0),
    )
    entry.reload(settings)
    assert entry.node.limits == settings.limits
    order = RolloutOrder(service="drafts", target="v2", duration_s=20.0)
    entry.node.apply(changes.RolloutOrdered(order=order, order_id=at(5)), 0.0)
    assert entry.node.versions.get("drafts").share(1.0) <= 0.01
    relay.store.faults.active["silent"] = True
    await relay.async_wait_for(lambda: not entry.is_ready)
    reload_record = next(
        record for record in caplog.records if record.message == "settings reloaded"
    )
    assert reload_record.fields["used_at_next_start"] == ["caller_address"]
