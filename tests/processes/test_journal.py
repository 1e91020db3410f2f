"""Owners of the journal that are killed or paused, as processes."""

import json
import signal
import time
import urllib.error
import urllib.request

import pytest

from tests.fixtures.local_system import ZONES, LocalSystem, fetch_json

_LEASE_AND_MARGIN_S = 15.0


@pytest.fixture
def system(tmp_path):
    """Return two entries before one booking service."""
    with LocalSystem(tmp_path) as running:
        running.start_platform()
        running.add_upstream_vm(
            "booking-0", ZONES[0], "plain_service", services=["booking"]
        )
        for number in (0, 1):
            running.add_entry(f"entry-{number}", ZONES[number])
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


def _book_until_done(system, entry, key):
    give_up_at = time.monotonic() + _LEASE_AND_MARGIN_S
    while time.monotonic() < give_up_at:
        status, body = _book(system, entry, key)
        if status == 201:
            return body
        time.sleep(0.3)
    raise AssertionError(f"{entry} did not take over in {_LEASE_AND_MARGIN_S} s")


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP], ids=str)
def test_lost_owner_loses_no_claim(system, number):
    """Claims of an owner that is gone or paused hold at its successor."""
    keys = [f"k{index}" for index in range(8)]
    first = {key: _book_until_done(system, "entry-0", key) for key in keys}
    owner = system.process("entry-0")
    owner.send(number)
    again = {key: _book_until_done(system, "entry-1", key) for key in keys}
    if number is signal.SIGSTOP:
        owner.send(signal.SIGCONT)
        again = {key: _book_until_done(system, "entry-0", key) for key in keys}
    assert again == first
    url = f"{system.upstream_vms['booking-0'].upstream_url}/reservations"
    assert len(fetch_json(url)["reservations"]) == len(keys)


def test_bills_command_adds_up(system):
    """The command prints as many requests as the service counted."""
    for index in range(5):
        _book_until_done(system, f"entry-{index % 2}", f"k{index}")
    lines = []
    give_up_at = time.monotonic() + _LEASE_AND_MARGIN_S
    while time.monotonic() < give_up_at and "crates-ljubljana 5 0 0" not in lines:
        time.sleep(0.5)
        lines = system.run_operator_command("bills").splitlines()
    assert "crates-ljubljana 5 0 0" in lines
    assert "code 0 ok" in system.run_operator_command(
        "outcome", "crates-ljubljana", "k0"
    )
