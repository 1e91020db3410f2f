"""Starts entries with the command of the deploy file, and keeps a case's record."""

import asyncio
import os
import re
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from .http import call
from .store import Store

ROOT = Path(__file__).resolve().parents[2]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = "ficu95.example"

# The bounds of the small installations.
BOUNDS = {
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.9,
    "retry_budget_slack": 58,
    "budget_window_s": 10,
    "cold_overshoot": 1.5,
    "cold_slack": 5,
    "exposure_share": 0.15,
    "session_ttl_s": 5,
    "grace_s": 8,
}


class Record:
    """Writes what happens, with the time since the start, to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def __call__(self, line: str) -> None:
        """Write a line."""
        elapsed_s = time.monotonic() - self._began_s
        self._file.write(f"{elapsed_s:8.3f} {line}\n")
        self._file.flush()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of a config."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "service": service,
        "timeout_ms": 800,
        "target_latency_ms": 200,
        "attempts": 1,
        "priority": 2,
        **fields,
    }


def config(version: int, routes: list[dict], tenants: dict[str, list[str]]) -> dict:
    """Return a config."""
    names = sorted({one["service"] for one in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 110}
            for name in names
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 100000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": name, "api_keys": keys} for name, keys in tenants.items()],
    }


class Entry:
    """One process of the deploy file."""

    def __init__(self, name: str, zone: str, store: Store, folder: Path) -> None:
        self.name = name
        self._folder = folder
        self.caller_address = f"127.0.0.1:{free_port()}"
        self.readiness_address = f"127.0.0.1:{free_port()}"
        fields = {
            "node_name": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "listen.front": self.caller_address,
            "listen.readiness": self.readiness_address,
            "internal_ports.0": free_port(socket.SOCK_DGRAM),
            "platform.address": store.address,
            **{f"bounds.{bound}": value for bound, value in BOUNDS.items()},
        }
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "entry"
        ]
        self._command = shlex.split(role["run"])
        text = (ROOT / role["template"]).read_text()
        text = re.sub(r"\{\{[#/][^}]*\}\}", "", text)
        text = re.sub(r"\{\{([^}]*)\}\}", lambda found: str(fields[found[1]]), text)
        # Several entries of one case share an address: each gets a metrics port.
        text = text.replace("127.0.0.1:9187", f"127.0.0.1:{free_port()}")
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(text)
        self._process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CARDAMOMNOTCH_BOOT"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.is_running:
            self._process.send_signal(number)

    def end(self) -> None:
        """End the process."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness question gets a 200."""
        answer = await call(
            self.readiness_address, "GET", "/readyz", {"Host": "x"}, timeout_s=1.0
        )
        return answer is not None and answer.status == 200

    async def wait_until_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the process is ready; raises TimeoutError."""
        until_s = time.monotonic() + timeout_s
        while not await self.is_ready():
            if time.monotonic() > until_s:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)


class Deployment:
    """The entries of a case, in a temporary folder that is removed at its end."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.entries: list[Entry] = []

    def add_entry(self, name: str, zone: str, store: Store) -> Entry:
        """Add and start an entry."""
        entry = Entry(name, zone, store, self.folder)
        self.entries.append(entry)
        entry.start()
        return entry

    def close(self) -> None:
        """End all processes."""
        for entry in self.entries:
            entry.end()
        self._temporary.cleanup()


def run_case(case: object, folder: Path) -> int:
    """Run ``case``, a coroutine function of a deployment; return the exit status."""
    deployment = Deployment(folder)
    try:
        return asyncio.run(_limited(case, deployment))
    except Exception as error:  # noqa: BLE001
        deployment.record(f"the case could not run: {type(error).__name__}: {error}")
        return COULD_NOT_RUN
    finally:
        deployment.close()


async def _limited(case: object, deployment: Deployment) -> int:
    try:
        async with asyncio.timeout(110.0):
            return await case(deployment)
    finally:
        # The stand-ins' tasks end before their event loop does.
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0.05)
