"""Running a process until it is told to stop."""

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

# The loop's own pool; the product itself uses no threads.
_POOL_THREADS = 2


class NodeService(aiomisc.Service):
    """Starts a composed node, and drains it on SIGTERM or SIGINT."""

    __required__ = ("setup", "unload")

    setup: Callable[[], Awaitable[None]]
    unload: Callable[[], Awaitable[None]]

    async def start(self) -> None:
        """Set the node up."""
        await self.setup()

    async def stop(self, exception: Exception | None = None) -> None:
        """Drain and unload the node."""
        await self.unload()


def configure_logging(settings: LogSettings) -> None:
    """Send log lines to standard error."""
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
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    await stop.wait()


def run_node(
    setup: Callable[[], Awaitable[None]],
    unload: Callable[[], Awaitable[None]],
    log: LogSettings,
    shutdown_timeout_s: float,
) -> None:
    """Run a node on aiomisc's entry point until a signal arrives.

    ``shutdown_timeout_s`` bounds the whole of ``unload``.
    """
    configure_logging(log)
    run_service(setup, unload, shutdown_timeout_s)


def run_service(
    setup: Callable[[], Awaitable[None]],
    unload: Callable[[], Awaitable[None]],
    shutdown_timeout_s: float,
    reload: Callable[[], None] | None = None,
) -> None:
    """Run until SIGTERM or SIGINT; SIGHUP calls ``reload``, if given."""
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
    """Print one line and exit with the code for bad settings."""
    sys.stderr.write(f"error: {error}\n")
    sys.exit(EXIT_BAD_SETTINGS)
