"""Log lines, metrics and state dump of the requests that wait."""

import random

import pytest

from cardamomnotch_core.relay.admission.models import WaitingRequest
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.models import Upstream
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.store_changes import changes
from cardamomnotch_entry.relay.admission_monitor import AdmissionMonitor
from cardamomnotch_entry.relay.metrics import RelayMetrics

BEGUN = "requests of a service wait too long; refusing those that are late"
ENDED = "requests of a service no longer wait too long"


@pytest.fixture
def full_node():
    """Return a node whose only slot is used, with two requests that wait."""
    identity = RelayIdentity(name="entry-1", zone="zone-a", incarnation="1")
    node = RelayNode(identity, RelayLimits(), random.Random(1))
    upstream = Upstream(
        upstream_id="up",
        service="drafts",
        address="10.0.0.1:80",
        zone="zone-a",
        version="v1",
        slots=1,
    )
    node.apply(changes.UpstreamListed(upstream=upstream), 0.0)
    node.fleet.get("up").in_flight = 1
    for number in range(2):
        request = WaitingRequest(
            request_id=number,
            service="drafts",
            workspace="aaaaaa",
            priority=5,
            arrived_at_s=0.0,
            latest_start_s=100.0,
            target_latency_s=2.0,
            body_bytes=1_000,
            is_continued=bool(number),
        )
        node.admission.decide(
            request,
            lambda now_s: node.fleet.candidates("drafts", now_s),
            lambda decision: None,
            0.0,
        )
    return node


async def test_overload_is_logged_once_and_waiting_requests_are_shown(
    full_node, caplog
):
    """Operators see when an overload begins and ends, and what waits."""
    caplog.set_level("INFO")
    now_s = [0.6]
    metrics = RelayMetrics(full_node, lambda: now_s[0])
    monitor = AdmissionMonitor(full_node, lambda: now_s[0], metrics.set_queues)

    def gauge(name):
        sample = f"cardamomnotch_relay_waiting_{name}"
        return metrics.registry.get_sample_value(sample, {"service": "drafts"})

    await monitor.async_check()
    assert (gauge("requests"), gauge("bytes")) == (2, 2_000)
    assert not caplog.records
    for now_s[0] in (2.7, 3.0):
        await monitor.async_check()
    [line] = caplog.records
    assert (line.message, line.fields["service"]) == (BEGUN, "drafts")
    assert line.fields["priorities"] == [5]
    # The one that has run before is not refused for the overload.
    assert gauge("requests") == 1
    full_node.fleet.get("up").in_flight = 0
    for now_s[0] in (3.2, 3.4):
        await monitor.async_check()
    assert [record.message for record in caplog.records] == [BEGUN, ENDED]
    assert (gauge("requests"), gauge("bytes")) == (0, 0)


async def test_state_dump_shows_queues(relay):
    """The state dump has a place for queues and for workspaces over their share."""
    async with relay.session.get(f"http://{relay.admin_address}/state") as response:
        state = await response.json()
    assert (state["queues"], state["workspaces_over_share"]) == ([], {})
