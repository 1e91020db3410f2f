"""Servers of entries and sidecars whose response fails unexpectedly."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.responses import SlicedResponse, error_response
from cardamomnotch_runtime.server import HttpServer, bind

from tests.fixtures.raw_caller import RawCaller

LARGE_BODY = b"x" * 200_000
EXCEPTIONS = [
    AssertionError,
    KeyError,
    OSError,
    RuntimeError,
    TimeoutError,
    TypeError,
    UnicodeEncodeError("utf-8", "\ud800", 0, 1, "surrogates not allowed"),
    ValueError,
    web.HTTPNotFound,
]


class FailingResponse:
    """Raises ``error`` at one point of a response."""

    def __init__(self, point, error, **kwargs):
        super().__init__(**kwargs)
        self._point, self._error = point, error

    def _fail_at(self, point):
        if point == self._point:
            raise self._error

    async def prepare(self, request):
        """Fail before the head, after its framing is set, or after the head."""
        self._fail_at("before prepare")
        writer = await super().prepare(request)
        self._fail_at("after prepare")
        return writer

    async def _write_headers(self):
        self._fail_at("in prepare")
        await super()._write_headers()

    async def write(self, data):
        """Fail before or after a part of the body."""
        self._fail_at("before write")
        await super().write(data)
        self._fail_at("after write")

    async def write_eof(self, data=b""):
        """Fail before or after the end."""
        self._fail_at("before end")
        await super().write_eof(data)
        self._fail_at("after end")


class FailingStream(FailingResponse, web.StreamResponse):
    """A streamed response that fails."""


class FailingWhole(FailingResponse, web.Response):
    """A response with a body that fails."""


class FailingSliced(FailingResponse, SlicedResponse):
    """A large response that fails."""


# Points at which nothing has been sent, at which a part has, and all of it.
UNSENT = ["before prepare", "in prepare"]
BEGUN = ["after prepare", "before write", "after write", "before end"]
POINTS = [*UNSENT, *BEGUN, "after end"]


def stream(point, error):
    """Return a handler that streams a response."""

    async def handle(request):
        response = FailingStream(point, error)
        await response.prepare(request)
        for _ in range(2):
            await response.write(b"part")
        await response.write_eof()
        return response

    return handle


def whole(point, error):
    """Return a handler that returns a response with a body."""

    async def handle(request):
        return FailingWhole(point, error, body=b"whole")

    return handle


def sliced(point, error):
    """Return a handler that returns a large response."""

    async def handle(request):
        return FailingSliced(point, error, body=LARGE_BODY)

    return handle


def refusal(point, error):
    """Return a handler that refuses the request."""

    async def handle(request):
        response = FailingWhole(point, error, status=503, body=b"refused")
        response.headers["Retry-After"] = "1"
        return response

    return handle


KINDS = [stream, whole, sliced, refusal]


@pytest.fixture
async def serve():
    """Return a function that serves a handler and returns its address."""
    servers = []

    async def start(handler, *middlewares):
        app = web.Application(middlewares=middlewares)
        app.router.add_route("*", "/", handler)
        bound = bind("127.0.0.1:0", "address")
        server = HttpServer(app, bound)
        servers.append(server)
        await server.async_start()
        return f"127.0.0.1:{bound.getsockname()[1]}"

    yield start
    for server in servers:
        await server.async_stop()


async def async_receive(address, version="1.1", method="POST"):
    """Return what the caller receives until its connection ends, and its reset."""
    reader, writer = await asyncio.open_connection(*address.split(":"))
    head = f"{method} / HTTP/{version}\r\nHost: x\r\nConnection: close\r\n\r\n"
    writer.write(head.encode())
    received = b""
    try:
        async with asyncio.timeout(5):
            while data := await reader.read(65_536):
                received += data
    except ConnectionResetError:
        return received, True
    finally:
        writer.close()
    return received, False


async def async_call(address, method="POST"):
    """Return the only response on a connection that the server ends."""
    caller = await RawCaller.async_open(address)
    caller.send(method, "/", Host="x", Connection="close")
    response = await caller.async_read_response(method)
    assert await caller.async_read_rest() == b""
    caller.close()
    return response


@pytest.mark.parametrize("error", EXCEPTIONS, ids=repr)
@pytest.mark.parametrize("point", UNSENT)
@pytest.mark.parametrize("kind", KINDS)
async def test_failure_before_a_response_ends_in_stray_bytes(serve, kind, point, error):
    """Nothing was sent, so the caller gets one whole error response."""
    response = await async_call(await serve(kind(point, error)))
    assert response.status in (404, 500, 504)
    assert b"whole" not in response.body
    if response.status == 500:
        assert b'"code":801' in response.body
        assert "retry-after" not in response.headers


@pytest.mark.parametrize("error", EXCEPTIONS, ids=repr)
@pytest.mark.parametrize("point", BEGUN)
@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_failure_within_a_stream_is_followed_by_another_response(
    serve, version, point, error
):
    """The connection is closed, so that the stream is not taken for a whole one."""
    received, is_reset = await async_receive(await serve(stream(point, error)), version)
    head, _, body = received.partition(b"\r\n\r\n")
    assert body.replace(b"4\r\npart\r\n", b"") in (b"", b"partpart", b"part")
    if version == "1.0":
        assert is_reset
    else:
        assert head.startswith(b"HTTP/1.1 200 OK\r\n")


@pytest.mark.parametrize("error", EXCEPTIONS, ids=repr)
@pytest.mark.parametrize("point", [*BEGUN, "after end"])
@pytest.mark.parametrize("kind", [whole, sliced, refusal])
async def test_failure_of_a_whole_response_is_followed_by_another_one(
    serve, kind, point, error
):
    """The caller gets one whole response, or a part of one and a closed connection."""
    received, _ = await async_receive(await serve(kind(point, error)))
    assert received.count(b"HTTP/1.1 ") <= 1
    head, _, body = received.partition(b"\r\n\r\n")
    if not head:
        return
    (length,) = [
        int(line.partition(b": ")[2])
        for line in head.split(b"\r\n")
        if line.lower().startswith(b"content-length")
    ]
    assert len(body) <= length


@pytest.mark.parametrize("point", ["after end"])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_whole_stream_is_lost_by_a_later_failure(serve, version, point):
    """A stream that was sent as a whole stays whole, and nothing follows it."""
    address = await serve(stream(point, RuntimeError))
    received, is_reset = await async_receive(address, version)
    assert not is_reset
    expected = {"1.0": b"partpart", "1.1": b"4\r\npart\r\n4\r\npart\r\n0\r\n\r\n"}
    assert received.partition(b"\r\n\r\n")[2] == expected[version]


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("kind", KINDS)
async def test_failure_with_a_method_without_a_body(serve, kind, point, method):
    """No caller gets two responses to one request."""
    address = await serve(kind(point, RuntimeError))
    received, _ = await async_receive(address, method=method)
    assert received.count(b"HTTP/1.1 ") <= 1


@web.middleware
async def refuse(request, handler):
    """Answer with an error as the servers of entries and sidecars do."""
    try:
        return await handler(request)
    except CardamomnotchError as error:
        return error_response(error)


@pytest.mark.parametrize("point", BEGUN)
async def test_refusal_is_written_into_a_stream(serve, point):
    """A refusal of a request whose stream has begun closes the connection."""
    error = CardamomnotchError(code=ResultCode.SHORT_ANSWER)
    received, _ = await async_receive(await serve(stream(point, error), refuse))
    assert received.count(b"HTTP/1.1 ") == 1
    assert not received.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("point", UNSENT)
async def test_refusal_has_the_framing_of_an_unsent_stream(serve, point):
    """A refusal of a request whose stream has not been sent is whole."""
    error = CardamomnotchError(code=ResultCode.SHORT_ANSWER)
    address = await serve(stream(point, error), refuse)
    caller = await RawCaller.async_open(address)
    for _ in range(2):
        caller.send("POST", "/", Host="x")
        response = await caller.async_read_response()
        assert response.status == 502
        assert b'"code":305' in response.body
    caller.close()


async def test_unsent_error_response_that_fails_is_repeated_without_end(serve):
    """The connection is closed if the error response fails as well."""

    async def handle(request):
        def fail(*_):
            raise RuntimeError

        request._prepare_hook = fail
        return web.Response(body=b"whole")

    assert await async_receive(await serve(handle)) == (b"", False)


async def test_request_after_a_failed_one(serve):
    """Other connections are served on."""
    address = await serve(stream("in prepare", RuntimeError))
    for _ in range(3):
        assert (await async_call(address)).status == 500


@pytest.mark.parametrize("value", ["a\x01b", "caf\u00e9\x01", "\udcff\x7f"])
@pytest.mark.parametrize("response_class", [web.Response, web.StreamResponse])
async def test_header_with_a_control_character_is_written(serve, response_class, value):
    """A response that has such a header is replaced by an error response."""

    async def handle(request):
        response = response_class(headers={"X-Note": value})
        await response.prepare(request)
        return response

    assert (await async_call(await serve(handle))).status == 500


@pytest.mark.parametrize("point", ["in prepare"])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
async def test_body_without_a_head_is_written(serve, version, point):
    """A handler that ignores the failure of its response gets it closed."""

    async def handle(request):
        response = FailingStream(point, ValueError)
        with contextlib.suppress(ValueError):
            await response.prepare(request)
        return response

    assert await async_receive(await serve(handle), version) == (b"", False)
