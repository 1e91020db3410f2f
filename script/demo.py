"""Demo of the whole system on loopback: calls, a booking, a withdrawal."""

import json
import sys
import tempfile
import urllib.error
import urllib.request
from pathlib import Path

from tests.fixtures.local_system import LocalSystem, start_small_system

_WITHDRAWN_VERSION = "drafter/v1"


def _post(url: str, body: dict, headers: dict[str, str] | None = None) -> bytes:
    request = urllib.request.Request(
        url,
        data=json.dumps(body).encode(),
        headers={"Authorization": "Bearer member-key", **(headers or {})},
    )
    with urllib.request.urlopen(request, timeout=10) as response:
        version = response.headers.get("X-Cardamomnotch-Version")
        if version:
            print(f"  served by {version}")
        return response.read()


def _send_model_call(system: LocalSystem) -> None:
    entry = system.entries["entry-0"]
    print("model call, streamed:")
    body = {
        "model": "auto",
        "stream": True,
        "max_tokens": 4,
        "messages": [{"role": "user", "content": "How many crates are in Kranj?"}],
    }
    response_body = _post(f"{entry.url}/v1/chat/completions", body)
    print("  " + response_body.decode().replace("\n\n", "\n  "))
    if not response_body.endswith(b"data: [DONE]\n\n"):
        raise RuntimeError(
            "the streamed answer of entry-0 did not end with data: [DONE]"
        )


def _send_booking(system: LocalSystem) -> None:
    entry = system.entries["entry-0"]
    print("booking:")
    response_body = _post(
        f"{entry.url}/services/booking/reservations",
        {"batch": "weekend-7"},
        {"Idempotency-Key": "demo-1"},
    )
    print("  " + response_body.decode())


def _withdraw_version(system: LocalSystem) -> None:
    print(f"withdrawing {_WITHDRAWN_VERSION}:")
    print("  " + system.run_operator_command("version", "out", _WITHDRAWN_VERSION))
    system.wait_until_ready()
    _send_model_call(system)


def _print_entry_state(system: LocalSystem) -> None:
    print("state of the entry:")
    state = system.state(system.entries["entry-0"])
    print(f"  revision {state['revision']}, ready {state['ready']}")
    for upstream in state["upstreams"]:
        load = upstream["load"]
        print(
            f"  {upstream['vm_id']} in {upstream['zone']}: revision"
            f" {upstream['revision']}, {load['in_flight']} of {load['limit']}"
        )


def main() -> int:
    """Run the demo and return the exit code."""
    with tempfile.TemporaryDirectory() as directory:
        try:
            with start_small_system(Path(directory)) as system:
                _send_model_call(system)
                _send_booking(system)
                _withdraw_version(system)
                _print_entry_state(system)
        except (RuntimeError, TimeoutError, urllib.error.URLError) as error:
            print(f"demo failed: {error}", file=sys.stderr)
            return 1
    print("demo done")
    return 0


if __name__ == "__main__":
    sys.exit(main())
