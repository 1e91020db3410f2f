"""Stand-in for a model engine, as a process of its own that a case can kill.

Arguments: its id, the events of a stream, the seconds between two, and ``unframed`` or
``chunked``. An unframed stream has neither a length nor chunks, and ends with its
connection. Goes on after ``Last-Event-Id``. Prints its port.
"""

import asyncio
import sys

from .http import Message, encode, encode_head, read_message


class _Engine:
    def __init__(self, engine_id: str, events: int, pause_s: float, framing: str):
        self._engine_id = engine_id
        self._events = events
        self._pause_s = pause_s
        self._is_chunked = framing == "chunked"

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await read_message(reader)
            if request is not None:
                await self._answer(request, writer)
        except ConnectionError:
            return
        finally:
            writer.close()

    async def _answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        headers = {"X-Attempt-Id": request.headers.get("x-attempt-id", "")}
        if request.headers.get("x-expect-instance") != self._engine_id:
            headers["X-Not-Executed"] = "1"
            writer.write(encode("HTTP/1.1 421 Misdirected Request", headers))
            return
        headers["X-Engine-Signature"] = self._engine_id
        headers["Content-Type"] = "text/event-stream"
        if self._is_chunked:
            headers["Transfer-Encoding"] = "chunked"
        writer.write(encode_head("HTTP/1.1 200 OK", headers))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self._events + 1):
            await asyncio.sleep(self._pause_s)
            writer.write(self._framed(f"id: {number}\ndata: piece\n\n".encode()))
            await writer.drain()
        if self._is_chunked:
            writer.write(b"0\r\n\r\n")

    def _framed(self, data: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(data), data) if self._is_chunked else data


async def main() -> None:
    """Serve until the process is ended."""
    engine = _Engine(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), sys.argv[4])
    server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
    sys.stdout.write(f"{server.sockets[0].getsockname()[1]}\n")
    sys.stdout.flush()
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
