"""Plain HTTP/1.1 messages for the stand-ins, without any library."""

import asyncio
import json

Headers = dict[str, str]


class Message:
    """A request or an answer as it was read; header names are in lower case."""

    def __init__(self, start: str, headers: Headers, body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Return the start line and the headers; None at the connection's end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    start, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a body with a length or in chunks."""
    if "chunked" not in headers.get("transfer-encoding", "").lower():
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(data[:-2])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None at the connection's end."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await read_body(reader, head[1])
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(head[0], head[1], body)


def encode_head(start: str, headers: Headers) -> bytes:
    """Return the head of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode(start: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return a message with a length."""
    return encode_head(start, {**headers, "Content-Length": str(len(body))}) + body


def encode_json(status: int, fields: object, headers: Headers | None = None) -> bytes:
    """Return an answer with a JSON body."""
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    return encode(f"HTTP/1.1 {status} -", all_headers, json.dumps(fields).encode())


async def call(
    address: str,
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message | None:
    """Send a request on a connection of its own; None if it got no whole answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
