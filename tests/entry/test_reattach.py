"""Lost connections between entry and sidecar."""

import asyncio

import pytest

from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.tasks import async_wait_until

from tests.fixtures.in_process_system import InProcessSystem
from tests.fixtures.local_system import ZONES
from tests.fixtures.tcp_proxy import async_start_tcp_proxy

_MEMBER_HEADERS = {"Authorization": "Bearer member-key"}
_TOKENS = 30


@pytest.fixture
async def system_with_proxies():
    """Yield a system whose entry reaches its upstreams through TCP proxies.

    The proxies can interrupt connections.
    """
    system = InProcessSystem()
    await system.async_start_platform()
    await system.async_add_engine("engine-0", ZONES[0])
    await system.async_add_service("booking-0", ZONES[0])
    proxies = {
        vm_id: await async_start_tcp_proxy(upstream_vm.settings.node.inner_address)
        for vm_id, upstream_vm in system.upstream_vms.items()
    }
    publish = system.publish_vm_list
    system.publish_vm_list = lambda: publish(
        **{vm_id: {"address": proxy.address} for vm_id, proxy in proxies.items()}
    )
    await system.async_add_entry("entry-0", ZONES[0])
    await system.async_wait_until_ready()
    yield system, proxies
    for proxy in proxies.values():
        await proxy.async_stop()
    await system.async_stop()


def _post(http_session, system, path, body):
    url = f"{system.entries['entry-0'].url}{path}"
    return http_session.post(url, json=body, headers=_MEMBER_HEADERS)


def _post_stream(http_session, system):
    body = {
        "model": "auto",
        "messages": [{"role": "user", "content": "x"}],
        "max_tokens": _TOKENS,
        "stream": True,
    }
    return _post(http_session, system, "/v1/chat/completions", body)


def _post_booking(http_session, system):
    return _post(http_session, system, "/services/booking/reservations", {"batch": "b"})


@pytest.mark.parametrize("fault", ["stall", "reset_connections"])
async def test_stream_continues_over_a_new_connection(
    system_with_proxies, http_session, fault
):
    """A stream that loses its connection arrives complete, from one run."""
    system, proxies = system_with_proxies
    engine = system.upstream_vms["engine-0"].stand_in
    engine.faults.active["token_s"] = 0.05
    async with _post_stream(http_session, system) as response:
        first = await response.content.readline()
        getattr(proxies["engine-0"], fault)()
        body = first + await response.read()
    words = [f'"w{index} "'.encode() for index in range(_TOKENS)]
    assert [body.count(word) for word in words] == [1] * _TOKENS
    assert body.endswith(b"data: [DONE]\n\n")
    assert engine.faults.counts["started"] == 1


@pytest.mark.parametrize("fault", ["stall", "reset_connections"])
async def test_booking_survives_a_lost_connection(
    system_with_proxies, http_session, fault
):
    """A booking whose connection is lost runs once and is answered."""
    system, proxies = system_with_proxies
    service = system.upstream_vms["booking-0"].stand_in
    service.faults.active["delay_s"] = 1.0
    sidecar = system.upstream_vms["booking-0"].sidecar
    call = asyncio.create_task(_post_booking(http_session, system).__aenter__())
    assert await async_wait_until(lambda: sidecar.node.attempts_in_flight, 5.0)
    getattr(proxies["booking-0"], fault)()
    response = await call
    assert response.status == 201
    assert len(service.reservations) == 1


async def test_vanished_sidecar_leaves_the_booking_outcome_unknown(
    system_with_proxies, http_session
):
    """A booking whose sidecar vanishes ends with an unknown outcome.

    It must not be reported as not run, since it may have run.
    """
    system, proxies = system_with_proxies
    service = system.upstream_vms["booking-0"].stand_in
    service.faults.active["silent_after_effect"] = True
    call = asyncio.create_task(_post_booking(http_session, system).__aenter__())
    assert await async_wait_until(lambda: service.reservations, 5.0)
    await proxies["booking-0"].async_stop()
    response = await call
    code = response.headers["X-Cardamomnotch-Result-Code"]
    assert code == str(int(ResultCode.OUTCOME_UNKNOWN))
    assert response.headers["X-Cardamomnotch-Not-Run"] == "false"
    assert len(service.reservations) == 1


async def test_booking_without_upstream_is_not_run(system_with_proxies, http_session):
    """A booking that reached no sidecar is reported as not run."""
    system, proxies = system_with_proxies
    await proxies["booking-0"].async_stop()
    async with _post_booking(http_session, system) as response:
        assert response.headers["X-Cardamomnotch-Not-Run"] == "true"
    assert not system.upstream_vms["booking-0"].stand_in.reservations
