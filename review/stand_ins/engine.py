"""Stand-in for a plain engine that answers each request at once."""

import asyncio
import time

from .http import Message, encode, read_message
from .store import Store

HEARTBEAT_S = 1.2


class Engine:
    """Serves on loopback, and keeps its entry in the store up to date."""

    def __init__(
        self,
        store: Store,
        engine_id: str,
        service: str,
        zone: str,
        body: bytes = b"done",
    ) -> None:
        self._body = body
        self._store = store
        self.engine_id = engine_id
        self.service = service
        self._zone = zone
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self.address = ""
        # The requests that it ran, in order.
        self.runs: list[Message] = []
        self._heartbeat: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and register."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        self.register()
        self._heartbeat = asyncio.create_task(self._beat())

    def register(self) -> None:
        """Write its entry."""
        self._sequence += 1
        self._store.put(
            f"servers/{self.engine_id}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": self._sequence,
                "born": self._born,
            },
        )

    def fall_silent(self, expiry_s: float) -> None:
        """Send no heartbeats any more; the entry is removed after ``expiry_s``."""
        self._heartbeat.cancel()
        key = f"servers/{self.engine_id}"
        asyncio.get_running_loop().call_later(expiry_s, self._store.delete, key)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self._store.is_up:
                self.register()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(self._answer(request))
                await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()

    def register_at(self, address: str) -> None:
        """Register with the address of a process that serves instead of this."""
        self.address = address
        self.register()
        self._heartbeat = asyncio.create_task(self._beat())

    def _answer(self, request: Message) -> bytes:
        headers = {"X-Attempt-Id": request.headers.get("x-attempt-id", "")}
        if request.headers.get("x-expect-instance", self.engine_id) != self.engine_id:
            headers["X-Not-Executed"] = "1"
            return encode("HTTP/1.1 421 Misdirected Request", headers)
        self.runs.append(request)
        headers["X-Engine-Signature"] = f"{self.engine_id}.{len(self.runs)}"
        return encode("HTTP/1.1 200 OK", headers, self._body)
