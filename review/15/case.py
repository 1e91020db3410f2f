"""Engines spoil some of their answers: a control character in a header."""

import asyncio
import sys
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review.stand_ins_3.deployment import (  # noqa: E402
    Deployment,
    Record,
    config,
    route,
    run_case,
)
from review.stand_ins_3.engine import (  # noqa: E402
    Engine,
    Message,
    async_read_head,
    chunk,
    event,
    request,
)

REQUESTS = 800
INTERVAL_S = 0.02
# Each answer of this number, one in fifty, of one of the engines is spoilt.
SPOILT_STEP = 51
ENGINES = 3
WAIT_S = 3.0


class Case:
    """What was sent, answered and run."""

    def __init__(self, record: Record, trouble: bool) -> None:
        self._record = record
        self._trouble = trouble
        self._runs: Counter[str] = Counter()
        self._faulty: int | None = None
        self._by_faulty = 0
        self._spoilt: set[str] = set()
        self._answers: Counter[str] = Counter()
        self._extra: list[str] = []

    def handler(self, number: int) -> Callable[[Message], Awaitable[None]]:
        """Return how an engine handles a request."""

        async def async_handle(message: Message) -> None:
            if self._faulty is None:
                # The one that gets the first request.
                self._faulty = number
            is_spoilt = False
            if number == self._faulty:
                self._by_faulty += 1
                is_spoilt = self._by_faulty % SPOILT_STEP == 0
            await self._async_answer(message, is_spoilt and self._trouble)

        return async_handle

    async def _async_answer(self, message: Message, is_spoilt: bool) -> None:
        await message.reader.readexactly(message.length)
        self._runs[message.attempt_id] += 1
        note = "X-Note: a\x01b" if is_spoilt else "X-Note: ab"
        if is_spoilt:
            self._spoilt.add(message.attempt_id)
        if "/answer/" in message.line:
            message.writer.write(message.head(note, "Transfer-Encoding: chunked"))
            for number in range(3):
                message.writer.write(chunk(event(number)))
            message.writer.write(b"0\r\n\r\n")
        else:
            message.writer.write(message.head(note, "Content-Length: 5") + b"whole")
        await message.writer.drain()
        await message.reader.read(1)

    async def _async_call(self, port: int, number: int) -> None:
        """Send a request, and read its answer and whatever else comes."""
        kind = "answer" if number % 2 else "book"
        name = f"{kind}-{number}"
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request(f"/{kind}/a", name, b"question"))
        result, rest = "no answer, connection closed", b""
        try:
            async with asyncio.timeout(WAIT_S):
                head = await async_read_head(reader, writer)
                result = head.line.split(" ")[1]
                await self._async_read_body(head)
                if head.headers.get("connection") == "close":
                    rest = await reader.read(1_000)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except TimeoutError:
            result += ", then nothing"
        writer.close()
        is_spoilt = name in self._spoilt
        if is_spoilt or rest or result != "200":
            self._record(
                f"{name}: run {self._runs[name]} times, spoilt: {is_spoilt}, got:"
                f" {result}" + (f", then the bytes {rest!r}" if rest else "")
            )
        if rest:
            self._extra.append(name)
        self._answers[f"{kind} {result}"] += 1

    async def _async_read_body(self, head: Message) -> None:
        if "content-length" in head.headers:
            await head.reader.readexactly(head.length)
            return
        size = 1
        while size:
            size = int(await head.reader.readuntil(b"\r\n"), 16)
            await head.reader.readexactly(size + 2)

    async def async_run(self) -> bool:
        """Return whether nothing but answers came."""
        engines = [
            Engine(f"i-{number}", self.handler(number)) for number in range(ENGINES)
        ]
        async with Deployment(self._record) as deployment:
            routes = [route("answer", "streaming"), route("book", "non_idempotent")]
            deployment.store.put("op/config", config(*routes))
            for engine in engines:
                await engine.async_start()
                key = f"servers/{engine.engine_id}"
                deployment.store.put(key, engine.registration())
            await deployment.async_start_entries(2)
            # Longer than stable_window_ms.
            await asyncio.sleep(4)
            calls = []
            for number in range(REQUESTS):
                entry = deployment.entries[number // 2 % 2]
                call = self._async_call(entry.port, number)
                calls.append(asyncio.create_task(call))
                await asyncio.sleep(INTERVAL_S)
            await asyncio.gather(*calls)
            self._record(f"answers: {dict(self._answers)}")
            self._record(
                f"{len(self._spoilt)} of {self._by_faulty} answers of i-{self._faulty}"
                f" were spoilt; {len(self._extra)} callers got bytes that are no answer"
            )
            for engine in engines:
                engine.stop()
        return not self._extra


async def _async_main(record: Record, trouble: bool) -> bool:
    return await Case(record, trouble).async_run()


if __name__ == "__main__":
    run_case(_async_main, FOLDER)
