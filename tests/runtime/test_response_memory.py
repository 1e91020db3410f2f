"""The sum of what a process holds of unfinished responses."""

import pytest

from cardamomnotch_runtime.response_memory import ResponseMemory

LIMIT_BYTES = 1_000


@pytest.fixture
def memory():
    """Return a small memory."""
    return ResponseMemory(LIMIT_BYTES)


@pytest.fixture
def ended():
    """Return the names of the responses that were ended."""
    return []


@pytest.fixture
def open_response(memory, ended):
    """Return a function that opens a response of a name."""
    return lambda name: memory.open(lambda: ended.append(name))


def test_sum_of_many_responses_exceeds_the_limit(memory, ended, open_response):
    """The largest response ends, and the others go on."""
    held = {name: open_response(name) for name in ("small", "large", "last")}
    held["small"].record(100)
    held["large"].record(700)
    held["last"].record(200)
    assert not ended
    held["last"].record(201)
    assert ended == ["large"]
    assert memory.held_bytes == 301


def test_response_larger_than_the_limit_ends_others(memory, ended, open_response):
    """A response that exceeds the limit by itself is the one that ends."""
    open_response("sound").record(10)
    open_response("endless").record(LIMIT_BYTES + 1)
    assert ended == ["endless"]
    assert memory.held_bytes == 10


def test_response_that_has_ended_is_counted(memory, open_response):
    """What is held is released once, and not counted later."""
    held = open_response("one")
    held.record(500)
    held.close()
    held.close()
    held.record(700)
    assert memory.held_bytes == 0
