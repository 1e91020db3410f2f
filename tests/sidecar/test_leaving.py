"""Leaving upstreams get no new work, and what they run is not cut."""

import asyncio

import attrs
import pytest

from cardamomnotch_core.configuration.out_of_service import (
    OutOfServiceKind,
    set_out_of_service,
)
from cardamomnotch_core.nodes import events
from cardamomnotch_entry.cli.documents import load_configuration
from cardamomnotch_runtime.tasks import async_wait_until
from cardamomnotch_sidecar.composition import Sidecar

from tests.fixtures.in_process_system import async_start_small_system
from tests.fixtures.local_system import CONFIGURATION_PATH, ZONES

_HEADERS = {"Authorization": "Bearer member-key"}
_STREAMS = 24
# The stated target from the operators' word to the last new work.
_LAST_WORK_S = 3.0


@pytest.fixture
async def system():
    """Return an entry before one slow engine a zone."""
    running = await async_start_small_system()
    for gate in running.upstream_vms.values():
        gate.stand_in.faults.active["token_s"] = 0.02
    yield running
    await running.async_stop()


def _mark(system, kind, name, *, out=True, revision=2):
    lists = set_out_of_service(
        load_configuration(CONFIGURATION_PATH), kind, name, out=out
    )
    system.set_configuration(lists, revision=revision)


def _drain(system):
    system.upstream_vms["engine-0"].sidecar._runner.dispatch(events.DrainStarted())


_LEAVING = [
    pytest.param(lambda it: _mark(it, OutOfServiceKind.ZONE, ZONES[0]), id="zone out"),
    pytest.param(lambda it: _mark(it, OutOfServiceKind.VM, "engine-0"), id="VM out"),
    pytest.param(
        lambda it: it.publish_vm_list(**{"engine-0": {"state": "leaving"}}),
        id="leaving in the list",
    ),
    pytest.param(_drain, id="sidecar stops"),
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


def _started(system, vm_id):
    return system.upstream_vms[vm_id].stand_in.faults.counts.get("started", 0)


async def _async_serve(http_session, system):
    answers = await asyncio.gather(
        *(_async_stream(http_session, system) for _ in range(_STREAMS))
    )
    assert all(answer.endswith(b"data: [DONE]\n\n") for answer in answers)


@pytest.mark.parametrize("leave", _LEAVING)
async def test_leaving_upstream_ends_its_work_and_gets_no_more(
    system, http_session, leave
):
    """Open streams end whole; from the target time on nothing new starts."""
    open_streams = asyncio.create_task(_async_serve(http_session, system))
    begun = await async_wait_until(
        lambda: _started(system, "engine-0") > 0, _LAST_WORK_S
    )
    assert begun
    leave(system)
    await asyncio.sleep(_LAST_WORK_S)
    before = _started(system, "engine-0")
    await _async_serve(http_session, system)
    await open_streams
    assert _started(system, "engine-0") == before


async def test_zone_back_is_ramped(system):
    """An upstream back in service starts with a part of its limit."""
    node = system.upstream_vms["engine-0"].sidecar.node
    full = node.diagnostics()["load"]["limit"]
    for out, revision in ((True, 2), (False, 3)):
        _mark(system, OutOfServiceKind.ZONE, ZONES[0], out=out, revision=revision)
        assert await async_wait_until(
            lambda revision=revision: node.configuration.revision == revision,
            _LAST_WORK_S,
        )
    assert node.diagnostics()["load"]["limit"] < full


async def test_address_taken_over_by_another_vm(system, http_session):
    """A sidecar of another VM at a listed address gets nothing in its name."""
    gate = system.upstream_vms["engine-0"]
    await gate.sidecar.async_unload()
    node = attrs.evolve(gate.settings.node, vm_id="engine-9")
    gate.sidecar = Sidecar(attrs.evolve(gate.settings, node=node))
    await gate.sidecar.async_setup()
    # Heartbeats reach the address meanwhile.
    await asyncio.sleep(_LAST_WORK_S)
    before = _started(system, "engine-0")
    await _async_serve(http_session, system)
    assert _started(system, "engine-0") == before


async def test_vm_listed_after_it_is_gone(system, http_session):
    """Requests go elsewhere while the list still shows the VM."""
    await system.upstream_vms["engine-0"].sidecar.async_unload()
    await _async_serve(http_session, system)
