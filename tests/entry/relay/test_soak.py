"""Stops, changes, leaving upstreams and restores in series, under kept connections."""

import asyncio
import contextlib
import itertools
import math
import os
import random
from collections import Counter

import pytest

from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_entry.relay import composition
from cardamomnotch_runtime.tasks import async_wait_until

from tests.fixtures.relay_system import RelaySystem, document, route
from tests.stand_ins.platform_upstream import Wait, plain

SEEDS = range(int(os.environ.get("SOAK_SEEDS", "3")))
LENGTH_S = 8.0
CALLERS = 8
# Time after which an upstream that leaves gets no more requests, and for which a
# request may be on its way when its connection is closed, in seconds.
LEAVE_S = 2.0
LOSS_SLACK_S = 0.2
# Greatest age of the copy that the store comes back from, the time until what was
# lost is written again, and until a registration that is not renewed ends, in seconds.
COPY_AGE_S = 3.0
REWRITE_S = 1.0
# Time within which an entry has read a change, in seconds.
READ_S = 1.0
LEASE_S = 3.0
# Time within which all entries have the last document, behind their slow links, in
# seconds.
DOCUMENT_S = 5.0
CHANGES = ("stop", "document", "documents", "join", "leave", "delete")


class Soak:
    """Callers, entries and upstreams, and what has gone wrong among them."""

    def __init__(self, entries, seed):
        self.entries = entries
        self.random = random.Random(seed)
        self.numbers = itertools.count()
        self.versions = itertools.count(2)
        self.runs = Counter()
        self.left_at_s = {}
        self.statuses = Counter()
        self.errors = []
        self.clock = asyncio.get_running_loop().time
        self.end_s = self.clock() + LENGTH_S
        self.stopping = set()
        # Upstreams whose leaving a restore has lost, and those of them that an entry
        # cannot know to have left.
        self.lost = set()
        self.excused = set()
        # What operators and upstreams have written last, by key; None if deleted.
        self.written = {}

    def run(self, name):
        """Return the behavior of an upstream, which counts its requests."""

        def respond(request):
            self.runs[request.headers["x-attempt-id"]] += 1
            if self.clock() > self.left_at_s.get(name, self.clock()) + LEAVE_S:
                self.errors.append(f"{name} has left and gets a request")
            leaving = {"Server_Leaving": "1"} if name in self.left_at_s else {}
            return [Wait(self.random.choice((0, 0, 0.3))), *plain(**leaving)(request)]

        return respond

    async def async_call(self):
        """Send requests on connections that are kept until the entry closes them."""
        writer = None
        while self.clock() < self.end_s:
            await asyncio.sleep(self.random.uniform(0, 0.1))
            if writer is None or writer.is_closing():
                host, _, port = self.random.choice(
                    self.entries
                ).caller_address.rpartition(":")
                try:
                    reader, writer = await asyncio.open_connection(host, int(port))
                except ConnectionError:
                    continue
            path, request = (
                self.random.choice(("book", "read")),
                f"{next(self.numbers)}",
            )
            sent_at_s = self.clock()
            try:
                writer.write(
                    f"POST /{path}/x HTTP/1.1\r\nHost: calls.example\r\n"
                    f"Authorization: Token key-one\r\nX-Attempt-Id: {request}\r\n"
                    "Content-Length: 0\r\n\r\n".encode()
                )
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = int(head.partition(b"content-length: ")[2].split()[0])
                await reader.readexactly(length)
            except (ConnectionError, asyncio.IncompleteReadError):
                writer = None
                waited_s = self.clock() - sent_at_s
                if self.runs[request] or waited_s > LOSS_SLACK_S:
                    self.errors.append(f"{path} {request} cut after {waited_s:.2f} s")
                continue
            status = int(head.split()[1])
            self.statuses[status] += 1
            if status == 503 and self.runs[request]:
                self.errors.append(f"{path} {request} ran and was refused")
            if path == "book" and self.runs[request] > 1:
                self.errors.append(f"{path} {request} ran twice")
            if b"connection: close" in head:
                writer.close()

    async def async_restart(self, entry):
        """Stop an entry in a planned way and start it again, unless it stops."""
        if entry not in self.stopping:
            self.stopping.add(entry)
            # It does not know of what a restore has lost.
            self.excuse(set(self.lost))
            await entry.async_restart_entry()
            self.excuse(set(self.lost))
            self.stopping.remove(entry)

    @property
    def store(self):
        """Return the store of all entries."""
        return self.entries[0].store

    def write(self, key, value):
        """Write a value as operators and upstreams do, or delete it."""
        self.written[key] = value
        if value is None:
            self.store.delete(key)
        else:
            self.store.put(key, value)

    def write_document(self, more):
        """Write the next version of the document, with ``more`` routes."""
        routes = (route(f"more-{number}", "idempotent") for number in range(more))
        routes = [*document()["routes"], *routes]
        self.write("op/config", document(next(self.versions), routes=routes))

    def excuse(self, names):
        """Count that upstreams have left only once it is written again."""
        self.excused |= names
        self.left_at_s.update(dict.fromkeys(names, math.inf))

    def write_again(self, key, value):
        """Write or delete what a restore has lost."""
        if value is None:
            self.store.delete(key)
        elif self.store.value(key) != value:
            self.store.put(key, value)
        name = key.rpartition("/")[2]
        self.lost.discard(name)
        if name in self.excused:
            self.excused.discard(name)
            self.left_at_s[name] = self.clock()

    async def async_restore(self):
        """Let the store come back from copies of itself, until the end."""
        while self.clock() < self.end_s:
            copy, copied_at_s = self.store.copy(), self.clock()
            await asyncio.sleep(self.random.uniform(0.1, COPY_AGE_S))
            self.store.restore(copy)
            left = self.left_at_s.items()
            self.lost = {name for name, at_s in left if at_s > copied_at_s}
            since_s = copied_at_s if self.stopping else self.clock() - READ_S
            self.excuse({name for name, at_s in left if at_s > since_s})
            await asyncio.sleep(self.random.uniform(0, REWRITE_S))
            for key, value in tuple(self.written.items()):
                if value is not None:
                    self.write_again(key, value)
            await asyncio.sleep(LEASE_S - REWRITE_S)
            for key, value in tuple(self.written.items()):
                if value is None:
                    self.write_again(key, value)

    async def async_change(self):
        """Stop entries, change the document and replace upstreams, at any time."""
        first, upstreams = self.entries[0], []
        while self.clock() < self.end_s:
            await asyncio.sleep(self.random.uniform(0, 0.6))
            match self.random.choice(CHANGES):
                case "stop":
                    await self.async_restart(self.random.choice(self.entries))
                case "document":
                    self.write_document(self.random.choice((0, 0, 1000)))
                case "documents":
                    for _ in range(self.random.randrange(30)):
                        self.write_document(100)
                        await asyncio.sleep(0.08)
                case "leave" | "delete" as kind if len(upstreams) > 1:
                    up = upstreams.pop(0)
                    self.left_at_s[up.upstream_id] = self.clock()
                    self.write(
                        f"servers/{up.upstream_id}",
                        None
                        if kind == "delete"
                        else up.entry(service="bookings", state="draining"),
                    )
                case _:
                    name = f"up-{next(self.numbers)}"
                    with contextlib.suppress(AssertionError):
                        up = await first.async_add_upstream(
                            name, self.run(name), service="bookings"
                        )
                        self.written[f"servers/{name}"] = up.entry(service="bookings")
                        upstreams.append(up)


@pytest.mark.parametrize("is_restored", [False, True], ids=["no restore", "restores"])
@pytest.mark.parametrize("seed", SEEDS)
async def test_request_is_lost_in_a_series_of_planned_changes(
    monkeypatch, seed, is_restored
):
    """Every request gets a true response, and no upstream one after it has left."""
    monkeypatch.setattr(composition, "BALANCER_DETECTION_S", 0.3)
    first = RelaySystem(RelayLimits(grace_s=2.5), store_bytes_per_s=200_000.0)
    await first.async_start()
    entries = [first, await first.async_add_entry("entry-a-2")]
    soak = Soak(entries, seed)
    await asyncio.gather(
        *(soak.async_call() for _ in range(CALLERS)),
        *(soak.async_change() for _ in range(2)),
        *([soak.async_restore()] if is_restored else []),
    )
    last = soak.store.value("op/config")["version"]
    assert await async_wait_until(
        lambda: min(entry.entry.node.routes.version for entry in entries) >= last,
        DOCUMENT_S,
    )
    await entries[1].async_leave()
    await first.async_stop()
    assert not soak.errors
    assert soak.statuses[200] > 100
