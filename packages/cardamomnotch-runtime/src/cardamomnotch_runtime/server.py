"""Listening sockets and HTTP servers of one process."""

import socket
import ssl

from aiohttp import web

from .settings import SettingsError, host_and_port

# Time within which open responses must end once a server is stopped.
SHUTDOWN_TIMEOUT_S = 5.0


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
    """Serves one aiohttp application on one bound socket."""

    def __init__(
        self,
        app: web.Application,
        bound_socket: socket.socket,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        self._runner = web.AppRunner(
            app, access_log=None, handle_signals=False, handler_cancellation=True
        )
        self._socket = bound_socket
        self._ssl_context = ssl_context

    async def async_start(self) -> None:
        """Start accepting connections."""
        await self._runner.setup()
        site = web.SockSite(self._runner, self._socket, ssl_context=self._ssl_context)
        await site.start()

    async def async_stop(self) -> None:
        """Stop accepting connections and close those that are open."""
        await self._runner.cleanup()
