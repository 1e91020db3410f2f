"""Starts entries as the deploy file does, beside stand-ins of store and engines.

The entries are processes of their own; the stand-ins run in the process of the script.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any, NoReturn

from aiohttp import web
from tests.stand_ins.platform_store import PlatformStoreStandIn

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "calls.example"
KEY = "key-one"
TENANT = "firm-one"
# Codes of the Python program; run.sh turns 3 into 1, and any other but 0 into 2.
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 3, 2


def has_trouble() -> bool:
    """Return whether the script's disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Return a free port on loopback."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of a config, as the platform's pages describe it."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "service": service,
        "timeout_ms": 15_000,
        "target_latency_ms": 3_000,
        "attempts": 3,
        "priority": 1,
        "public": False,
        **fields,
    }


def config(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a config."""
    names = sorted({one["service"] for one in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/healthz", "max_conns": 400}
            for name in names
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 1_000_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


class Record:
    """The lines of record.txt, with the time since the script's start."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "record.txt"
        self._began_at_s = time.monotonic()
        self._lines: list[str] = []

    def add(self, text: str) -> None:
        """Add a line, and print it."""
        line = f"{time.monotonic() - self._began_at_s:8.3f} {text}"
        self._lines.append(line)
        sys.stdout.write(f"{line}\n")
        sys.stdout.flush()

    def write(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Store:
    """The project's stand-in of the platform's store, on a port for each entry.

    It notes from which port a write under a condition came.
    """

    def __init__(self) -> None:
        self.content = PlatformStoreStandIn()
        # Keys written under a condition, with the port and the time, oldest first.
        self.conditional_writes: list[tuple[str, int, float]] = []
        # Ports on which every call gets 503, without effect.
        self.rejected_ports: set[int] = set()
        self._ports: list[int] = []
        self._runner: web.AppRunner | None = None

    def add_port(self) -> int:
        """Return one more port to listen on; before the start."""
        self._ports.append(free_port())
        return self._ports[-1]

    async def async_start(self) -> None:
        """Listen."""
        app = self.content.create_app()
        app.middlewares.insert(0, self._reject)
        app.middlewares.append(self._note_writes)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)
        await self._runner.setup()
        for port in self._ports:
            await web.TCPSite(self._runner, "127.0.0.1", port).start()

    @web.middleware
    async def _reject(self, request: web.Request, handler: Any) -> Any:
        port = request.transport.get_extra_info("sockname")[1]
        if port not in self.rejected_ports:
            return await handler(request)
        headers = {"Store-Era": str(self.content.era)}
        return web.Response(status=503, headers=headers)

    @web.middleware
    async def _note_writes(self, request: web.Request, handler: Any) -> Any:
        response = await handler(request)
        if request.path == "/kv-txn" and response.status == 200:
            body = json.loads(await request.read())
            port = request.transport.get_extra_info("sockname")[1]
            for row in body["expected_revision"]:
                self.conditional_writes.append((row["key"], port, time.monotonic()))
        return response

    async def async_stop(self) -> None:
        """Stop listening, as a store that is down."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None


class Entry:
    """One entry: the program of the deploy file."""

    def __init__(
        self,
        name: str,
        store: Store,
        folder: Path,
        *,
        zone: str = "zone-a",
        memory_mb: int = 300,
    ) -> None:
        self.name = name
        self.caller = ("127.0.0.1", free_port())
        self.admin = ("127.0.0.1", free_port())
        self.store_port = store.add_port()
        self.log_path = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        peer = free_port(socket.SOCK_DGRAM)
        self._settings.write_text(
            f"""name = "{name}"
zone = "{zone}"
caller_address = "127.0.0.1:{self.caller[1]}"
peer_address = "127.0.0.1:{peer}"
admin_address = "127.0.0.1:{self.admin[1]}"
metrics_address = "127.0.0.1:{free_port()}"
store_address = "127.0.0.1:{self.store_port}"

[limits]
revocation_ms = 5000
retry_ratio = 0.9
retry_slack = 58
retry_window_s = 10
cold_overshoot = 1.5
cold_slack = 5
exposure_share = 0.15
session_ttl_s = 5
grace_s = 8

[process]
memory_mb = {memory_mb}
max_open_files = 4100
"""
        )
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def process(self) -> subprocess.Popen[bytes]:
        """Return the running process."""
        assert self._process is not None
        return self._process

    def start(self) -> None:
        """Start the program."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["CARDAMOMNOTCH_BOOT"] = str(self._settings)
        environment["CARDAMOMNOTCH_ACTIVATION_MS"] = "2000"
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-S", "platform/serve.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def async_is_ready(self) -> bool:
        """Return whether the entry says that it is ready."""
        try:
            status, _ = await async_get(self.admin, "/readyz")
        except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    async def async_wait_ready(self, limit_s: float = 30.0) -> bool:
        """Return whether the entry gets ready in time."""
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            if self._process is not None and self._process.poll() is not None:
                return False
            if await self.async_is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def memory_kb(self, field: str = "VmRSS") -> int:
        """Return a figure of the process's memory, in KB; 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith(f"{field}:"):
                return int(line.split()[1])
        return 0

    def end(self) -> None:
        """End the process."""
        if self._process is None or self._process.poll() is not None:
            return
        self._process.send_signal(signal.SIGCONT)
        self._process.terminate()
        try:
            self._process.wait(1.0)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()


async def async_get(address: tuple[str, int], path: str) -> tuple[int, bytes]:
    """Return status and body of a GET request on a connection of its own."""
    async with asyncio.timeout(2.0):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(
                f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
            )
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.read()
        finally:
            writer.close()
    return int(head.split()[1]), body


def request_bytes(
    path: str,
    request_id: str,
    body: bytes = b"",
    *,
    method: str = "POST",
    deadline_ms: int = 14_000,
    key: str = KEY,
    extra: str = "",
) -> bytes:
    """Return a request as requesters send it."""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Attempt-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
        f"Authorization: Token {key}\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


@contextlib.contextmanager
def new_folder() -> Iterator[Path]:
    """Yield a temporary folder for settings and logs, which stays if KEEP is set."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    try:
        yield folder
    finally:
        if "KEEP" in os.environ:
            sys.stdout.write(f"{folder}\n")
        else:
            shutil.rmtree(folder, ignore_errors=True)


def run_case(async_case: Callable[[], Awaitable[int]]) -> NoReturn:
    """Run a case and exit with its code; 1 is that of an unexpected error."""
    sys.exit(asyncio.run(async_case()))
