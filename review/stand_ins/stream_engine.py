"""Stand-in for a model engine, as a process of its own that a case can kill.

Arguments: its id, the events of a stream, the seconds between two, and ``unframed`` or
``chunked``. An unframed stream has neither a length nor chunks, and ends with its
connection. Goes on after ``Last-Event-Id``. Prints its port, then the id of each
request that it begins to run. With a fifth argument, a part of prompts, it ends as soon
as it has begun to answer a request with that part.
"""

import asyncio
import os
import sys

from .http import Message, encode, encode_head, read_message

# Time from the begin of the first piece to the end of the process.
_CRASH_AFTER_S = 0.1


def _print(line: str) -> None:
    sys.stdout.write(f"{line}\n")
    sys.stdout.flush()


class _Engine:
    def __init__(
        self,
        engine_id: str,
        events: int,
        pause_s: float,
        framing: str,
        deadly_part: str = "",
    ) -> None:
        self._deadly_part = deadly_part
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
        _print(headers["X-Attempt-Id"])
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
            if self._is_deadly(request):
                await asyncio.sleep(_CRASH_AFTER_S)
                os._exit(1)
        if self._is_chunked:
            writer.write(b"0\r\n\r\n")

    def _is_deadly(self, request: Message) -> bool:
        parts = request.headers.get("x-prefix-hash", "").split(",")
        return bool(self._deadly_part) and any(
            part.startswith(f"{self._deadly_part}:") for part in parts
        )

    def _framed(self, data: bytes) -> bytes:
        return b"%x\r\n%s\r\n" % (len(data), data) if self._is_chunked else data


async def main() -> None:
    """Serve until the process is ended."""
    engine_id, events, pause_s, *rest = sys.argv[1:]
    engine = _Engine(engine_id, int(events), float(pause_s), *rest)
    server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
    _print(str(server.sockets[0].getsockname()[1]))
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
