"""The composition root of the sidecar."""

import time
import uuid

import aiohttp

from cardamomnotch_core.admission.limiter import ConcurrencyLimiter
from cardamomnotch_core.nodes import events
from cardamomnotch_core.nodes.identity import SidecarIdentity
from cardamomnotch_core.nodes.sidecar_node import SidecarNode
from cardamomnotch_runtime.admin import create_admin_app
from cardamomnotch_runtime.auth import inner_headers
from cardamomnotch_runtime.configuration import (
    ConfigurationFetcher,
    ConfigurationSource,
)
from cardamomnotch_runtime.const import MAX_INNER_BODY_BYTES, TIMER_INTERVAL_S
from cardamomnotch_runtime.response_memory import ResponseMemory
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.server import HttpServer, bind
from cardamomnotch_runtime.tasks import TaskGroup, async_wait_until
from cardamomnotch_runtime.upstream_session import create_upstream_session

from .attempt_runner import AttemptRunner
from .const import REPORT_INTERVAL_S, UPSTREAM_KIND_SERVICE
from .coordinator import UpstreamCoordinator
from .inner.server import InnerServer
from .metrics import SidecarMetrics
from .outcomes.server import OutcomeServer
from .placement.order_sender import PlacementOrderSender
from .settings import SidecarSettings
from .upstream.engine import EngineClient
from .upstream.plain_service import PlainServiceClient


class Sidecar:
    """Creates, connects, starts and stops the components of a sidecar."""

    def __init__(self, settings: SidecarSettings) -> None:
        self._settings = settings
        self._inner_socket = bind(settings.node.inner_address, "node.inner_address")
        self._admin_socket = bind(settings.node.admin_address, "node.admin_address")
        self._sessions: list[aiohttp.ClientSession] = []
        self._servers: list[HttpServer] = []
        self._tasks = TaskGroup()
        limiter = ConcurrencyLimiter(settings=settings.upstream.limiter)
        self._limiter = limiter
        self._identity = SidecarIdentity(
            vm_id=settings.node.vm_id,
            zone=settings.node.zone,
            incarnation=uuid.uuid4().hex,
            services=settings.upstream.services,
        )
        self._node = SidecarNode(
            self._identity, limiter, wall_offset_s=time.time() - time.monotonic()
        )
        self._runner = NodeRunner(self._node, time.monotonic)

    @property
    def node(self) -> SidecarNode:
        """Return the state machine that makes the sidecar's decisions."""
        return self._node

    async def async_setup(self) -> None:
        """Start the servers and periodic tasks."""
        # A connection used once cannot have been dropped while it was idle.
        upstream_session = create_upstream_session(
            aiohttp.TCPConnector(limit=0, force_close=True)
        )
        self._sessions.append(upstream_session)
        inner_session = self._open_session(
            inner_headers(self._settings.node.inner_keys)
        )
        client = self._create_client(upstream_session)
        metrics = SidecarMetrics(self._node, self._runner)
        coordinator = UpstreamCoordinator(self._runner, client)
        if isinstance(client, EngineClient):
            PlacementOrderSender(self._runner, client, self._tasks)
        attempts = AttemptRunner(
            self._runner,
            client,
            self._tasks,
            lambda: self._limiter.load,
            self._node.outcomes,
            coordinator.async_poll,
        )
        fetcher = ConfigurationFetcher(
            inner_session, self._runner, self._tasks, self._node.configuration
        )
        inner = InnerServer(
            runner=self._runner,
            attempts=attempts,
            fetcher=fetcher,
            outcomes=OutcomeServer(self._node.outcomes),
            source=ConfigurationSource(self._node.configuration),
            incarnation=self._identity.incarnation,
            inner_keys=self._settings.node.inner_keys,
        )
        admin_app = create_admin_app(
            is_ready=lambda: self._node.is_ready,
            diagnostics=self._node.diagnostics,
            registry=metrics.registry,
        )
        self._servers = [
            HttpServer(
                inner.create_app(),
                self._inner_socket,
                name="inner",
                limits=self._settings.process.caller_limits,
                max_body_bytes=MAX_INNER_BODY_BYTES,
            ),
            HttpServer(admin_app, self._admin_socket),
        ]
        for server in self._servers:
            await server.async_start()
        self._tasks.repeat(lambda: REPORT_INTERVAL_S, coordinator.async_poll)
        self._tasks.repeat(lambda: TIMER_INTERVAL_S, self._async_tick)
        self._tasks.repeat(lambda: TIMER_INTERVAL_S, attempts.async_cancel_orphans)

    async def async_unload(self) -> None:
        """Drain the attempts in flight, then stop."""
        self._runner.dispatch(events.DrainStarted())
        await async_wait_until(
            lambda: not self._node.attempts_in_flight and not self._is_responding(),
            self._settings.drain_grace_s,
        )
        for server in self._servers:
            await server.async_stop()
        await self._tasks.async_unload()
        for session in self._sessions:
            await session.close()

    def _create_client(
        self, session: aiohttp.ClientSession
    ) -> EngineClient | PlainServiceClient:
        upstream = self._settings.upstream
        if upstream.kind == UPSTREAM_KIND_SERVICE:
            return PlainServiceClient(session, upstream.url, upstream.silence_s)
        memory = ResponseMemory(self._settings.process.unfinished_bytes)
        return EngineClient(session, upstream.url, upstream.silence_s, memory)

    def _is_responding(self) -> bool:
        return any(server.is_busy for server in self._servers)

    async def _async_tick(self) -> None:
        self._runner.dispatch(events.TimerDue())

    def _open_session(self, headers: dict[str, str]) -> aiohttp.ClientSession:
        # The concurrency limiter limits calls; the connector must not queue
        # them as well.
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0), headers=headers
        )
        self._sessions.append(session)
        return session
