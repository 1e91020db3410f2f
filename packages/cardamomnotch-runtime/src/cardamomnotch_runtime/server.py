"""Listening sockets and HTTP servers of one process."""

import asyncio
import functools
import socket
import ssl

from aiohttp import web

from cardamomnotch_core.relay.loop_share import LoopShares

from .caller_limits.budget import BudgetLimits
from .caller_limits.connection import GuardedConnection, limit_receive_buffer
from .caller_limits.guard import CallerGuard
from .caller_limits.settings import admin_limits
from .const import MAX_BODY_BYTES
from .settings import SettingsError, host_and_port

# Time within which open responses must end once a server is stopped.
SHUTDOWN_TIMEOUT_S = 5.0
# Connections that may wait in the listen queue.
_ACCEPT_BACKLOG = 512
# Time for which the rest of a refused request body is read, in seconds.
_REFUSED_BODY_READ_TIMEOUT_S = 1.0


def bind(
    address: str, key: str, kind: socket.SocketKind = socket.SOCK_STREAM
) -> socket.socket:
    """Return a socket that is bound to ``address``, "ip:port".

    Raises SettingsError that names ``key``, the settings key of the address.
    """
    host, port = host_and_port(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    bound_socket = socket.socket(family, kind)
    bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound_socket.bind((host, port))
    except OSError as error:
        bound_socket.close()
        raise SettingsError(
            f"{key}: cannot bind to {address}: {error.strerror}"
        ) from error
    return bound_socket


class HttpServer:
    """Serves one aiohttp application on one bound socket.

    Without ``limits`` it has the limits of an address for probes and operators.
    ``name`` is that of the address in logs, metrics and the state dump.
    """

    def __init__(
        self,
        app: web.Application,
        bound_socket: socket.socket,
        ssl_context: ssl.SSLContext | None = None,
        *,
        name: str = "admin",
        limits: BudgetLimits | None = None,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handle_signals=False,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            lingering_time=_REFUSED_BODY_READ_TIMEOUT_S,
        )
        self._socket = bound_socket
        self._ssl_context = ssl_context
        self._max_body_bytes = max_body_bytes
        self._listener: asyncio.Server | None = None
        self.guard = CallerGuard(name, limits or admin_limits())

    @property
    def is_busy(self) -> bool:
        """Return whether a request has no response that was sent as a whole."""
        return bool(self.guard.busy_connections)

    async def async_start(self) -> None:
        """Start accepting connections."""
        await self._runner.setup()
        limit_receive_buffer(self._socket)
        loop = asyncio.get_running_loop()
        server = self._runner.server
        assert server is not None
        create_connection = functools.partial(
            GuardedConnection,
            server,
            self.guard,
            LoopShares(),
            self._max_body_bytes,
            loop=loop,
            **server._kwargs,
        )
        self._listener = await loop.create_server(
            create_connection,
            sock=self._socket,
            ssl=self._ssl_context,
            backlog=_ACCEPT_BACKLOG,
        )

    async def async_stop(self) -> None:
        """Stop accepting connections and close those that are open."""
        if self._listener is not None:
            self._listener.close()
        await self._runner.cleanup()
