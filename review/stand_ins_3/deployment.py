"""Starts entries with the command of the deploy file, beside a store stand-in."""

import asyncio
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parents[2]
for _path in (*sorted(ROOT.glob("packages/*/src")), ROOT / "platform" / "src", ROOT):
    sys.path.insert(0, str(_path))
sys.path.append(str(ROOT / "target" / "deps"))

from aiohttp import web  # noqa: E402
from tests.stand_ins.platform_store import PlatformStoreStandIn  # noqa: E402

HOST = "calls.example"
API_KEY = "key-one"
TENANT = "firm-one"
START_TIMEOUT_S = 15.0
# The fields of a small deployment's settings file that the template names.
FIELDS: dict[str, Any] = {
    "bounds": {
        "revoke_ms": 5000,
        "retry_budget_ratio": 0.9,
        "retry_budget_slack": 58,
        "budget_window_s": 10,
        "cold_overshoot": 1.5,
        "cold_slack": 5,
        "exposure_share": 0.15,
        "session_ttl_s": 5,
        "grace_s": 8,
        "config_apply_ms": 2000,
    },
    "limits": {"memory_mb": 150, "max_fds": 4100},
}


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a port that is free on loopback."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def _lookup(fields: dict[str, Any], name: str) -> Any:
    value: Any = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def fill_in(template: str, fields: dict[str, Any]) -> str:
    """Fill a template in as the platform does: sections, then single values."""
    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
        lambda match: match[2] if _lookup(fields, match[1]) is not None else "",
        template,
        flags=re.DOTALL,
    )
    return re.sub(
        r"\{\{([\w.]+)\}\}",
        lambda match: str(_lookup(fields, match[1]) or ""),
        text,
    )


def route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Return one route of the config."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "service": "engines",
        "timeout_ms": 8000,
        "target_latency_ms": 2000,
        "attempts": 1,
        "priority": 1,
        "public": False,
        **fields,
    }


def config(*routes: dict[str, Any]) -> dict[str, Any]:
    """Return a config with these routes, one service and the usual limits."""
    return {
        "version": 1,
        "routes": list(routes),
        "services": [
            {
                "name": "engines",
                "health_path": "/healthz",
                "max_conns": 110,
                "cold_start_s": 0.0,
                "cold_per_s": 0.0,
            }
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [API_KEY], "priority": 1}],
    }


class Entry:
    """A process of the deploy file's only role."""

    def __init__(self, name: str, zone: str, store: str, folder: Path) -> None:
        self.port = free_port()
        self._readiness_port = free_port()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        fields = {
            **FIELDS,
            "node_name": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "internal_ports": [free_port(socket.SOCK_DGRAM), 0],
            "listen": {
                "front": f"127.0.0.1:{self.port}",
                "readiness": f"127.0.0.1:{self._readiness_port}",
            },
            "platform": {"address": store},
        }
        settings = folder / f"{name}.toml"
        settings.write_text(fill_in((ROOT / role["template"]).read_text(), fields))
        self.log_path = folder / f"{name}.log"
        self._command = fill_in(role["run"], fields).split()
        self._environment = {
            **{
                key: os.environ[key]
                for key in ("PATH", "HOME", "LANG")
                if key in os.environ
            },
            **{key: fill_in(text, fields) for key, text in role["env"].items()},
            "CARDAMOMNOTCH_BOOT": str(settings),
        }
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=self._environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.process.terminate()

    def kill(self) -> None:
        """End the process."""
        if self.is_running:
            self.process.kill()
            self.process.wait()

    def resident_bytes(self) -> int:
        """Return the memory that the process has in use; 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) * 1024 if found else 0

    async def async_wait_until_ready(self) -> None:
        """Wait until the readiness address says 200."""
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s:
            try:
                if await self._async_is_ready():
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError("an entry was not ready in time")

    async def _async_is_ready(self) -> bool:
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self._readiness_port
        )
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
        reply = await reader.read()
        writer.close()
        return reply.startswith(b"HTTP/1.1 200")


class Record:
    """The lines of record.txt, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w")
        self._began_s = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        seconds = time.monotonic() - self._began_s
        self._file.write(f"{seconds:8.3f} s  {text}\n")
        self._file.flush()


class Deployment:
    """A store stand-in and entries, which end with the context."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = PlatformStoreStandIn()
        self.entries: list[Entry] = []
        self._runner = web.AppRunner(self.store.create_app(), shutdown_timeout=0.5)
        self._folder = tempfile.TemporaryDirectory()

    async def __aenter__(self) -> "Deployment":
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        return self

    async def __aexit__(self, *error: object) -> None:
        for entry in self.entries:
            entry.kill()
        await self._runner.cleanup()
        self._folder.cleanup()

    async def async_start_entries(self, count: int) -> None:
        """Start entries in zones of their own, and wait until they are ready."""
        host, port = self._runner.addresses[0][:2]
        for number in range(count):
            entry = Entry(
                f"edge-{number + 1}",
                f"zone-{'abc'[number % 3]}",
                f"{host}:{port}",
                Path(self._folder.name),
            )
            self.entries.append(entry)
            entry.start()
        for entry in self.entries:
            await entry.async_wait_until_ready()


def run_case(main: Any, folder: Path) -> None:
    """Run ``main(record, trouble)`` and exit as the issue asks.

    ``main`` returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")

    async def async_main() -> bool:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(110):
            return await main(record, trouble)

    try:
        held = asyncio.run(async_main())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        record(f"the case could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
