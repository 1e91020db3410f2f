"""Stand-in for the platform's upstreams, whose responses a test scripts."""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterable
from typing import Any

import attrs

_NO_LINGER = struct.pack("ii", 1, 0)


@attrs.frozen
class SeenRequest:
    """A request as the upstream received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class Send:
    """Send bytes."""

    data: bytes


@attrs.frozen
class SendWithoutEnd:
    """Send bytes again and again until the client disconnects."""

    data: bytes


@attrs.frozen
class Wait:
    """Wait for a number of seconds."""

    seconds: float


@attrs.frozen
class Reset:
    """Reset the connection."""


@attrs.frozen
class Crash:
    """End the upstream, with all of its connections."""


@attrs.frozen
class HoldOpen:
    """Send nothing until the client disconnects; then set ``disconnected``."""

    disconnected: asyncio.Event = attrs.field(factory=asyncio.Event)


@attrs.frozen
class Kill:
    """End the process, whose kernel closes all connections without a reset."""


Step = Send | SendWithoutEnd | Wait | Reset | Crash | Kill | HoldOpen
Behavior = Callable[[SeenRequest], Iterable[Step]]


def head(request: SeenRequest, status: int = 200, **headers: str) -> bytes:
    """Return a response head with the request's id and a signature.

    A header with an empty value is left out.
    """
    fields = {
        "X-Attempt-Id": request.headers.get("x-attempt-id", ""),
        "X-Engine-Signature": "3e1b.07",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items() if value]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def plain(body: bytes = b"whole", status: int = 200, **headers: str) -> Behavior:
    """Return a behavior that responds with a body and its Content-Length."""

    def respond(request: SeenRequest) -> list[Step]:
        length = str(len(body))
        return [Send(head(request, status, Content_Length=length, **headers) + body)]

    return respond


def refusal(status: int = 503) -> Behavior:
    """Return a behavior that responds that the request was not executed."""
    return plain(b"", status, X_Not_Executed="1", X_Engine_Signature="")


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


LAST_CHUNK = b"0\r\n\r\n"


def event(number: int) -> bytes:
    """Return a server-sent event with this id."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def stream(
    first: int, last: int, *, then: Iterable[Step] = (Send(LAST_CHUNK),), **headers: str
) -> Behavior:
    """Return a behavior that streams events, then performs ``then``.

    The events have the ids ``first`` to ``last``, both included.
    """

    def respond(request: SeenRequest) -> list[Step]:
        response_head = head(request, Transfer_Encoding="chunked", **headers)
        events = [Send(chunk(event(number))) for number in range(first, last + 1)]
        return [Send(response_head), *events, *then]

    return respond


class PlatformUpstreamStandIn:
    """An upstream that uses one behavior per request, and the last for the rest."""

    def __init__(self, upstream_id: str, *behaviors: Behavior) -> None:
        self.upstream_id = upstream_id
        self.behaviors = list(behaviors) or [plain()]
        self.seen: list[SeenRequest] = []
        self.address = ""
        self.connections = 0
        # Bytes sent without end, and connections that are still sending them.
        self.endless_bytes = 0
        self.endless_connections = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def is_listening(self) -> bool:
        """Return whether new connections are accepted."""
        return self._server is not None

    async def async_start(self) -> None:
        """Start to listen on loopback."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening: new connections are refused from now on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        self.stop()
        for writer in tuple(self._writers):
            _reset(writer)

    def kill(self) -> None:
        """Stop listening and close all connections."""
        self.stop()
        for writer in tuple(self._writers):
            writer.close()

    def entry(self, service: str = "drafts", **fields: Any) -> dict[str, Any]:
        """Return the registration that the upstream writes to the store."""
        return {
            "service": service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
            **fields,
        }

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        try:
            request = await _async_read_request(reader)
            if request is None:
                return
            self.seen.append(request)
            behavior = (
                self.behaviors.pop(0) if len(self.behaviors) > 1 else self.behaviors[0]
            )
            if request.headers.get("x-expect-instance") not in (
                None,
                self.upstream_id,
            ):
                behavior = refusal(421)
            await self._async_perform(behavior(request), reader, writer)
        except ConnectionError:
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _async_perform(
        self,
        steps: Iterable[Step],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        for step in steps:
            match step:
                case Send(data=data):
                    writer.write(data)
                    await writer.drain()
                case SendWithoutEnd(data=data):
                    await self._async_send_without_end(data, writer)
                case Wait(seconds=seconds):
                    await asyncio.sleep(seconds)
                case Reset():
                    _reset(writer)
                    return
                case Crash():
                    self.crash()
                    return
                case Kill():
                    self.kill()
                    return
                case HoldOpen(disconnected=disconnected):
                    await reader.read()
                    disconnected.set()

    async def _async_send_without_end(
        self, data: bytes, writer: asyncio.StreamWriter
    ) -> None:
        self.endless_connections += 1
        try:
            while True:
                writer.write(data)
                await writer.drain()
                self.endless_bytes += len(data)
                # drain() alone does not give way while the client reads.
                await asyncio.sleep(0)
        finally:
            self.endless_connections -= 1


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    if raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()


async def _async_read_request(reader: asyncio.StreamReader) -> SeenRequest | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    request_line, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = request_line.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return SeenRequest(method, target, headers, body)
