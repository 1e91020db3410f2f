"""Three entries before nine sidecars, through outages and pauses."""

import json
import signal
import threading
import urllib.error
import urllib.request

import pytest

from tests.fixtures.local_system import CONFIGURATION_PATH, ZONES, LocalSystem

_VERSIONS = ["drafter/v1", "drafter/v2"]
_PROCESSES = 12
# The aim for one change, from accepted to in force at all.
_IN_FORCE_WITHIN_S = 3.0


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Return three entries, six engines and three booking services."""
    with LocalSystem(tmp_path_factory.mktemp("fleet")) as running:
        running.start_platform()
        for index in range(6):
            zone = ZONES[index % 3]
            running.add_upstream_vm(f"engine-{index}", zone, "engine", _VERSIONS)
        for index, zone in enumerate(ZONES):
            name = f"booking-{index}"
            running.add_upstream_vm(name, zone, "plain_service", services=["booking"])
        for index, zone in enumerate(ZONES):
            running.add_entry(f"entry-{index}", zone)
        running.activate_configuration()
        yield running


def _statuses(system):
    listed = json.loads(system.run_operator_command("status", "--json"))
    return {item["vm_id"]: item["revision"] for item in listed}


def _complete(url, timeout_s=10):
    """Return the status and version of one short completion."""
    body = {
        "model": "auto",
        "max_tokens": 2,
        "messages": [{"role": "user", "content": "x"}],
    }
    request = urllib.request.Request(
        f"{url}/v1/chat/completions",
        data=json.dumps(body).encode(),
        headers={"Authorization": "Bearer member-key"},
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, response.headers["X-Cardamomnotch-Version"]
    except urllib.error.HTTPError as error:
        return error.code, None


def _started_in(system, zone):
    return sum(
        system.counts(gate.vm_id).get("started", 0)
        for gate in system.upstream_vms.values()
        if gate.zone == zone and gate.vm_id.startswith("engine")
    )


def _wait_in_force(system, timeout_s=_IN_FORCE_WITHIN_S):
    """Wait until all processes have the same revision, and return it."""
    system.wait_until(lambda: len(set(_statuses(system).values())) == 1, timeout_s)
    return next(iter(_statuses(system).values()))


def test_apply_waits_until_in_force(system):
    """``apply --wait`` ends when all have it, and ``status`` names them all."""
    printed = system.run_operator_command(
        "config", "apply", str(CONFIGURATION_PATH), "--wait"
    )
    assert f"in force in {_PROCESSES} of {_PROCESSES}" in printed
    assert len(_statuses(system)) == _PROCESSES
    assert "BEHIND" not in system.run_operator_command("status")


def test_entry_frozen_over_three_changes_acts_on_none_of_the_old(system):
    """A woken entry catches up, and a call that waited gets no old version."""
    frozen = system.process("entry-2")
    before = _statuses(system)["entry-2"]
    frozen.send(signal.SIGSTOP)
    answers = []
    url = system.entries["entry-2"].url
    caller = threading.Thread(target=lambda: answers.append(_complete(url, 30)))
    caller.start()
    try:
        system.run_operator_command("vm", "out", "engine-0")
        system.run_operator_command("version", "out", "drafter/v1")
        system.run_operator_command("vm", "in", "engine-0")
        others = {item for item in system.entries if item != "entry-2"}
        system.wait_until(
            lambda: all(_statuses(system)[item] == before + 3 for item in others)
        )
        assert _statuses(system)["entry-2"] is None
    finally:
        frozen.send(signal.SIGCONT)
    caller.join()
    assert answers[0] in [(503, None), (200, "drafter/v2")]
    assert _wait_in_force(system) == before + 3
    system.wait_until_ready()
    assert _complete(url) == (200, "drafter/v2")
    system.run_operator_command("version", "in", "drafter/v1")
    _wait_in_force(system)


def test_zone_goes_and_returns_under_load(system):
    """No call fails, and the zone out gets no new work after a few seconds."""
    stopping = threading.Event()
    answers = []

    def load(url):
        while not stopping.is_set():
            answers.append(_complete(url))

    callers = [
        threading.Thread(target=load, args=(item.url,))
        for item in system.entries.values()
    ]
    for caller in callers:
        caller.start()
    try:
        zone = ZONES[2]
        system.run_operator_command("zone", "out", zone)
        _wait_in_force(system)
        started, served = _started_in(system, zone), len(answers)
        system.wait_until(lambda: len(answers) > served + 30)
        assert _started_in(system, zone) == started
        system.run_operator_command("zone", "in", zone)
        system.wait_until(lambda: _started_in(system, zone) > started)
    finally:
        stopping.set()
        for caller in callers:
            caller.join()
    assert {status for status, _ in answers} == {200}


def test_store_killed_and_back_empty_reverts_nothing(system):
    """A new entry starts from its peers; an empty store is not believed."""
    revision = _wait_in_force(system)
    store = system.process("store")
    store.send(signal.SIGKILL)
    store.wait()
    entry = system.process("entry-1")
    entry.send(signal.SIGTERM)
    entry.wait()
    system.start_entry("entry-1")
    system.wait_until_ready()
    assert system.state(system.entries["entry-1"])["revision"] == revision
    system.start_stand_in("store", "store", system.store_url)
    system.wait_until(
        lambda: all(
            system.state(item)["configuration"]["state"] == "store behind"
            for item in system.entries.values()
        )
    )
    assert set(_statuses(system).values()) == {revision}
    assert _complete(system.entries["entry-1"].url)[0] == 200
