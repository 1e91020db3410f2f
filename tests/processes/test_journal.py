"""Tests of journal owners that are killed or paused, as processes."""

import json
import signal
import time
import urllib.error
import urllib.request

import pytest

from tests.fixtures.local_system import ZONES, LocalSystem, fetch_json

# The duration of an owner's lease plus a margin.
_TAKEOVER_TIMEOUT_S = 15.0


@pytest.fixture
def system(tmp_path):
    """Yield a system of two entries and a booking service."""
    with LocalSystem(tmp_path) as running:
        running.start_platform()
        running.add_upstream_vm(
            "booking-0", ZONES[0], "plain_service", services=["booking"]
        )
        for index in (0, 1):
            running.add_entry(f"entry-{index}", ZONES[index])
        running.publish_vm_list()
        running.wait_for(f"http://{running.entries['entry-0'].admin_address}/healthz")
        running.run_operator_command("config", "apply", "docs/examples/lists.toml")
        running.wait_until_ready()
        yield running


def _book(system, entry, key):
    request = urllib.request.Request(
        f"{system.entries[entry].url}/services/booking/reservations",
        data=json.dumps({"batch": key}).encode(),
        headers={"Authorization": "Bearer member-key", "Idempotency-Key": key},
    )
    try:
        with urllib.request.urlopen(request, timeout=20) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as error:
        assert error.headers["X-Cardamomnotch-Not-Run"] == "true", error.read()
        return error.code, None


def _book_until_confirmed(system, entry, key):
    deadline = time.monotonic() + _TAKEOVER_TIMEOUT_S
    while time.monotonic() < deadline:
        status, body = _book(system, entry, key)
        if status == 201:
            return body
        time.sleep(0.3)
    raise AssertionError(
        f"{entry} did not confirm booking {key} within {_TAKEOVER_TIMEOUT_S} s"
    )


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP], ids=str)
def test_killed_or_paused_owner_loses_no_claim(system, signal_number):
    """Claims of a killed or paused owner are kept by its successor."""
    keys = [f"k{index}" for index in range(8)]
    first = {key: _book_until_confirmed(system, "entry-0", key) for key in keys}
    owner = system.process("entry-0")
    owner.send(signal_number)
    again = {key: _book_until_confirmed(system, "entry-1", key) for key in keys}
    if signal_number is signal.SIGSTOP:
        owner.send(signal.SIGCONT)
        again = {key: _book_until_confirmed(system, "entry-0", key) for key in keys}
    assert again == first
    url = f"{system.upstream_vms['booking-0'].upstream_url}/reservations"
    assert len(fetch_json(url)["reservations"]) == len(keys)


def test_bills_command_counts_every_request(system):
    """The ``bills`` command prints as many requests as were confirmed."""
    for index in range(5):
        _book_until_confirmed(system, f"entry-{index % 2}", f"k{index}")
    lines = []
    deadline = time.monotonic() + _TAKEOVER_TIMEOUT_S
    while time.monotonic() < deadline and "crates-ljubljana 5 0 0" not in lines:
        time.sleep(0.5)
        lines = system.run_operator_command("bills").splitlines()
    assert "crates-ljubljana 5 0 0" in lines
    assert "code 0 ok" in system.run_operator_command(
        "outcome", "crates-ljubljana", "k0"
    )
