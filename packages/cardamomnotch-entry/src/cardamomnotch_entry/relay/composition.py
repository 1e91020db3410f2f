"""The composition root of a relaying entry."""

import asyncio
import logging
import socket
import time

import attrs
from aiohttp import web

from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_platform.store.interface import KeyValueStore
from cardamomnotch_runtime.admin import create_admin_app, create_metrics_app
from cardamomnotch_runtime.server import HttpServer, bind
from cardamomnotch_runtime.settings import SettingsError
from cardamomnotch_runtime.structured_log import log_event
from cardamomnotch_runtime.tasks import TaskGroup, async_wait_until

from .caller_connection import CallerConnection
from .const import (
    BALANCER_NOTICE_S,
    FLUSH_S,
    MAX_LINE_BYTES,
    PUBLISH_INTERVAL_S,
    READY_CHECK_S,
    STOP_MARGIN_S,
)
from .coordinator import StoreCoordinator
from .diagnostics import diagnostics
from .feed import StoreFeed
from .interfaces import Documents, Wire
from .metrics import RelayMetrics
from .peers import PeerExchange
from .server import RelayServer
from .settings import RelaySettings
from .upstream_client import UpstreamClient

_LOGGER = logging.getLogger(__name__)
# Connections that may wait to be accepted.
_BACKLOG = 512
_ADDRESSES = (
    "caller_address",
    "peer_address",
    "admin_address",
    "metrics_address",
)
# Time that open connections get to close at the end, in seconds.
_CLOSE_TIMEOUT_S = 0.1
# Time for which a caller's idle connection is kept, in seconds: longer than the
# operators' limits, which may change while a connection is open.
_IDLE_S = 75.0
# Time for which the rest of a refused body is read, so that its caller gets the
# refusal instead of a reset, in seconds.
_LINGER_S = 1.0


def boot_clock() -> float:
    """Return seconds of a clock that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RelayEntry:
    """All parts of one relaying entry, wired."""

    def __init__(
        self, settings: RelaySettings, wire: Wire, documents: Documents
    ) -> None:
        self._settings = settings
        self._wire = wire
        self._documents = documents
        self._caller_socket = bind(settings.caller_address, "caller_address")
        self._admin_socket = bind(settings.admin_address, "admin_address")
        self._peer_socket = bind(
            settings.peer_address, "peer_address", socket.SOCK_DGRAM
        )
        self._tasks = TaskGroup()
        self._node = RelayNode(
            RelayIdentity(
                name=settings.name,
                zone=settings.zone,
                incarnation=f"{time.time_ns():x}",
                address=settings.peer_address,
            ),
            settings.limits,
        )
        self._metrics = RelayMetrics(self._node)
        self._metrics_server: HttpServer | None = None
        self._draining = False
        self._unready_since_s: float | None = None

    @property
    def node(self) -> RelayNode:
        """Return the node, for diagnostics."""
        return self._node

    @property
    def metrics(self) -> RelayMetrics:
        """Return the metrics, for the store's client to count its calls."""
        return self._metrics

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer should send new connections."""
        return not self._draining and self._node.routes.is_recently_confirmed(
            boot_clock()
        )

    @property
    def _grace_s(self) -> float:
        return max(0.0, self._settings.limits.grace_s - STOP_MARGIN_S)

    async def async_setup(self, store: KeyValueStore) -> None:
        """Start serving."""
        self._client = UpstreamClient()
        self._server = RelayServer(
            node=self._node,
            client=self._client,
            wire=self._wire,
            clock=boot_clock,
            metrics=self._metrics,
        )
        self._peers = PeerExchange(self._node, boot_clock, self._peer_socket)
        await self._peers.async_setup()
        self._coordinator = StoreCoordinator(
            self._node, StoreFeed(store, self._documents), boot_clock
        )
        self._admin = HttpServer(
            create_admin_app(
                is_ready=lambda: self.is_ready,
                diagnostics=lambda: diagnostics(self._node, self._server, boot_clock()),
                registry=self._metrics.registry,
            ),
            self._admin_socket,
        )
        await self._admin.async_start()
        await self._async_start_metrics()
        self._callers = web.Server(
            self._server.async_handle,
            handler_cancellation=True,
        )
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._accept_caller, sock=self._caller_socket, backlog=_BACKLOG
        )
        self._tasks.repeat(lambda: 0.0, self._coordinator.async_follow)
        self._tasks.repeat(lambda: PUBLISH_INTERVAL_S, self._coordinator.async_publish)
        self._tasks.repeat(lambda: 0.0, self._peers.async_send)
        self._tasks.repeat(lambda: READY_CHECK_S, self._async_check_ready)
        log_event(
            _LOGGER,
            "entry started",
            zone=self._settings.zone,
            incarnation=self._node.identity.incarnation,
            caller_address=self._settings.caller_address,
        )

    async def async_unload(self) -> None:
        """Finish what is in flight, then stop."""
        self._draining = True
        self._server.start_draining()
        log_event(_LOGGER, "entry is draining", in_flight=self._server.in_flight)
        await asyncio.sleep(FLUSH_S)
        # Idle connections end now, so that callers open their next one at
        # another entry; busy ones end after their answer.
        self._close_idle()
        await asyncio.sleep(max(0.0, min(BALANCER_NOTICE_S, self._grace_s) - FLUSH_S))
        self._listener.close()
        self._close_idle()
        await async_wait_until(
            lambda: not self._server.in_flight, self._grace_s - BALANCER_NOTICE_S
        )
        await self._tasks.async_unload()
        await self._callers.shutdown(_CLOSE_TIMEOUT_S)
        await self._coordinator.async_unload()
        await self._peers.async_unload()
        await self._admin.async_stop()
        if self._metrics_server is not None:
            await self._metrics_server.async_stop()
        await self._client.async_unload()
        log_event(_LOGGER, "entry stopped", in_flight=self._server.in_flight)

    async def _async_start_metrics(self) -> None:
        address = self._settings.metrics_address
        if not address:
            return
        try:
            bound = bind(address, "metrics_address")
        except SettingsError as error:
            # Callers are served all the same.
            log_event(_LOGGER, "no metrics", logging.WARNING, detail=error.detail)
            return
        self._metrics_server = HttpServer(
            create_metrics_app(self._metrics.registry), bound
        )
        await self._metrics_server.async_start()

    def _accept_caller(self) -> CallerConnection:
        return CallerConnection(
            self._callers,
            lambda: self._node.routes.caller_limits,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=_IDLE_S,
            lingering_time=_LINGER_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )

    async def _async_check_ready(self) -> None:
        """Move kept connections elsewhere once the balancer has left out this VM."""
        now_s = boot_clock()
        if self.is_ready or not self._node.routes.version:
            self._unready_since_s = None
            return
        if self._unready_since_s is None:
            self._unready_since_s = now_s
        elif now_s - self._unready_since_s >= BALANCER_NOTICE_S:
            self._close_idle()

    def _close_idle(self) -> None:
        for connection in self._callers.connections:
            if connection not in self._server.busy_connections:
                connection.force_close()

    def reload(self, settings: RelaySettings) -> None:
        """Take over changed settings; addresses hold until the next start."""
        self._node.apply_limits(settings.limits)
        kept = [
            name
            for name in _ADDRESSES
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = attrs.evolve(self._settings, limits=settings.limits)
        log_event(
            _LOGGER,
            "settings read again",
            limits=attrs.asdict(settings.limits),
            used_at_next_start=kept,
        )
