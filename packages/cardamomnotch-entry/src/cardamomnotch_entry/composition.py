"""Composition root: creates and connects the components of the entry."""

import random
import time
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from cardamomnotch_core.nodes import events
from cardamomnotch_core.nodes.entry_node import EntryNode
from cardamomnotch_core.nodes.identity import EntryIdentity
from cardamomnotch_core.sessions.token import SessionSigner, derive_session_keys
from cardamomnotch_platform.rating.client import RatingClient
from cardamomnotch_platform.store.budget import StoreBudget
from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_platform.vm_list.client import VmListClient
from cardamomnotch_runtime.admin import create_admin_app
from cardamomnotch_runtime.auth import inner_headers, inner_key_middleware
from cardamomnotch_runtime.configuration import (
    ConfigurationFetcher,
    ConfigurationSource,
)
from cardamomnotch_runtime.const import MAX_INNER_BODY_BYTES, TIMER_INTERVAL_S
from cardamomnotch_runtime.runner import NodeRunner
from cardamomnotch_runtime.server import HttpServer, bind
from cardamomnotch_runtime.tasks import TaskGroup, async_wait_until
from cardamomnotch_runtime.tls import CERTIFICATE_CHECK_INTERVAL_S, ServerCertificate

from .caller.server import CallerServer
from .configuration.coordinator import ConfigurationChangeCoordinator
from .const import HEARTBEAT_CHECK_INTERVAL_S, VM_LIST_INTERVAL_S
from .coordinators.configuration import ConfigurationCoordinator
from .coordinators.membership import MembershipCoordinator
from .inner.attempt_client import AttemptClient
from .inner.configuration_sender import ConfigurationSender
from .journal.journal import Journal
from .metrics import EntryMetrics
from .peers.coordinator import PeerRevisionCoordinator
from .placement.coordinator import PlacementCoordinator
from .placement.lease import PlannerLease
from .ratings.coordinator import RatingCoordinator
from .sessions.caller_sessions import CallerSessions
from .settings import EntrySettings


class Entry:
    """One entry process, with all its components connected."""

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._caller_socket = bind(settings.caller.address, "caller.address")
        self._inner_socket = bind(settings.node.inner_address, "node.inner_address")
        self._admin_socket = bind(settings.node.admin_address, "node.admin_address")
        self._certificate = (
            ServerCertificate(
                Path(settings.caller.certificate), Path(settings.caller.private_key)
            )
            if settings.caller.certificate
            else None
        )
        self._sessions: list[aiohttp.ClientSession] = []
        self._servers: list[HttpServer] = []
        self._tasks = TaskGroup()
        self._random = random.Random()
        self._identity = EntryIdentity(
            vm_id=settings.node.vm_id,
            zone=settings.node.zone,
            inner_address=settings.node.inner_address,
        )
        self._node = EntryNode(
            self._identity,
            self._random,
            wall_offset_s=time.time() - time.monotonic(),
        )
        self._runner = NodeRunner(self._node, time.monotonic)

    @property
    def node(self) -> EntryNode:
        """Return the state machine of the entry, for diagnostics."""
        return self._node

    @property
    def outcomes_held(self) -> int:
        """Return the number of outcomes not yet committed to the journal."""
        return self._journal.outcomes_held

    async def async_setup(self) -> None:
        """Start the servers and the periodic tasks."""
        inner_keys = self._settings.node.inner_keys
        platform_session = self._open_session({})
        inner_session = self._open_session(inner_headers(inner_keys))
        unpooled_session = self._open_session(inner_headers(inner_keys), reuse=False)
        callers = CallerServer(self._node, self._runner, self._create_sessions())
        AttemptClient(
            inner_session, unpooled_session, self._runner, callers, self._tasks
        )
        source = ConfigurationSource(self._node.configuration)
        ConfigurationSender(inner_session, self._runner, self._tasks, source)
        ConfigurationFetcher(
            inner_session, self._runner, self._tasks, self._node.configuration
        )
        self.store = StoreClient(
            platform_session,
            self._settings.platform.store_url,
            budget=StoreBudget(time.monotonic),
        )
        self._journal = self._create_journal(callers, inner_session)
        peers = self._create_peers(inner_session)
        self._servers = [
            self._create_caller_server(callers),
            HttpServer(
                self._create_inner_app(source, peers),
                self._inner_socket,
                name="inner",
                limits=self._settings.process.caller_limits,
                max_body_bytes=MAX_INNER_BODY_BYTES,
            ),
            HttpServer(self._create_admin_app(), self._admin_socket),
        ]
        self._start_ratings(platform_session, callers)
        for server in self._servers:
            await server.async_start()
        self._start_coordinators(platform_session, inner_session)
        self._tasks.repeat(peers.interval_s, peers.async_exchange)

    def _create_caller_server(self, callers: CallerServer) -> HttpServer:
        ssl_context = None
        if self._certificate is not None:
            ssl_context = self._certificate.context
            self._tasks.repeat(
                lambda: CERTIFICATE_CHECK_INTERVAL_S,
                self._certificate.async_reload_if_changed,
            )
        return HttpServer(
            callers.create_app(),
            self._caller_socket,
            ssl_context,
            name="callers",
            limits=self._settings.process.caller_limits,
        )

    def _create_sessions(self) -> CallerSessions:
        keys = self._settings.sessions.keys or derive_session_keys(
            self._settings.node.inner_keys
        )
        return CallerSessions(SessionSigner(keys), self._node.configuration)

    def _create_journal(
        self, callers: CallerServer, session: aiohttp.ClientSession
    ) -> Journal:
        return Journal(
            store=self.store,
            address=self._identity.inner_address,
            runner=self._runner,
            callers=callers,
            session=session,
            tasks=self._tasks,
            random_source=self._random,
        )

    def _create_inner_app(
        self, source: ConfigurationSource, peers: PeerRevisionCoordinator
    ) -> web.Application:
        app = web.Application(
            client_max_size=MAX_INNER_BODY_BYTES,
            middlewares=[inner_key_middleware(self._settings.node.inner_keys)],
        )
        for component in (source, peers, self._journal):
            component.add_routes(app)
        return app

    def _create_admin_app(self) -> web.Application:
        metrics = EntryMetrics(self._node, self._runner)
        metrics.count_store_calls(self.store)
        return create_admin_app(
            is_ready=lambda: self._node.is_ready,
            diagnostics=self._diagnostics,
            registry=metrics.registry,
        )

    def _create_peers(self, session: aiohttp.ClientSession) -> PeerRevisionCoordinator:
        return PeerRevisionCoordinator(
            node=self._node,
            identity=self._identity,
            runner=self._runner,
            session=session,
            tasks=self._tasks,
            random_source=self._random,
            clock=time.monotonic,
        )

    def _start_ratings(
        self, session: aiohttp.ClientSession, callers: CallerServer
    ) -> None:
        url = self._settings.platform.rating_url
        if not url:
            return
        RatingCoordinator(
            client=RatingClient(session, url),
            node=self._node,
            runner=self._runner,
            callers=callers,
            tasks=self._tasks,
            random_source=self._random,
            share=self._settings.ratings.share,
        )

    def _start_coordinators(
        self,
        platform_session: aiohttp.ClientSession,
        inner_session: aiohttp.ClientSession,
    ) -> None:
        platform = self._settings.platform
        self._journal.start()
        store = self.store
        configuration = ConfigurationCoordinator(
            store,
            self._runner,
            self._random,
            holder=self._node.configuration,
            tasks=self._tasks,
            clock=time.monotonic,
        )
        ConfigurationChangeCoordinator(store, self._runner, self._tasks, self._random)
        membership = MembershipCoordinator(
            node=self._node,
            identity=self._identity,
            runner=self._runner,
            vm_list=VmListClient(platform_session, platform.vm_list_url),
            session=inner_session,
            tasks=self._tasks,
            random_source=self._random,
            clock=time.monotonic,
        )
        placement = PlacementCoordinator(
            node=self._node,
            runner=self._runner,
            store=store,
            lease=PlannerLease(store, self._identity.vm_id),
            random_source=self._random,
        )
        tasks = self._tasks
        tasks.repeat(placement.interval_s, placement.async_step)
        tasks.repeat(lambda: 0.0, configuration.async_read_and_watch)
        tasks.repeat(lambda: VM_LIST_INTERVAL_S, membership.async_read_vm_list)
        tasks.repeat(
            lambda: HEARTBEAT_CHECK_INTERVAL_S, membership.async_send_heartbeats
        )
        tasks.repeat(lambda: TIMER_INTERVAL_S, self._async_tick)

    async def async_unload(self) -> None:
        """Wait for the requests in flight, then stop all components.

        Stops anyway once the drain grace period is over.
        """
        self._runner.dispatch(events.DrainStarted())
        await async_wait_until(
            lambda: not self._node.requests_in_flight and not self._is_responding(),
            self._settings.drain_grace_s,
        )
        await self._journal.async_unload()
        for server in self._servers:
            await server.async_stop()
        await self._tasks.async_unload()
        for session in self._sessions:
            await session.close()

    def _is_responding(self) -> bool:
        return any(server.is_busy for server in self._servers)

    def _diagnostics(self) -> dict[str, Any]:
        return {
            **self._node.diagnostics(),
            "journal": self._journal.diagnostics(),
            "callers": self._servers[0].guard.diagnostics(),
        }

    async def _async_tick(self) -> None:
        self._runner.dispatch(events.TimerDue())

    def _open_session(
        self, headers: dict[str, str], *, reuse: bool = True
    ) -> aiohttp.ClientSession:
        # Nodes limit concurrency; the connector must not queue requests too.
        connector = aiohttp.TCPConnector(limit=0, force_close=not reuse)
        session = aiohttp.ClientSession(connector=connector, headers=headers)
        self._sessions.append(session)
        return session
