"""Tests of three entries and nine sidecars in outages and pauses."""

import json
import signal
import threading
import urllib.error
import urllib.request

import pytest

from tests.fixtures.local_system import CONFIGURATION_PATH, ZONES, LocalSystem

_VERSIONS = ["drafter/v1", "drafter/v2"]
_PROCESS_COUNT = 12
# Longest time from accepting a change until it is active in all processes.
_ACTIVATION_TIMEOUT_S = 3.0


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Yield a system of three entries, six engines and three services."""
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


def _revisions(system):
    """Return the revision that the ``status`` command prints for each VM."""
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
        system.counts(upstream_vm.vm_id).get("started", 0)
        for upstream_vm in system.upstream_vms.values()
        if upstream_vm.zone == zone and upstream_vm.vm_id.startswith("engine")
    )


def _wait_until_active(system, timeout_s=_ACTIVATION_TIMEOUT_S):
    """Wait until all processes have the same active revision; return it."""
    system.wait_until(lambda: len(set(_revisions(system).values())) == 1, timeout_s)
    return next(iter(_revisions(system).values()))


def test_apply_waits_until_active(system):
    """``apply --wait`` ends when all processes have the new revision.

    ``status`` then lists every process and none as behind.
    """
    printed = system.run_operator_command(
        "config", "apply", str(CONFIGURATION_PATH), "--wait"
    )
    assert f"in force in {_PROCESS_COUNT} of {_PROCESS_COUNT}" in printed
    assert len(_revisions(system)) == _PROCESS_COUNT
    assert "BEHIND" not in system.run_operator_command("status")


def test_entry_paused_over_three_changes_does_not_use_old_revisions(system):
    """A resumed entry catches up, and a pending call gets no old version."""
    paused = system.process("entry-2")
    before = _revisions(system)["entry-2"]
    paused.send(signal.SIGSTOP)
    responses = []
    url = system.entries["entry-2"].url
    caller = threading.Thread(target=lambda: responses.append(_complete(url, 30)))
    caller.start()
    try:
        system.run_operator_command("vm", "out", "engine-0")
        system.run_operator_command("version", "out", "drafter/v1")
        system.run_operator_command("vm", "in", "engine-0")
        others = {item for item in system.entries if item != "entry-2"}
        system.wait_until(
            lambda: all(_revisions(system)[item] == before + 3 for item in others)
        )
        assert _revisions(system)["entry-2"] is None
    finally:
        paused.send(signal.SIGCONT)
    caller.join()
    assert responses[0] in [(503, None), (200, "drafter/v2")]
    assert _wait_until_active(system) == before + 3
    system.wait_until_ready()
    assert _complete(url) == (200, "drafter/v2")
    system.run_operator_command("version", "in", "drafter/v1")
    _wait_until_active(system)


def test_zone_out_and_in_under_load(system):
    """No call fails, and a zone out of service gets no new requests."""
    stopping = threading.Event()
    responses = []

    def load(url):
        while not stopping.is_set():
            responses.append(_complete(url))

    callers = [
        threading.Thread(target=load, args=(item.url,))
        for item in system.entries.values()
    ]
    for caller in callers:
        caller.start()
    try:
        zone = ZONES[2]
        system.run_operator_command("zone", "out", zone)
        _wait_until_active(system)
        started, served = _started_in(system, zone), len(responses)
        system.wait_until(lambda: len(responses) > served + 30)
        assert _started_in(system, zone) == started
        system.run_operator_command("zone", "in", zone)
        system.wait_until(lambda: _started_in(system, zone) > started)
    finally:
        stopping.set()
        for caller in callers:
            caller.join()
    assert {status for status, _ in responses} == {200}


def test_store_restarted_empty_reverts_no_configuration(system):
    """An entry started without the store gets the revision from its peers.

    A store that returns empty does not replace the active configuration.
    """
    revision = _wait_until_active(system)
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
    assert set(_revisions(system).values()) == {revision}
    assert _complete(system.entries["entry-1"].url)[0] == 200
