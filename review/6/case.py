"""A few requests with many short prompt parts, and entries lose accepted requests.

Each request is legal in size: its head has less than 16,384 bytes, and its
X-Prefix-Hash lists 2,300 parts. They are sent to two entries in turn, beside ordinary
streams on kept connections. A process that exceeds its memory is killed and started
again, as the platform does, until each entry has ended three times.
"""

import asyncio
import contextlib
import random
import signal
import zlib
from collections.abc import Iterable
from pathlib import Path

import attrs
from harness import (
    EXIT_BROKEN,
    EXIT_HELD,
    EXIT_NOT_RUN,
    Entry,
    Record,
    Store,
    config,
    has_trouble,
    new_folder,
    request_bytes,
    route,
    run_case,
)
from tests.stand_ins.platform_upstream import (
    LAST_CHUNK,
    PlatformUpstreamStandIn,
    SeenRequest,
    Send,
    Step,
    Wait,
    chunk,
    event,
    head,
)

FOLDER = Path(__file__).resolve().parent
# The memory of an edge machine of the site, in MB and in KB.
MEMORY_MB = 150
MEMORY_KB = MEMORY_MB * 1_024
MAX_HEADER_BYTES = 16_384
ENGINES = 6
CONNECTIONS = 12
# Time to an ordinary stream's first token, and the longest one between two requests.
FIRST_TOKEN_S, BETWEEN_S = 0.4, 0.8
MANY_PARTS, REQUESTS_WITH_MANY_PARTS = 2_300, 48
FIRST_AFTER_S, PAUSE_S, REST_S = 3.0, 1.0, 3.0
RESTART_AFTER_S = 1.0
# "on a tenth of the machines in use (two at least) ... three times in the day".
ENDS = 3
# "more than three times".
MAX_LOST = 3


@attrs.define
class Counts:
    """How requests have ended."""

    sent: int = 0
    complete: int = 0
    refused: int = 0
    # Within their answer.
    cut: int = 0
    # Passed on from a kept connection, which closed without an answer.
    lost: int = 0
    # Other requests without an answer.
    unanswered: int = 0


class Requester:
    """Sends ordinary streams to one entry, one by one, on a kept connection."""

    def __init__(self, entry: Entry, name: str, seen: set[str]) -> None:
        self._entry = entry
        self._name = name
        # Ids of the requests that engines have got.
        self._seen = seen
        self._number = 0
        self._random = random.Random(name)
        self.counts = Counts()

    async def async_run(self) -> None:
        """Send requests until cancelled; open a new connection after a loss."""
        while True:
            try:
                connection = await asyncio.open_connection(*self._entry.caller)
            except OSError:
                await self._async_pause()
                continue
            try:
                await self._async_use(*connection)
            finally:
                connection[1].close()
            await self._async_pause()

    async def _async_pause(self) -> None:
        await asyncio.sleep(self._random.uniform(0.05, BETWEEN_S))

    async def _async_use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        is_kept = False
        while True:
            self._number += 1
            request_id = f"{self._name}-{self._number}"
            self.counts.sent += 1
            received = b""
            try:
                parts = f"aa:13300,{zlib.crc32(request_id.encode()):x}:3720"
                writer.write(stream_request(request_id, parts, 17_020))
                async with asyncio.timeout(14.0):
                    while not received.endswith(LAST_CHUNK):
                        data = await reader.read(65_536)
                        if not data:
                            break
                        received += data
                        if not received.startswith(b"HTTP/1.1 200"):
                            break
            except OSError:
                pass
            if not self._note(request_id, received, is_kept=is_kept):
                return
            is_kept = True
            await self._async_pause()

    def _note(self, request_id: str, received: bytes, *, is_kept: bool) -> bool:
        """Count how a request ended; return whether its connection is still kept."""
        if received.startswith(b"HTTP/1.1 200") and received.endswith(LAST_CHUNK):
            self.counts.complete += 1
            return True
        if received.startswith(b"HTTP/1.1 200"):
            self.counts.cut += 1
        elif received:
            self.counts.refused += 1
        elif is_kept and request_id in self._seen:
            self.counts.lost += 1
        else:
            self.counts.unanswered += 1
        return False


def stream_request(name: str, parts: str, tokens: int) -> bytes:
    """Return a request for a stream."""
    return request_bytes(
        f"/draft/{name}",
        name,
        b"question",
        extra=f"X-Model: m\r\nX-Token-Counts: {tokens},120\r\n"
        f"X-Prefix-Hash: {parts}\r\n",
    )


async def async_send(entry: Entry, request: bytes) -> None:
    """Send a request on a connection of its own, and read what comes within 3 s."""
    with contextlib.suppress(OSError, TimeoutError, EOFError):
        async with asyncio.timeout(3.0):
            reader, writer = await asyncio.open_connection(*entry.caller)
            with contextlib.closing(writer):
                writer.write(request)
                await reader.readuntil(LAST_CHUNK)


class Case:
    """The entries, and what they are sent."""

    def __init__(self, folder: Path, record: Record) -> None:
        self._record = record
        self.store = Store()
        self.entries = [
            Entry(name, self.store, folder, memory_mb=MEMORY_MB)
            for name in ("entry-a-1", "entry-a-2")
        ]
        self._seen: set[str] = set()
        self._requesters = {
            entry.name: [
                Requester(entry, f"{entry.name}-{number}", self._seen)
                for number in range(CONNECTIONS)
            ]
            for entry in self.entries
        }
        self._requests: set[asyncio.Task[None]] = set()
        self._ends: dict[str, list[int]] = {entry.name: [] for entry in self.entries}

    async def async_play(self) -> int:
        """Play the events; return the exit code."""
        await self.store.async_start()
        routes = [route("draft", "streaming", "drafts", resumable=True)]
        self.store.content.put("op/config", config(1, routes))
        for number in range(ENGINES):
            engine = PlatformUpstreamStandIn(f"engine-{number}", self._answer)
            await engine.async_start()
            registration = engine.entry(service="drafts", slots=64)
            self.store.content.put(f"servers/engine-{number}", registration)
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            if not await entry.async_wait_ready():
                return EXIT_NOT_RUN
        tasks = [
            asyncio.create_task(self._async_watch_memory()),
        ]
        tasks += [
            asyncio.create_task(requester.async_run())
            for requesters in self._requesters.values()
            for requester in requesters
        ]
        self._note("at the start")
        await asyncio.sleep(FIRST_AFTER_S)
        for number in range(REQUESTS_WITH_MANY_PARTS):
            if all(len(ends) >= ENDS for ends in self._ends.values()):
                break
            request = self._request_with_many_parts(number)
            if request.index(b"\r\n\r\n") > MAX_HEADER_BYTES:
                return EXIT_NOT_RUN
            entry = self._next_entry(number)
            if entry is not None:
                self._send(entry, request)
            await asyncio.sleep(PAUSE_S)
            self._note(f"after request {number + 1}, {len(request)} bytes")
        await asyncio.sleep(REST_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.wait(self._requests, timeout=5.0)
        return self._judge()

    def _judge(self) -> int:
        """Check LOST for each machine; return the exit code."""
        lost: dict[str, int] = {}
        for name, requesters in self._requesters.items():
            counts = [attrs.asdict(requester.counts) for requester in requesters]
            total = {key: sum(one[key] for one in counts) for key in counts[0]}
            lost[name] = total["lost"]
            self._record.add(f"ordinary streams at {name}: {total}")
            ends = self._ends[name]
            self._record.add(
                f"{name} ended by itself {len(ends)} times, with {ends} KB of"
                f" {MEMORY_KB} KB"
            )
        self._record.add(
            f"passed on from a kept connection that closed without an answer: {lost},"
            f" allowed {MAX_LOST} each"
        )
        is_broken = max(lost.values()) > MAX_LOST
        self._record.add("LOST is broken" if is_broken else "LOST holds")
        return EXIT_BROKEN if is_broken else EXIT_HELD

    def _answer(self, request: SeenRequest) -> Iterable[Step]:
        """Stream ten events, after the time that the prompt takes."""
        self._seen.add(request.headers.get("x-attempt-id", ""))
        yield Wait(FIRST_TOKEN_S)
        yield Send(head(request, Transfer_Encoding="chunked", X_Confidence="90"))
        for number in range(1, 11):
            yield Send(chunk(event(number)))
            yield Wait(0.04)
        yield Send(LAST_CHUNK)

    def _next_entry(self, number: int) -> Entry | None:
        """Return one of the running entries, in turn; none if none runs."""
        running = [entry for entry in self.entries if entry.memory_kb()]
        return running[number % len(running)] if running else None

    def _request_with_many_parts(self, number: int) -> bytes:
        if not has_trouble():
            parts = f"aa:350,{number + 4096:x}:1110"
            return stream_request(f"m{number}", parts, 1460)
        first = number * MANY_PARTS + 4096
        parts = ",".join(f"{first + part:x}:1" for part in range(MANY_PARTS))
        return stream_request(f"m{number}", parts, MANY_PARTS)

    def _send(self, entry: Entry, request: bytes) -> None:
        task = asyncio.create_task(async_send(entry, request))
        self._requests.add(task)

    async def _async_watch_memory(self) -> None:
        """Kill a process that exceeds its memory, and start it again a little later."""
        while True:
            for entry in self.entries:
                memory_kb = entry.memory_kb()
                if memory_kb > MEMORY_KB:
                    self._ends[entry.name].append(memory_kb)
                    self._record.add(
                        f"{entry.name} has {memory_kb} KB, over its {MEMORY_KB} KB;"
                        " the platform kills it"
                    )
                    entry.send_signal(signal.SIGKILL)
                    entry.process.wait()
                    restart = asyncio.create_task(self._async_restart(entry))
                    self._requests.add(restart)
            await asyncio.sleep(0.02)

    async def _async_restart(self, entry: Entry) -> None:
        await asyncio.sleep(RESTART_AFTER_S)
        entry.start()

    def _note(self, when: str) -> None:
        memory = {entry.name: entry.memory_kb() for entry in self.entries}
        self._record.add(f"memory {when}, in KB: {memory}")


async def async_main() -> int:
    """Run the case."""
    record = Record(FOLDER)
    with new_folder() as folder:
        case = Case(folder, record)
        try:
            return await case.async_play()
        finally:
            for entry in case.entries:
                entry.end()
            await case.store.async_stop()
            record.write()


if __name__ == "__main__":
    run_case(async_main)
