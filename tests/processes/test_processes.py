"""Both binaries as separate processes."""

import json
import signal
import subprocess
import sys
import threading
import urllib.request

import pytest

from tests.fixtures.local_system import ROOT, start_small_system

_OPEN_STREAMS = 50
# Longest wait until a stream has begun, in seconds.
_OPENED_WITHIN_S = 30.0


@pytest.fixture(scope="module")
def system(tmp_path_factory):
    """Return a small system of processes."""
    running = start_small_system(tmp_path_factory.mktemp("system"))
    yield running
    running.stop()


def _stream(url: str, tokens: int, opened: threading.Semaphore) -> bytes:
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
        opened.release()
        return response.read()


@pytest.mark.parametrize("stopped", ["engine-0", "entry-0"])
def test_planned_stop_cuts_no_stream(system, stopped):
    """SIGTERM with 50 open streams: all end whole, then the process exits."""
    for gate in system.upstream_vms.values():
        system.set_faults(gate.upstream_url, token_s=0.02)
    answers = []
    opened = threading.Semaphore(0)
    url = system.entries["entry-0"].url
    callers = [
        threading.Thread(target=lambda: answers.append(_stream(url, 100, opened)))
        for _ in range(_OPEN_STREAMS)
    ]
    for caller in callers:
        caller.start()
    for _ in callers:
        assert opened.acquire(timeout=_OPENED_WITHIN_S)
    process = system.process(stopped)
    process.send(signal.SIGTERM)
    for caller in callers:
        caller.join()
    assert len(answers) == _OPEN_STREAMS
    assert all(answer.endswith(b"data: [DONE]\n\n") for answer in answers)
    assert process.wait() == 0
    if stopped in system.upstream_vms:
        system.start_sidecar(stopped)
    else:
        system.start_entry(stopped)
    system.wait_until_ready()


@pytest.mark.parametrize(
    ("module", "word", "text", "named"),
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
def test_bad_settings_end_with_one_line(tmp_path, module, word, text, named):
    """Bad settings give one line with file and key, and exit code 2."""
    path = tmp_path / "bad.toml"
    if text is not None:
        path.write_text(text)
    command = [sys.executable, "-m", f"cardamomnotch_{module}", word]
    done = subprocess.run(
        [*command, "--settings", str(path)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert done.stderr.count("\n") == 1
    assert "bad.toml" in done.stderr
    assert named in done.stderr


def test_port_in_use_ends_with_one_line(system):
    """A port in use gives one line with the key, and exit code 2."""
    gate = system.upstream_vms["engine-0"]
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "cardamomnotch_sidecar",
            "run",
            "--settings",
            str(gate.settings),
        ],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert "node.inner_address" in done.stderr
    assert "Traceback" not in done.stderr
