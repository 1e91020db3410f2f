"""HTTP client sessions for calls to upstreams."""

import aiohttp
import pytest
from aiohttp import web

from cardamomnotch_runtime.upstream_session import create_upstream_session


@pytest.mark.parametrize("method", ["DELETE", "GET", "POST", "PUT"])
async def test_request_whose_connection_breaks_is_sent_once(serve_app, method):
    """The library does not repeat a request by itself."""
    received = []

    async def break_connection(request: web.Request) -> web.Response:
        received.append(request.method)
        request.transport.abort()
        return web.Response()

    app = web.Application()
    app.router.add_route("*", "/", break_connection)
    url = await serve_app(app)
    connector = aiohttp.TCPConnector(force_close=True)
    async with create_upstream_session(connector) as session:
        with pytest.raises(aiohttp.ClientError):
            await session.request(method, f"{url}/")
    assert received == [method]
