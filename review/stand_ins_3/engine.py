"""A small engine whose answers a case writes itself, and a caller's messages."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from .deployment import API_KEY, HOST

_SEGMENT_BYTES = 1_460


@attrs.define
class Message:
    """A request as an engine reads it; its body is read by the engine's handler."""

    line: str
    headers: dict[str, str]
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def attempt_id(self) -> str:
        """Return the request's id."""
        return self.headers.get("x-attempt-id", "")

    @property
    def length(self) -> int:
        """Return the length of the body."""
        return int(self.headers.get("content-length", "0"))

    def head(self, *lines: str, status: str = "200 OK") -> bytes:
        """Return the head of an answer to this request."""
        fields = [
            f"HTTP/1.1 {status}",
            f"X-Attempt-Id: {self.attempt_id}",
            "X-Engine-Signature: 3e1b.07",
            *lines,
        ]
        return ("\r\n".join(fields) + "\r\n\r\n").encode("latin-1")


class Engine:
    """Accepts connections with one request each, and counts them.

    ``receive_buffer`` is the window of its links, in bytes.
    """

    def __init__(
        self,
        engine_id: str,
        handle: Callable[[Message], Awaitable[None]],
        receive_buffer: int = 0,
    ) -> None:
        self.engine_id = engine_id
        self.connections = 0
        self._handle = handle
        self._receive_buffer = receive_buffer
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._address = ""

    async def async_start(self) -> None:
        """Listen on a free port of loopback."""
        listener = socket.socket()
        # Segments as on an Ethernet link: those of loopback are 64 KB, and the kernel
        # of the sender would take megabytes for each connection.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
        if self._receive_buffer:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer
            )
        listener.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(
            self._async_serve, sock=listener, limit=16_384
        )
        host, port = listener.getsockname()
        self._address = f"{host}:{port}"

    def stop(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def registration(self) -> dict[str, Any]:
        """Return what the engine writes to the store of itself."""
        return {
            "service": "engines",
            "address": self._address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        self.connections += 1
        try:
            message = await async_read_head(reader, writer)
            if message.headers.get("x-expect-instance") == self.engine_id:
                await self._handle(message)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self.connections -= 1
            writer.close()


async def async_read_head(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Message:
    """Read the head of a request or of an answer."""
    raw = await reader.readuntil(b"\r\n\r\n")
    line, *rest = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for field in rest:
        name, _, value = field.partition(":")
        headers[name.lower()] = value.strip()
    return Message(line, headers, reader, writer)


def request(path: str, attempt_id: str, body: bytes, deadline_ms: int = 7000) -> bytes:
    """Return a caller's request."""
    lines = (
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Token {API_KEY}",
        f"X-Attempt-Id: {attempt_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Content-Length: {len(body)}",
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()
