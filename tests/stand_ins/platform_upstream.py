"""A stand-in of the users' upstreams, which says and spoils what it is told."""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterable
from typing import Any

import attrs

_LINGER_NONE = struct.pack("ii", 1, 0)


@attrs.frozen
class SeenRequest:
    """A request as it arrived."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class Send:
    """Bytes to send."""

    data: bytes


@attrs.frozen
class Wait:
    """A pause, in seconds."""

    seconds: float


@attrs.frozen
class Reset:
    """A reset of the connection."""


@attrs.frozen
class HoldOpen:
    """Silence until the other side leaves; ``disconnected`` is set then."""

    disconnected: asyncio.Event = attrs.field(factory=asyncio.Event)


Step = Send | Wait | Reset | HoldOpen
Behavior = Callable[[SeenRequest], Iterable[Step]]


def head(request: SeenRequest, status: int = 200, **headers: str) -> bytes:
    """Return an answer's head with the request's id and a signature.

    A header is left out if its value is empty.
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
    """Answer with a body of a given length."""

    def behave(request: SeenRequest) -> list[Step]:
        length = str(len(body))
        return [Send(head(request, status, Content_Length=length, **headers) + body)]

    return behave


def refusal(status: int = 503) -> Behavior:
    """Say that the request did not run."""
    return plain(b"", status, X_Not_Executed="1", X_Engine_Signature="")


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


LAST_CHUNK = b"0\r\n\r\n"


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def stream(
    first: int, last: int, *, then: Iterable[Step] = (Send(LAST_CHUNK),), **headers: str
) -> Behavior:
    """Send the events from ``first`` to ``last``, then what ``then`` says."""

    def behave(request: SeenRequest) -> list[Step]:
        start = head(request, Transfer_Encoding="chunked", **headers)
        events = [Send(chunk(event(number))) for number in range(first, last + 1)]
        return [Send(start), *events, *then]

    return behave


class PlatformUpstreamStandIn:
    """One upstream; each request takes the next behavior, the last one stays."""

    def __init__(self, upstream_id: str, *behaviors: Behavior) -> None:
        self.upstream_id = upstream_id
        self.behaviors = list(behaviors) or [plain()]
        self.seen: list[SeenRequest] = []
        self.address = ""
        self.connections = 0
        self._server: asyncio.Server | None = None

    async def async_start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Refuse connections from now on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def entry(self, service: str = "drafts", **fields: Any) -> dict[str, Any]:
        """Return what the upstream registers of itself."""
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
        try:
            request = await _async_read(reader)
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
            await _async_perform(behavior(request), reader, writer)
        except ConnectionError:
            return
        finally:
            writer.close()


async def _async_perform(
    steps: Iterable[Step], reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    for step in steps:
        match step:
            case Send(data=data):
                writer.write(data)
                await writer.drain()
            case Wait(seconds=seconds):
                await asyncio.sleep(seconds)
            case Reset():
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
                writer.transport.abort()
                return
            case HoldOpen(disconnected=disconnected):
                await reader.read()
                disconnected.set()


async def _async_read(reader: asyncio.StreamReader) -> SeenRequest | None:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    method, target, _ = first.split(" ")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return SeenRequest(method, target, headers, body)
