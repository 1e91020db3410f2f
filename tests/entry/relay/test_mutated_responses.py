"""Seeded responses of upstreams with random bytes at random places."""

import asyncio
import os
import random

import pytest

from tests.entry.relay.test_invalid_headers import (
    STREAMS,
    async_add,
    send_call,
    whole_response,
)
from tests.fixtures.raw_caller import RawCaller
from tests.stand_ins.platform_upstream import Send

# Seeds that are played; more are played by hand.
SEEDS = int(os.environ.get("MUTATION_SEEDS", "4"))
CASES_PER_SEED = 60
METHODS = ["POST", "GET", "HEAD"]


def mutate(data, rng):
    """Replace, insert or remove up to three bytes or lines of a response."""
    mutated = bytearray(data)
    for _ in range(rng.randint(1, 3)):
        place = rng.randrange(len(mutated))
        count = rng.randint(1, 3)
        match rng.randrange(4):
            case 0:
                mutated[place] = rng.randrange(256)
            case 1:
                mutated[place:place] = rng.randbytes(count)
            case 2:
                del mutated[place : place + count]
            case 3:
                lines = bytes(mutated).split(b"\r\n")
                lines.insert(rng.randrange(len(lines) + 1), rng.choice(lines))
                mutated = bytearray(b"\r\n".join(lines))
        if not mutated:
            return b""
    return bytes(mutated)


def mutating(route, rng):
    """Return a behavior that sends a mutated response in random parts."""
    whole = whole_response(route, X_Note="a", Set_Cookie="a=b")

    def respond(request):
        data = mutate(b"".join(step.data for step in whole(request)), rng)
        split = rng.randrange(len(data) + 1)
        return [Send(data[:split]), Send(data[split:])]

    return respond


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("route", ["answer", "book", "draft", "read"])
async def test_mutated_response_is_passed_on_in_pieces(relay, route, seed):
    """Callers get one whole response, or a truncated stream, and nothing else."""
    rng = random.Random(f"{route} {seed}")
    upstream = await async_add(relay, route, mutating(route, rng))
    for number in range(CASES_PER_SEED):
        relay.entry.node.fleet.get("up").record_success()
        method, version = rng.choice(METHODS), rng.choice(["1.0", "1.1", "1.1"])
        caller = await RawCaller.async_open(relay.caller_address)
        send_call(
            caller,
            route,
            method,
            version,
            X_Attempt_Id=f"request-{seed}-{number}",
            X_Deadline_Ms="500",
            Connection="close",
        )
        try:
            response = await caller.async_read_response(method)
            assert response.status not in (500, 503), (number, response)
            assert await caller.async_read_rest() == b""
        except (asyncio.IncompleteReadError, ConnectionError):
            assert route in STREAMS, number
        finally:
            caller.close()
        assert relay.entry._server.in_flight <= 1
    assert upstream.seen
