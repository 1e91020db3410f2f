"""Fixtures for the tests of admission."""

import itertools
import random

import pytest

from cardamomnotch_core.relay.admission.models import WaitingRequest
from cardamomnotch_core.relay.admission.queue import AdmissionQueue
from cardamomnotch_core.relay.limits import RelayLimits


def build_request(request_id, **fields):
    """Return a request that waits for ten seconds at most."""
    defaults = {
        "service": "drafts",
        "workspace": "aaaaaa",
        "priority": 5,
        "arrived_at_s": 0.0,
        "latest_start_s": 10.0,
        "target_latency_s": 2.0,
    }
    return WaitingRequest(request_id=request_id, **{**defaults, **fields})


@pytest.fixture
def make_request():
    """Return a function that builds requests with distinct ids."""
    numbers = itertools.count()
    return lambda **fields: build_request(next(numbers), **fields)


@pytest.fixture
def make_queue():
    """Return a function that builds a queue with a seeded random source."""

    def make(**limits):
        return AdmissionQueue(RelayLimits(**limits), random.Random(1))

    return make
