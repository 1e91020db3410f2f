"""The composition root of a relaying entry."""

import asyncio
import logging
import socket
import time

import attrs
from aiohttp import web

from cardamomnotch_core.relay.crashes.detection import Crash
from cardamomnotch_core.relay.loop_share import LoopShares
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_platform.store.interface import KeyValueStore
from cardamomnotch_runtime.admin import create_admin_app, create_metrics_app
from cardamomnotch_runtime.caller_limits.connection import limit_receive_buffer
from cardamomnotch_runtime.caller_limits.guard import CallerGuard
from cardamomnotch_runtime.response_memory import ResponseMemory
from cardamomnotch_runtime.server import HttpServer, bind
from cardamomnotch_runtime.settings import SettingsError
from cardamomnotch_runtime.structured_log import log_event
from cardamomnotch_runtime.tasks import TaskGroup, async_wait_until

from .admission_monitor import AdmissionMonitor
from .caller_connection import CallerConnection
from .const import (
    ADMISSION_CHECK_INTERVAL_S,
    BALANCER_DETECTION_S,
    LAST_RESPONSES_TIMEOUT_S,
    MAX_LINE_BYTES,
    PUBLISH_INTERVAL_S,
    READINESS_CHECK_INTERVAL_S,
    RESPONSE_FLUSH_S,
    SHUTDOWN_MARGIN_S,
)
from .coordinator import StoreCoordinator
from .diagnostics import diagnostics
from .interfaces import MessageCodec, StoreCodec
from .loop_lag import LoopLag
from .metrics import RelayMetrics
from .peers import PeerExchange
from .relay_store import RelayStore
from .server import RelayServer
from .settings import RelaySettings
from .upstream_client import UpstreamClient

_LOGGER = logging.getLogger(__name__)
# Caller connections that may wait in the listen queue.
_ACCEPT_BACKLOG = 512
# Settings that take effect only at a restart.
_ADDRESS_SETTINGS = (
    "caller_address",
    "peer_address",
    "admin_address",
    "metrics_address",
    "process",
)
# Time for open caller connections to close at shutdown, in seconds.
_CONNECTION_CLOSE_TIMEOUT_S = 0.1
# Time for which an idle caller connection is kept open, in seconds: longer
# than the operators' limits, which may change while a connection is open.
_CALLER_KEEPALIVE_TIMEOUT_S = 75.0
# Time for which the rest of a refused request body is read, in seconds, so
# that the caller receives the refusal instead of a connection reset.
_REFUSED_BODY_READ_TIMEOUT_S = 1.0


def _log_crash(crash: Crash, crashes: int, explanations: int) -> None:
    """Log a crash that this entry has counted for one of its suspects."""
    log_event(
        _LOGGER,
        "upstream crash counted",
        suspect=crash.suspect,
        suspicion=crash.suspicion.name.lower(),
        process=crash.process,
        crashes=crashes,
        explanations=explanations,
    )


def boot_clock() -> float:
    """Return the time since boot, including suspension, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RelayEntry:
    """Creates, starts and stops the components of a relaying entry."""

    def __init__(
        self, settings: RelaySettings, codec: MessageCodec, store_codec: StoreCodec
    ) -> None:
        self._settings = settings
        self._codec = codec
        self._store_codec = store_codec
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
        self._metrics = RelayMetrics(self._node, boot_clock)
        self._guard = CallerGuard(
            "callers",
            settings.process.caller_limits,
            count_shed=self._metrics.count_shed,
        )
        self._caller_shares = LoopShares()
        self._response_memory = ResponseMemory(settings.process.unfinished_bytes)
        self._metrics.watch_callers(self._guard)
        self._node.quarantine.subscribe(_log_crash)
        self._metrics_server: HttpServer | None = None
        self._is_draining = False
        self._unready_since_s: float | None = None
        self._lost_zones: frozenset[str] = frozenset()

    @property
    def node(self) -> RelayNode:
        """Return the node, for diagnostics."""
        return self._node

    @property
    def metrics(self) -> RelayMetrics:
        """Return the metrics, in which the store client counts its calls."""
        return self._metrics

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send new connections."""
        return (
            not self._is_draining
            and self._node.is_recorded(boot_clock())
            and self._node.routes.is_recently_confirmed(boot_clock())
        )

    @property
    def _grace_s(self) -> float:
        return max(0.0, self._settings.limits.grace_s - SHUTDOWN_MARGIN_S)

    @property
    def _busy_count(self) -> int:
        """Return the number of requests whose response has not been sent."""
        return len(self._guard.busy_connections)

    async def async_setup(self, store: KeyValueStore) -> None:
        """Start serving."""
        self._client = UpstreamClient(
            self._response_memory, self._metrics.count_response_pause
        )
        self._server = RelayServer(
            node=self._node,
            client=self._client,
            codec=self._codec,
            clock=boot_clock,
            metrics=self._metrics,
        )
        self._coordinator = StoreCoordinator(
            self._node,
            RelayStore(store, self._store_codec, boot_clock),
            boot_clock,
            self._metrics.observe_document_delay,
        )
        self._peers = PeerExchange(
            self._node,
            boot_clock,
            self._peer_socket,
            self._coordinator.apply_part,
        )
        await self._peers.async_setup()
        self._admin = HttpServer(
            create_admin_app(
                is_ready=lambda: self.is_ready,
                diagnostics=lambda: {
                    **diagnostics(self._node, self._server, self._guard, boot_clock()),
                    "unfinished_responses": self._response_memory.diagnostics(),
                },
                registry=self._metrics.registry,
            ),
            self._admin_socket,
        )
        await self._admin.async_start()
        await self._async_start_metrics()
        self._caller_server = web.Server(
            self._server.async_handle,
            handler_cancellation=True,
        )
        limit_receive_buffer(self._caller_socket)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._accept_caller, sock=self._caller_socket, backlog=_ACCEPT_BACKLOG
        )
        self._tasks.repeat(lambda: 0.0, self._coordinator.async_apply_changes)
        self._tasks.repeat(lambda: 0.0, self._coordinator.async_read_rest)
        self._tasks.repeat(lambda: PUBLISH_INTERVAL_S, self._coordinator.async_publish)
        self._tasks.repeat(lambda: 0.0, self._peers.async_send)
        self._tasks.repeat(
            lambda: READINESS_CHECK_INTERVAL_S, self._async_close_idle_if_unready
        )
        self._tasks.repeat(
            lambda: READINESS_CHECK_INTERVAL_S, self._async_log_lost_zones
        )
        monitor = AdmissionMonitor(self._node, boot_clock, self._metrics.set_queues)
        self._tasks.repeat(lambda: ADMISSION_CHECK_INTERVAL_S, monitor.async_check)
        loop_lag = LoopLag(self._metrics.observe_loop_lag)
        self._tasks.repeat(lambda: 0.0, loop_lag.async_measure)
        log_event(
            _LOGGER,
            "entry started",
            zone=self._settings.zone,
            incarnation=self._node.identity.incarnation,
            caller_address=self._settings.caller_address,
        )

    async def async_unload(self) -> None:
        """Drain the requests in flight, then stop."""
        self._is_draining = True
        self._server.start_draining()
        self._node.admission.start_draining()
        log_event(_LOGGER, "entry is draining", in_flight=self._busy_count)
        await asyncio.sleep(RESPONSE_FLUSH_S)
        # Idle connections are closed now, so that callers open their next one
        # at another entry; busy ones are closed after their response.
        self._close_idle_connections()
        await asyncio.sleep(
            max(0.0, min(BALANCER_DETECTION_S, self._grace_s) - RESPONSE_FLUSH_S)
        )
        self._listener.close()
        self._server.refuse_requests()
        self._close_idle_connections()
        await async_wait_until(
            lambda: not self._busy_count, self._grace_s - BALANCER_DETECTION_S
        )
        if self._busy_count:
            log_event(
                _LOGGER,
                "grace time has passed; ending the requests in flight",
                logging.WARNING,
                in_flight=self._busy_count,
            )
            self._server.end_requests()
            await async_wait_until(
                lambda: not self._busy_count, LAST_RESPONSES_TIMEOUT_S
            )
        await self._tasks.async_unload()
        await self._caller_server.shutdown(_CONNECTION_CLOSE_TIMEOUT_S)
        await self._coordinator.async_unload()
        await self._peers.async_unload()
        await self._admin.async_stop()
        if self._metrics_server is not None:
            await self._metrics_server.async_stop()
        await self._client.async_unload()
        log_event(_LOGGER, "entry stopped", in_flight=self._busy_count)

    async def _async_start_metrics(self) -> None:
        address = self._settings.metrics_address
        if not address:
            return
        try:
            metrics_socket = bind(address, "metrics_address")
        except SettingsError as error:
            # The entry serves callers without the separate metrics address.
            log_event(
                _LOGGER,
                "metrics address unavailable; starting without it",
                logging.WARNING,
                detail=error.detail,
            )
            return
        self._metrics_server = HttpServer(
            create_metrics_app(self._metrics.registry), metrics_socket
        )
        await self._metrics_server.async_start()

    def _accept_caller(self) -> CallerConnection:
        return CallerConnection(
            self._caller_server,
            lambda: self._node.routes.caller_limits,
            self._guard,
            self._caller_shares,
            loop=asyncio.get_running_loop(),
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=_CALLER_KEEPALIVE_TIMEOUT_S,
            lingering_time=_REFUSED_BODY_READ_TIMEOUT_S,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
        )

    async def _async_log_lost_zones(self) -> None:
        """Log zones whose upstreams accept no connections, and their return."""
        lost = self._node.reachability.lost_zones(boot_clock())
        for zone in sorted(lost ^ self._lost_zones):
            log_event(
                _LOGGER,
                "upstreams of a zone cannot be reached"
                if zone in lost
                else "upstreams of a zone are tried again",
                logging.WARNING if zone in lost else logging.INFO,
                lost_zone=zone,
            )
        self._lost_zones = lost

    async def _async_close_idle_if_unready(self) -> None:
        """Close idle connections once the balancer no longer uses this VM."""
        now_s = boot_clock()
        if self.is_ready or not self._node.routes.version:
            self._unready_since_s = None
            return
        if self._unready_since_s is None:
            self._unready_since_s = now_s
        elif now_s - self._unready_since_s >= BALANCER_DETECTION_S:
            self._close_idle_connections()

    def _close_idle_connections(self) -> None:
        for connection in self._caller_server.connections:
            is_busy = connection in self._guard.busy_connections
            if not is_busy and connection.is_idle:
                connection.force_close()

    def reload(self, settings: RelaySettings) -> None:
        """Apply changed settings; addresses change only at the next start."""
        self._node.apply_limits(settings.limits)
        changed_addresses = [
            name
            for name in _ADDRESS_SETTINGS
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = attrs.evolve(self._settings, limits=settings.limits)
        log_event(
            _LOGGER,
            "settings reloaded",
            limits=attrs.asdict(settings.limits),
            used_at_next_start=changed_addresses,
        )
