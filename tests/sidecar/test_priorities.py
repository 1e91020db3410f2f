"""Requests carry the priority of their request class to the engine."""

import pytest

from tests.fixtures.in_process_system import async_start_small_system


@pytest.fixture
async def system():
    """Return a small running system."""
    running = await async_start_small_system()
    yield running
    await running.async_stop()


@pytest.mark.parametrize(
    ("request_class", "priority"),
    [pytest.param("quick", 0, id="quick"), pytest.param("tender", 1, id="draft")],
)
async def test_priority_reaches_the_engine(
    system, http_session, request_class, priority
):
    """The engine receives the priority that the class is configured with."""
    body = {
        "model": "auto",
        "max_tokens": 2,
        "messages": [{"role": "user", "content": "x"}],
    }
    headers = {
        "Authorization": "Bearer member-key",
        "X-Cardamomnotch-Class": request_class,
    }
    url = f"{system.entries['entry-0'].url}/v1/chat/completions"
    async with http_session.post(url, json=body, headers=headers) as response:
        assert response.status == 200
    request_counts = [
        running_sidecar.stand_in.faults.counts.get(f"priority_{priority}", 0)
        for vm_id, running_sidecar in system.upstream_vms.items()
        if vm_id.startswith("engine")
    ]
    assert sum(request_counts) == 1
