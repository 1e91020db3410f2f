"""Stand-in for a faulty engine: its stream's body goes on until the caller closes.

The body is of no event: line ends without end. Prints its port.
"""

import asyncio
import sys

from .http import encode_head, read_message

_FILL = b"\n" * 16_384


async def _serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        request = await read_message(reader)
        if request is None:
            return
        headers = {
            "X-Attempt-Id": request.headers.get("x-attempt-id", ""),
            "X-Engine-Signature": "faulty",
            "Content-Type": "text/event-stream",
        }
        writer.write(encode_head("HTTP/1.1 200 OK", headers))
        while True:
            writer.write(_FILL)
            await writer.drain()
            # drain() alone does not give way while the caller reads.
            await asyncio.sleep(0)
    except ConnectionError:
        return
    finally:
        writer.close()


async def main() -> None:
    """Serve until the process is ended."""
    server = await asyncio.start_server(_serve, "127.0.0.1", 0)
    sys.stdout.write(f"{server.sockets[0].getsockname()[1]}\n")
    sys.stdout.flush()
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
