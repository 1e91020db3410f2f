"""HTTP client sessions for calls to upstreams."""

from typing import Any

import aiohttp


def create_upstream_session(
    connector: aiohttp.BaseConnector, **options: Any
) -> aiohttp.ClientSession:
    """Return a session that sends each request at most once.

    aiohttp repeats requests with an idempotent method by itself when their
    connection breaks. Whether a request may be repeated depends on its route
    instead, and each repeat counts; the library has no public option for it.
    """
    session = aiohttp.ClientSession(connector=connector, **options)
    session._retry_connection = False
    return session
