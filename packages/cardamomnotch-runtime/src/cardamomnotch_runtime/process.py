"""Running a process until a signal stops it."""

import asyncio
import logging
import signal
import sys
import time
from collections.abc import Awaitable, Callable

import aiomisc
import uvloop

from .const import EXIT_BAD_SETTINGS
from .settings import LogSettings, SettingsError
from .structured_log import JsonLineFormatter, LineWriter, LineWriterHandler

# Size of the event loop's thread pool; the system's own code runs no threads.
_POOL_THREADS = 2


class NodeService(aiomisc.Service):
    """Starts a process's node, and drains it when the service stops."""

    __required__ = ("setup", "unload")

    setup: Callable[[], Awaitable[None]]
    unload: Callable[[], Awaitable[None]]

    async def start(self) -> None:
        """Start the node."""
        await self.setup()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain and unload the node."""
        await self.unload()


def configure_logging(settings: LogSettings) -> None:
    """Send log lines to standard error in the configured format."""
    handler = logging.StreamHandler(sys.stderr)
    if settings.format == "json":
        handler.setFormatter(JsonLineFormatter())
    else:
        handler.setFormatter(
            logging.Formatter("%(asctime)s %(levelname)s %(name)s %(message)s")
        )
    logging.basicConfig(level=settings.level.upper(), handlers=[handler], force=True)


def configure_structured_logging(level: str, process: str) -> None:
    """Send log lines to standard output as JSON, without blocking."""
    writer = LineWriter(sys.stdout.fileno(), time.monotonic)
    handler = LineWriterHandler(writer)
    handler.setFormatter(JsonLineFormatter(process))
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)


async def _async_wait_for_stop(reload: Callable[[], None] | None) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    await stop.wait()


def run_node(
    setup: Callable[[], Awaitable[None]],
    unload: Callable[[], Awaitable[None]],
    log: LogSettings,
    shutdown_timeout_s: float,
) -> None:
    """Configure logging and run a node until SIGTERM or SIGINT.

    ``shutdown_timeout_s`` is the time limit of ``unload`` as a whole.
    """
    configure_logging(log)
    run_service(setup, unload, shutdown_timeout_s)


def run_service(
    setup: Callable[[], Awaitable[None]],
    unload: Callable[[], Awaitable[None]],
    shutdown_timeout_s: float,
    reload: Callable[[], None] | None = None,
) -> None:
    """Run a service until SIGTERM or SIGINT.

    SIGHUP calls ``reload``, if given.
    """
    service = NodeService(setup=setup, unload=unload)
    with aiomisc.entrypoint(
        service,
        log_config=False,
        pool_size=_POOL_THREADS,
        loop_factory=uvloop.new_event_loop,
        catch_signals=(),
        shutdown_timeout=shutdown_timeout_s,
    ) as loop:
        loop.run_until_complete(_async_wait_for_stop(reload))


def exit_with_settings_error(error: SettingsError) -> None:
    """Print ``error`` on one line and exit with EXIT_BAD_SETTINGS."""
    sys.stderr.write(f"error: {error}\n")
    sys.exit(EXIT_BAD_SETTINGS)
