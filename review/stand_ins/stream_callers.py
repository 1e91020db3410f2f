"""Callers of streams, as a process of their own.

Arguments: the entry's address, the path, the key, streams to send, and the seconds
between two. Prints a line for each stream that ends: its id, its status, its events,
and why it ended. A caller that gets no event for ``_GAP_S`` seconds leaves.
"""

import asyncio
import sys
import time

from .deployment import HOST
from .http import encode, read_head

# Four times the objective of the route, which is three seconds.
_GAP_S = 12.0
_READ_BYTES = 65_536
# Different first parts of prompts.
_THINGS = 56


async def _ask(address: str, path: str, key: str, number: int) -> None:
    request_id = f"{0xA000 + number:016x}"
    host, _, port = address.rpartition(":")
    headers = {
        "Host": HOST,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": "15000",
        "X-Model": "daka510000",
        "X-Token-Counts": "17020,120",
        "X-Prefix-Hash": f"5c1e07{number % _THINGS:02x}:13300,{request_id}:3720",
        "Authorization": f"Token {key}",
    }
    status, events, received, reason = 0, 0, 0, "closed"
    writer = None
    try:
        async with asyncio.timeout(_GAP_S) as limit:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"POST {path} HTTP/1.1", headers, b"x" * 1000))
            head = await read_head(reader)
            status = int(head[0].split(" ")[1]) if head else 0
            while data := await reader.read(_READ_BYTES):
                received += len(data)
                if found := data.count(b"id: "):
                    events += found
                    limit.reschedule(asyncio.get_running_loop().time() + _GAP_S)
                if data.endswith(b"0\r\n\r\n"):
                    reason = "whole"
                    break
    except TimeoutError:
        reason = "left, no event came"
    except OSError as error:
        reason = type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    line = f"{request_id}: {status}, {events} events, {received} bytes, {reason}"
    sys.stdout.write(f"{line}\n")


async def main() -> None:
    """Send the streams, and wait for their ends."""
    address, path, key = sys.argv[1:4]
    count, pause_s = int(sys.argv[4]), float(sys.argv[5])
    began_s, tasks = time.monotonic(), []
    for number in range(count):
        await asyncio.sleep(max(0.0, began_s + number * pause_s - time.monotonic()))
        tasks.append(asyncio.create_task(_ask(address, path, key, number)))
    await asyncio.gather(*tasks)


if __name__ == "__main__":
    asyncio.run(main())
