"""Responses of upstreams whose bodies have a coding that is not removed."""

import pytest

from tests.entry.relay.test_invalid_headers import (
    ROUTES,
    assert_failed,
    async_add,
    async_exchange,
)
from tests.stand_ins.platform_upstream import LAST_CHUNK, Send, chunk, event, head

CODED = {
    "gzip": ["Transfer-Encoding: gzip"],
    "gzip in chunks": ["Transfer-Encoding: gzip, chunked"],
    "two lines": ["Transfer-Encoding: gzip", "Transfer-Encoding: chunked"],
    "chunks twice": ["Transfer-Encoding: chunked, chunked"],
    "unknown": ["Transfer-Encoding: xchunked"],
    "control character": ["Transfer-Encoding: chunked\x1f"],
    "other letter": ["Transfer-Encoding: chun\u212aed"],
    "second content coding": ["Content-Encoding: identity", "Content-Encoding: gzip"],
    "list of content codings": ["Content-Encoding: identity, gzip"],
}
PLAIN = {
    "chunks": ["Transfer-Encoding: chunked"],
    "capitals": ["transfer-encoding: Chunked"],
    "identity": ["Content-Encoding: Identity", "Transfer-Encoding: chunked"],
}


def coded(lines):
    """Return a behavior that sends chunks with these header lines."""

    def respond(request):
        whole = head(request)[:-2] + "".join(f"{line}\r\n" for line in lines).encode()
        body = chunk(event(1)) + chunk(event(2)) + LAST_CHUNK
        return [Send(whole + b"\r\n" + body)]

    return respond


@pytest.mark.parametrize("lines", CODED.values(), ids=CODED)
@pytest.mark.parametrize("route", ROUTES)
async def test_coded_body_is_passed_on_as_a_plain_one(relay, route, lines):
    """The caller would get other bytes than the upstream's without the coding."""
    await async_add(relay, route, coded(lines))
    assert_failed(await async_exchange(relay, route))


@pytest.mark.parametrize("lines", PLAIN.values(), ids=PLAIN)
@pytest.mark.parametrize("route", ROUTES)
async def test_plain_body_is_refused(relay, route, lines):
    """Chunks are removed, and identity is no coding."""
    await async_add(relay, route, coded(lines))
    response = await async_exchange(relay, route)
    assert (response.status, response.body) == (200, event(1) + event(2))
