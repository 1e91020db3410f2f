"""Calls of a sidecar to its upstream that fail for a reason not expected."""

import time

import pytest

from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_sidecar.upstream.engine import EngineClient
from cardamomnotch_sidecar.upstream.plain_service import PlainServiceClient

from tests.fixtures.caller_responses import async_book, async_stream
from tests.fixtures.in_process_system import async_start_small_system

ERRORS = [ArithmeticError, KeyError, TypeError, ValueError]
TIMEOUT_S = 4.0


@pytest.fixture
async def system():
    """Return a small running system."""
    running = await async_start_small_system()
    yield running
    await running.async_stop()


@pytest.fixture(params=ERRORS)
def fail(request, monkeypatch):
    """Let each call to an upstream raise an error."""

    async def async_call(*_):
        raise request.param

    for client in (EngineClient, PlainServiceClient):
        monkeypatch.setattr(client, "async_call", async_call)


async def test_booking_waits_for_an_attempt_that_has_failed(system, http_session, fail):
    """Its caller is told at once that it may have run."""
    began_at_s = time.monotonic()
    url = system.entries["entry-0"].url
    answer = await async_book(http_session, url, "b-1", timeout_s=TIMEOUT_S)
    assert time.monotonic() - began_at_s < TIMEOUT_S / 2
    assert not answer.is_complete
    assert not answer.says_not_run
    assert answer.status in (502, 504)


async def test_stream_waits_for_an_attempt_that_has_failed(system, http_session, fail):
    """Its caller gets an error at once."""
    began_at_s = time.monotonic()
    url = system.entries["entry-0"].url
    answer = await async_stream(http_session, url, timeout_s=TIMEOUT_S)
    assert time.monotonic() - began_at_s < TIMEOUT_S / 2
    assert answer.status in (502, 503)
    assert answer.code in (ResultCode.UPSTREAM_FAILED, ResultCode.NO_UPSTREAM)
