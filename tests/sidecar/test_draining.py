"""Draining upstreams get no new requests and complete their streams."""

import asyncio

import attrs
import pytest

from cardamomnotch_core.configuration.out_of_service import (
    OutOfServiceKind,
    set_out_of_service,
)
from cardamomnotch_core.nodes import events
from cardamomnotch_entry.cli.configuration_file import load_configuration
from cardamomnotch_runtime.tasks import async_wait_until
from cardamomnotch_sidecar.composition import Sidecar

from tests.fixtures.in_process_system import async_start_small_system
from tests.fixtures.local_system import CONFIGURATION_PATH, ZONES

_HEADERS = {"Authorization": "Bearer member-key"}
_STREAM_COUNT = 24
# Target: no request starts at an upstream later than this after an operator
# takes it out of service.
_MAX_DRAIN_DELAY_S = 3.0


@pytest.fixture
async def system():
    """Return a running system with one slow engine per zone."""
    running = await async_start_small_system()
    for running_sidecar in running.upstream_vms.values():
        running_sidecar.stand_in.faults.active["token_s"] = 0.02
    yield running
    await running.async_stop()


def _set_out_of_service(system, kind, name, *, out=True, revision=2):
    configuration = set_out_of_service(
        load_configuration(CONFIGURATION_PATH), kind, name, out=out
    )
    system.set_configuration(configuration, revision=revision)


def _start_drain(system):
    system.upstream_vms["engine-0"].sidecar._runner.dispatch(events.DrainStarted())


_WAYS_TO_DRAIN = [
    pytest.param(
        lambda system: _set_out_of_service(system, OutOfServiceKind.ZONE, ZONES[0]),
        id="zone out",
    ),
    pytest.param(
        lambda system: _set_out_of_service(system, OutOfServiceKind.VM, "engine-0"),
        id="VM out",
    ),
    pytest.param(
        lambda system: system.publish_vm_list(**{"engine-0": {"state": "leaving"}}),
        id="leaving in the list",
    ),
    pytest.param(_start_drain, id="sidecar stops"),
]


async def _async_stream(http_session, system):
    body = {
        "model": "auto",
        "stream": True,
        "max_tokens": 40,
        "messages": [{"role": "user", "content": "x"}],
    }
    url = f"{system.entries['entry-0'].url}/v1/chat/completions"
    async with http_session.post(url, json=body, headers=_HEADERS) as response:
        return await response.read()


def _started_count(system, vm_id):
    return system.upstream_vms[vm_id].stand_in.faults.counts.get("started", 0)


async def _async_check_streams(http_session, system):
    answers = await asyncio.gather(
        *(_async_stream(http_session, system) for _ in range(_STREAM_COUNT))
    )
    assert all(answer.endswith(b"data: [DONE]\n\n") for answer in answers)


@pytest.mark.parametrize("start_draining", _WAYS_TO_DRAIN)
async def test_draining_upstream_completes_its_streams_and_gets_no_new_requests(
    system, http_session, start_draining
):
    """Open streams complete; after the target time no new request starts."""
    open_streams = asyncio.create_task(_async_check_streams(http_session, system))
    has_started = await async_wait_until(
        lambda: _started_count(system, "engine-0") > 0, _MAX_DRAIN_DELAY_S
    )
    assert has_started
    start_draining(system)
    await asyncio.sleep(_MAX_DRAIN_DELAY_S)
    before = _started_count(system, "engine-0")
    await _async_check_streams(http_session, system)
    await open_streams
    assert _started_count(system, "engine-0") == before


async def test_upstream_back_in_service_starts_slowly(system):
    """An upstream back in service starts below its full concurrency limit."""
    node = system.upstream_vms["engine-0"].sidecar.node
    full_limit = node.diagnostics()["load"]["limit"]
    for out, revision in ((True, 2), (False, 3)):
        _set_out_of_service(
            system, OutOfServiceKind.ZONE, ZONES[0], out=out, revision=revision
        )
        assert await async_wait_until(
            lambda revision=revision: node.configuration.revision == revision,
            _MAX_DRAIN_DELAY_S,
        )
    assert node.diagnostics()["load"]["limit"] < full_limit


async def test_sidecar_with_another_vm_id_gets_no_requests(system, http_session):
    """A sidecar at a listed address gets no requests meant for another VM."""
    running_sidecar = system.upstream_vms["engine-0"]
    await running_sidecar.sidecar.async_unload()
    node = attrs.evolve(running_sidecar.settings.node, vm_id="engine-9")
    running_sidecar.sidecar = Sidecar(attrs.evolve(running_sidecar.settings, node=node))
    await running_sidecar.sidecar.async_setup()
    # Heartbeats reach the new sidecar during this time.
    await asyncio.sleep(_MAX_DRAIN_DELAY_S)
    before = _started_count(system, "engine-0")
    await _async_check_streams(http_session, system)
    assert _started_count(system, "engine-0") == before


async def test_requests_avoid_a_stopped_vm_that_is_still_listed(system, http_session):
    """Requests go to other VMs while the VM list still has the stopped one."""
    await system.upstream_vms["engine-0"].sidecar.async_unload()
    await _async_check_streams(http_session, system)
