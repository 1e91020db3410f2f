"""Callers that send short bookings on kept connections, one after the other."""

import asyncio

from .deployment import Entry, Record
from .engine import Message, async_read_head, request

# More than three such requests that are lost on a machine break the rule LOST.
MOST_LOST = 3
_CALLERS = 6
_WORK_S = 0.45
_TIME_BUDGET_MS = 1500
_PREFIX = "kept"


class KeptCallers:
    """Counts the requests that were passed on and end without an answer.

    Only requests on connections count that have brought an answer before.
    """

    def __init__(self, record: Record, path: str) -> None:
        self._record = record
        self._path = path
        self._passed_on: set[str] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self.answered = 0
        self.lost: list[str] = []

    def is_own(self, message: Message) -> bool:
        """Return whether a request is one of these callers'."""
        return message.attempt_id.startswith(_PREFIX)

    async def async_handle(self, message: Message) -> None:
        """Run one of these callers' requests at a sound engine, and answer."""
        await message.reader.readexactly(message.length)
        self._passed_on.add(message.attempt_id)
        await asyncio.sleep(_WORK_S)
        message.writer.write(message.head("Content-Length: 5") + b"whole")
        await message.writer.drain()
        await message.reader.read(1)

    def start(self, entry: Entry) -> None:
        """Start to send."""
        self._tasks = [
            asyncio.create_task(self._async_caller(entry, number))
            for number in range(_CALLERS)
        ]

    async def async_stop(self) -> None:
        """Stop sending, once what ends connections has been seen."""
        await asyncio.sleep(2 * _WORK_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._record(
            f"bookings on {_CALLERS} kept connections: {self.answered} answered,"
            f" {len(self.lost)} passed on and not answered"
        )

    async def _async_caller(self, entry: Entry, caller: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
        number, is_kept = 0, False
        while True:
            number += 1
            name = f"{_PREFIX}-{caller}-{number}"
            try:
                writer.write(request(self._path, name, b"booking", _TIME_BUDGET_MS))
                answer = await async_read_head(reader, writer)
                await reader.readexactly(answer.length)
            except (ConnectionError, asyncio.IncompleteReadError):
                if is_kept and name in self._passed_on:
                    self.lost.append(name)
                    self._record(f"{name} was passed on, its connection is closed")
                return
            is_kept = True
            self.answered += 1
