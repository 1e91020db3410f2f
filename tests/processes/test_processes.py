"""Tests of the entry and the sidecar as separate processes."""

import json
import signal
import subprocess
import sys
import threading
import urllib.request

import pytest

from tests.fixtures.local_system import ROOT, start_small_system

_OPEN_STREAMS = 50
# Longest time until a stream has begun.
_STREAM_START_TIMEOUT_S = 30.0


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Yield a small system of processes."""
    running = start_small_system(tmp_path_factory.mktemp("system"))
    yield running
    running.stop()


def _stream(url: str, tokens: int, started: threading.Semaphore) -> bytes:
    body = {
        "model": "auto",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "x"}],
    }
    request = urllib.request.Request(
        f"{url}/v1/chat/completions",
        data=json.dumps(body).encode(),
        headers={"Authorization": "Bearer member-key"},
    )
    with urllib.request.urlopen(request, timeout=30) as response:
        started.release()
        return response.read()


@pytest.mark.parametrize("stopped", ["engine-0", "entry-0"])
def test_sigterm_interrupts_no_stream(system, stopped):
    """After SIGTERM, 50 open streams complete before the process exits."""
    for upstream_vm in system.upstream_vms.values():
        system.set_faults(upstream_vm.upstream_url, token_s=0.02)
    bodies = []
    started = threading.Semaphore(0)
    url = system.entries["entry-0"].url
    callers = [
        threading.Thread(target=lambda: bodies.append(_stream(url, 100, started)))
        for _ in range(_OPEN_STREAMS)
    ]
    for caller in callers:
        caller.start()
    for _ in callers:
        assert started.acquire(timeout=_STREAM_START_TIMEOUT_S)
    process = system.process(stopped)
    process.send(signal.SIGTERM)
    for caller in callers:
        caller.join()
    assert len(bodies) == _OPEN_STREAMS
    assert all(body.endswith(b"data: [DONE]\n\n") for body in bodies)
    assert process.wait() == 0
    if stopped in system.upstream_vms:
        system.start_sidecar(stopped)
    else:
        system.start_entry(stopped)
    system.wait_until_ready()


@pytest.mark.parametrize(
    ("module", "subcommand", "text", "expected"),
    [
        pytest.param("entry", "serve", "[caller]\n", "node", id="missing table"),
        pytest.param("sidecar", "check", "[node\n", "line", id="not TOML"),
        pytest.param("sidecar", "check", "nodes = 1\n", "nodes", id="unknown key"),
        pytest.param("sidecar", "run", None, "No such file", id="no file"),
        pytest.param(
            "sidecar",
            "check",
            '[node]\nvm_id = 3\nzone = "z"\ninner_address = "x"\n'
            'admin_address = "127.0.0.1:1"\ninner_keys = ["k"]\n'
            '[upstream]\nkind = "engine"\nurl = "http://127.0.0.1:1"\n',
            "vm_id",
            id="wrong type",
        ),
    ],
)
def test_bad_settings_print_one_line(tmp_path, module, subcommand, text, expected):
    """Bad settings print one line with file and key, and exit with code 2."""
    path = tmp_path / "bad.toml"
    if text is not None:
        path.write_text(text)
    command = [sys.executable, "-m", f"cardamomnotch_{module}", subcommand]
    result = subprocess.run(
        [*command, "--settings", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 2
    assert result.stderr.count("\n") == 1
    assert "bad.toml" in result.stderr
    assert expected in result.stderr


def test_port_in_use_is_reported_without_traceback(system):
    """A port in use prints an error with the key, and exits with code 2."""
    upstream_vm = system.upstream_vms["engine-0"]
    result = subprocess.run(
        [
            sys.executable,
            "-m",
            "cardamomnotch_sidecar",
            "run",
            "--settings",
            str(upstream_vm.settings),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert result.returncode == 2
    assert "node.inner_address" in result.stderr
    assert "Traceback" not in result.stderr
