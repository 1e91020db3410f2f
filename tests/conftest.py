"""Fixtures of all tests, and the handling of tests that are known to fail."""

import gc
import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from hypothesis import settings

from tests.fixtures.key_value_stores import STORES, StoreHarness
from tests.known_red import load_known_failures

settings.register_profile("fixed", derandomize=True, deadline=None, max_examples=60)
settings.load_profile("fixed")

ServeApp = Callable[[web.Application], Awaitable[str]]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the known failures as xfail, strict unless they are intermittent."""
    known_failures = {entry.test_id: entry for entry in load_known_failures()}
    for item in items:
        entry = known_failures.get(item.nodeid)
        if entry is not None:
            reason = f"issue {entry.issue}: {entry.seen}"
            strict = not entry.is_intermittent
            item.add_marker(pytest.mark.xfail(strict=strict, reason=reason))


def pytest_collection_finish() -> None:
    """Leave the collected tests out of garbage collection.

    Its pauses grow with them to 0.2 s, and an entry in the process of the tests cannot
    answer meanwhile.
    """
    gc.collect()
    gc.freeze()


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list of known failures after every run."""
    for entry in load_known_failures():
        terminalreporter.write_line(
            f"KNOWN RED {entry.test_id}: {entry.seen} (issue {entry.issue};"
            f" {entry.command})"
        )


@pytest.fixture
async def serve_app() -> AsyncIterator[ServeApp]:
    """Yield a function that serves an application and returns its URL."""
    servers: list[TestServer] = []

    async def serve(app: web.Application) -> str:
        server = TestServer(app)
        await server.start_server()
        servers.append(server)
        return str(server.make_url("")).rstrip("/")

    yield serve
    for server in servers:
        await server.close()


@pytest.fixture
async def http_session() -> AsyncIterator[aiohttp.ClientSession]:
    """Yield a client session that opens a new connection for each call.

    A call made after a process was killed could otherwise fail on a kept
    connection to the killed process.
    """
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(connector=connector) as session:
        yield session


@pytest.fixture(params=STORES)
async def store_harness(
    request: pytest.FixtureRequest,
    serve_app: ServeApp,
    http_session: aiohttp.ClientSession,
) -> StoreHarness:
    """Return a client of each supported store, connected to its stand-in."""
    return await STORES[request.param](serve_app, http_session)


@pytest.fixture
def memory_peak():
    """Return a function that returns the peak of the memory taken meanwhile."""
    tracemalloc.start()
    yield lambda: tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
