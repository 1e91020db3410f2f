"""The relay stays within its bounds, and serves others, beside each crowd."""

import asyncio
import contextlib
import functools
import os
import resource
import sys

import pytest
from aiohttp.test_utils import TestServer

from cardamomnotch_adapter.const import ENV_SETTINGS

from tests.fixtures.local_system import ROOT, free_port
from tests.fixtures.misbehaving_callers import (
    DESCRIPTORS,
    KINDS,
    Crowd,
    Kind,
    Target,
    Usage,
    async_is_answered,
    check_bounds,
    whole_body,
)
from tests.fixtures.relay_system import API_KEY, HOST, document
from tests.stand_ins.platform_store import PlatformStoreStandIn
from tests.stand_ins.platform_upstream import (
    PlatformUpstreamStandIn,
    Send,
    SendWithoutEnd,
    chunk,
    event,
    head,
    plain,
)

MAX_BODY_BYTES = 1_048_576
ANSWER_BYTES = 3_900_000
_HEADERS = (
    f"Host: {HOST}\r\nAuthorization: Token {API_KEY}\r\nX-Attempt-Id: crowd\r\n"
).encode()


def _respond(request):
    if request.target.startswith("/read/large"):
        return plain(b"x" * ANSWER_BYTES)(request)
    if request.target.startswith("/answer/"):
        endless = SendWithoutEnd(chunk(event(1) * 500))
        return [Send(head(request, Transfer_Encoding="chunked")), endless]
    return plain()(request)


class RelayProcess:
    """A relay as a process of its own; store and upstreams are in this one."""

    def __init__(self, directory):
        self._settings = directory / "entry.toml"
        self._log = directory / "entry.log"
        self._upstream = PlatformUpstreamStandIn("up", _respond)
        self._store = PlatformStoreStandIn()
        self._store_server = TestServer(self._store.create_app())
        self._handle = None
        self.caller_address = f"127.0.0.1:{free_port()}"
        self.admin_address = f"127.0.0.1:{free_port()}"

    @property
    def is_running(self):
        """Return whether the process has not ended."""
        return self._handle.returncode is None

    async def async_start(self, descriptors=DESCRIPTORS, *, is_configured=True):
        """Start the process, and return what it takes at rest."""
        await self._store_server.start_server()
        await self._upstream.async_start()
        self._store.put("servers/up", self._upstream.entry(service="bookings"))
        stream = self._upstream.entry(service="drafts", slots=1_000)
        self._store.put("servers/stream", stream)
        if is_configured:
            self.configure()
        url = self._store_server.make_url("")
        settings = {
            "name": "entry-a-1",
            "zone": "zone-a",
            "caller_address": self.caller_address,
            "peer_address": f"127.0.0.1:{free_port()}",
            "admin_address": self.admin_address,
            "store_address": f"{url.host}:{url.port}",
        }
        lines = [f'{name} = "{value}"' for name, value in settings.items()]
        self._settings.write_text("\n".join(lines), encoding="utf-8")
        with self._log.open("wb") as log:
            self._handle = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform" / "serve.py"),
                env={**os.environ, ENV_SETTINGS: str(self._settings)},
                stdout=log,
                stderr=log,
                preexec_fn=functools.partial(_limit_descriptors, descriptors),
            )
        assert await async_is_answered(f"http://{self.admin_address}/healthz")
        if is_configured:
            assert await self.async_serves_others()
        return Usage(self._handle.pid)

    def configure(self):
        """Write the routes, with a limit on bodies that suits a small crowd."""
        limits = {**document()["limits"], "max_body_bytes": MAX_BODY_BYTES}
        self._store.put("op/config", document(limits=limits))

    def add_upstream(self, upstream_id, address):
        """Register an upstream of streams at ``address``."""
        entry = {**self._upstream.entry(slots=1_000), "address": address}
        self._store.put(f"servers/{upstream_id}", entry)

    async def async_serves_others(self):
        """Return whether the relay is ready and answers an ordinary request."""
        is_ready = await async_is_answered(f"http://{self.admin_address}/readyz")
        return is_ready and await async_is_answered(
            f"http://{self.caller_address}/book/x",
            method="POST",
            data=b"question",
            headers={
                "Host": HOST,
                "Authorization": f"Token {API_KEY}",
                "X-Attempt-Id": "ordinary",
            },
        )

    async def async_stop(self):
        """Kill the process, and stop its store and upstreams."""
        if self._handle is not None and self.is_running:
            self._handle.kill()
            await self._handle.wait()
        self._upstream.stop()
        await self._store_server.close()


def _limit_descriptors(number):
    resource.setrlimit(resource.RLIMIT_NOFILE, (number, number))


@pytest.fixture
async def relay(tmp_path):
    """Yield a relay that has not been started."""
    process = RelayProcess(tmp_path)
    yield process
    await process.async_stop()


async def async_check(relay, usage, target, kind):
    """Check the bounds, and that others are served while the crowd is there."""
    async with Crowd(target, kind):
        usage.count_descriptors()
        relay.configure()
        is_serving = await relay.async_serves_others()
        usage.count_descriptors()
        assert relay.is_running
        check_bounds(usage, kind)
        assert is_serving


@pytest.mark.parametrize("kind", KINDS.values(), ids=KINDS)
@pytest.mark.parametrize("path", ["/book/x", "/nowhere"], ids=["route", "no route"])
async def test_crowd_at_the_callers_address(relay, path, kind):
    """A crowd at a path with a route, or without one, ends no process."""
    usage = await relay.async_start(kind.descriptors)
    target = Target(relay.caller_address, path, _HEADERS)
    await async_check(relay, usage, target, kind)


@pytest.mark.parametrize("kind", KINDS.values(), ids=KINDS)
async def test_crowd_before_the_first_configuration(relay, kind):
    """A crowd that comes before the routes have been read ends no process."""
    usage = await relay.async_start(kind.descriptors, is_configured=False)
    target = Target(relay.caller_address, "/book/x", _HEADERS)
    await async_check(relay, usage, target, kind)


@pytest.mark.parametrize("kind", KINDS.values(), ids=KINDS)
async def test_crowd_at_the_readiness_address(relay, kind):
    """A crowd at the address that says ready ends no process."""
    usage = await relay.async_start(kind.descriptors)
    target = Target(relay.admin_address, "/readyz", _HEADERS)
    await async_check(relay, usage, target, kind)


@pytest.mark.parametrize(
    ("path", "clients"),
    [("/read/large", 60), ("/answer/x", 60)],
    ids=["answers", "streams"],
)
async def test_answers_that_are_not_read(relay, path, clients):
    """Large answers that their callers do not read stay within the memory."""
    usage = await relay.async_start()
    target = Target(relay.caller_address, path, _HEADERS, body_bytes=10)
    await async_check(relay, usage, target, Kind(whole_body, clients))


async def test_bodies_on_their_way_to_a_slow_upstream(relay):
    """Whole bodies that their upstream does not read stay within the memory."""
    usage = await relay.async_start()
    stopped = asyncio.Event()

    async def never_read(reader, writer):
        with contextlib.suppress(asyncio.CancelledError):
            await stopped.wait()
        writer.close()

    server = await asyncio.start_server(never_read, "127.0.0.1", 0, limit=4_096)
    host, port = server.sockets[0].getsockname()
    relay.add_upstream("stream", f"{host}:{port}")
    await asyncio.sleep(1.0)
    target = Target(relay.caller_address, "/draft/x", _HEADERS)
    with contextlib.closing(server):
        await async_check(relay, usage, target, Kind(whole_body, 100))
        stopped.set()
