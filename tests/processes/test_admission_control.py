"""Tests of admission control when an engine or its sidecar restarts."""

import json
import signal
import threading
import urllib.error
import urllib.request

import pytest

from tests.fixtures.local_system import ZONES, LocalSystem

_COLD_LIMIT = 2
_WARM_AFTER = 6
_TOKEN_S = 0.01
_CALLERS = 16
_VERSIONS = ["drafter/v1", "drafter/v2"]
_ENGINE_ARGUMENTS = [
    _VERSIONS,
    _TOKEN_S,
    {"cold_limit": _COLD_LIMIT, "warm_after": _WARM_AFTER},
]


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Yield a system of two entries and two engines that start cold."""
    with LocalSystem(tmp_path_factory.mktemp("admission")) as running:
        running.start_platform()
        for index in range(2):
            running.add_upstream_vm(
                f"engine-{index}",
                ZONES[index],
                "engine",
                *_ENGINE_ARGUMENTS,
                cold_concurrency=_COLD_LIMIT,
                warm_up_completions=_WARM_AFTER,
            )
            running.add_entry(f"entry-{index}", ZONES[index])
        running.activate_configuration()
        yield running


def _send_request(url, number):
    """Send a model call and ignore whether it succeeds."""
    body = {
        "model": "auto",
        "max_tokens": 50,
        "messages": [{"role": "user", "content": f"question {number}"}],
    }
    request = urllib.request.Request(
        f"{url}/v1/chat/completions",
        data=json.dumps(body).encode(),
        headers={
            "Authorization": "Bearer member-key",
            "X-Cardamomnotch-Class": "quick",
        },
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            response.read()
    except (urllib.error.URLError, ConnectionError):
        return


@pytest.fixture
def load(system):
    """Keep both entries under load until the test ends."""
    stopped = threading.Event()

    def call(index):
        url = system.entries[f"entry-{index % 2}"].url
        for number in range(1_000_000):
            if stopped.is_set():
                return
            _send_request(url, f"{index}-{number}")
            stopped.wait(_TOKEN_S)

    callers = [threading.Thread(target=call, args=(n,)) for n in range(_CALLERS)]
    for caller in callers:
        caller.start()
    yield
    stopped.set()
    for caller in callers:
        caller.join()


def _restart_engine(system, vm_id):
    process = system.process(f"{vm_id}-upstream")
    process.send(signal.SIGKILL)
    process.wait()
    url = system.upstream_vms[vm_id].upstream_url
    system.start_stand_in(f"{vm_id}-upstream", "engine", url, *_ENGINE_ARGUMENTS)


def _restart_sidecar(system, vm_id):
    process = system.process(vm_id)
    process.send(signal.SIGKILL)
    process.wait()
    system.start_sidecar(vm_id)


@pytest.mark.parametrize(
    "restart",
    [
        pytest.param(_restart_engine, id="engine killed"),
        pytest.param(_restart_sidecar, id="sidecar killed"),
    ],
)
def test_cold_engine_is_never_over_its_limit(system, load, restart):
    """The engine counts no more concurrent requests than its cold limit.

    Once it is warm, the concurrency rises above that limit.
    """

    def is_warm():
        return system.counts("engine-0").get("done", 0) > 4 * _WARM_AFTER

    system.wait_until(is_warm)
    restart(system, "engine-0")
    system.wait_for(f"{system.upstream_vms['engine-0'].upstream_url}/counts")
    system.wait_until(is_warm)
    counts = system.counts("engine-0")
    assert counts["most_running_cold"] <= _COLD_LIMIT
    assert counts["most_running"] > _COLD_LIMIT
