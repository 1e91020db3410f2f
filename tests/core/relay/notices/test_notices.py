"""Tests of the notices by which entries share their attempts in flight."""

import pytest

from cardamomnotch_core.relay.const import ENDED_NOTICE_DELAY_S, MAX_ATTEMPT_S
from cardamomnotch_core.relay.crashes.detection import AttemptEnd
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.models import PromptPart
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.store_changes import changes


@pytest.fixture
def nodes(make_document, make_upstream):
    """Return two entries that know each other and the same two upstreams."""
    nodes = []
    for name in ("entry-a", "entry-b"):
        identity = RelayIdentity(name=name, zone="zone-a", incarnation="1")
        node = RelayNode(identity, RelayLimits())
        node.apply(changes.DocumentWritten(document=make_document()), 0.0)
        for number in range(2):
            upstream = make_upstream(f"up-{number}")
            node.apply(changes.UpstreamListed(upstream=upstream), 0.0)
        nodes.append(node)
    for node, other in (nodes, nodes[::-1]):
        record = changes.EntryRecord(
            entry=other.identity.name, incarnation="1", address="10.0.0.1:7000"
        )
        node.apply(changes.EntryReported(record=record), 0.0)
    return nodes


@pytest.fixture
def long_request(make_facts):
    """Return a request whose prompt has a long prefill."""
    return make_facts(
        prompt=(
            PromptPart(part_id="shared", tokens=40_000),
            PromptPart(part_id="own", tokens=1_000),
        ),
        prompt_tokens=41_000,
    )


def place(node, facts, now_s):
    """Return the placement that ``node`` chooses for a request."""
    service = node.routes.document.services["drafts"]
    return node.place(service, facts, "m", 0, now_s)


def deliver_notices(sender, receiver, now_s):
    """Deliver all of ``sender``'s notices, including end notices held back."""
    notices = sender.attempts.take_notices(now_s + ENDED_NOTICE_DELAY_S)
    receiver.attempts.apply_notices(sender.identity.name, notices, now_s)


def test_other_entries_avoid_a_busy_upstream(nodes, long_request, make_facts):
    """An entry avoids an upstream to which another sent a long prompt."""
    first, second = nodes
    facts = make_facts(prompt_tokens=100)
    placement = place(second, facts, 0.0)
    first_placement = place(first, long_request, 0.0)
    if first_placement.state.upstream_id != placement.state.upstream_id:
        first.fleet.get(first_placement.state.upstream_id).record_failure(0.0)
        first_placement = place(first, long_request, 0.0)
    first.attempts.record_sent(first_placement, long_request, "m", "key", 0.0)
    assert place(second, facts, 0.01).state is placement.state
    deliver_notices(first, second, 0.01)
    moved = place(second, facts, 0.02)
    assert moved.state is not placement.state


def test_first_token_frees_the_upstream(nodes, long_request):
    """The first token ends the expected wait at all entries."""
    first, second = nodes
    placement = place(first, long_request, 0.0)
    first.attempts.record_sent(placement, long_request, "m", "key", 0.0)
    deliver_notices(first, second, 0.0)
    state = second.fleet.get(placement.state.upstream_id)
    assert state.queue.waiting_ms(0.1) > 100
    first.attempts.record_first_byte(placement, "m", "key", 0.3, 0.3)
    deliver_notices(first, second, 0.3)
    assert state.queue.waiting_ms(0.3) == 0.0
    assert state.running(0.3) == 1
    first.attempts.record_ended(placement.state, "key", AttemptEnd.COMPLETED, 1.0)
    deliver_notices(first, second, 1.0)
    assert state.running(1.0) == 0


def test_upstream_with_another_entrys_prompt_is_preferred(nodes, long_request):
    """An upstream that has cached another entry's prompt is chosen."""
    first, second = nodes
    placement = place(first, long_request, 0.0)
    first.attempts.record_sent(placement, long_request, "m", "key", 0.0)
    first.attempts.record_first_byte(placement, "m", "key", 0.3, 0.3)
    deliver_notices(first, second, 0.3)
    second_placement = place(second, long_request, 5.0)
    assert second_placement.state.upstream_id == placement.state.upstream_id
    assert second_placement.unread_tokens == 1_000


def test_attempt_with_a_lost_end_notice_expires(nodes, long_request):
    """An attempt without an end notice expires, at latest with its entry."""
    first, second = nodes
    placement = place(first, long_request, 0.0)
    first.attempts.record_sent(placement, long_request, "m", "key", 0.0)
    deliver_notices(first, second, 0.0)
    state = second.fleet.get(placement.state.upstream_id)
    assert state.queue.waiting_ms(15.1) == 0.0
    assert state.running(20.1) == 0
    first.attempts.record_sent(placement, long_request, "m", "other", 30.0)
    deliver_notices(first, second, 30.0)
    second.apply(changes.EntryExpired(entry="entry-a"), 30.1)
    assert state.queue.waiting_ms(30.1) == 0.0
    assert state.running(30.1) == 0


def test_notice_of_an_unknown_upstream_is_ignored(nodes, long_request):
    """A notice about an upstream unknown to the receiver is ignored."""
    first, second = nodes
    placement = place(first, long_request, 0.0)
    first.attempts.record_sent(placement, long_request, "m", "key", 0.0)
    second.fleet.remove(placement.state.upstream_id, 0.0)
    deliver_notices(first, second, 0.0)


def test_end_notice_is_held_back_for_another_notice(nodes, long_request):
    """An end notice is sent with the next start, or alone after a delay."""
    first, _ = nodes
    placement = place(first, long_request, 0.0)
    first.attempts.record_sent(placement, long_request, "m", "key", 0.0)
    assert len(first.attempts.take_notices(0.0)) == 1
    first.attempts.record_ended(placement.state, "key", AttemptEnd.COMPLETED, 1.0)
    assert first.attempts.take_notices(1.0) == []
    first.attempts.record_sent(placement, long_request, "m", "next", 1.1)
    assert len(first.attempts.take_notices(1.1)) == 2
    first.attempts.record_ended(placement.state, "next", AttemptEnd.COMPLETED, 2.0)
    assert first.attempts.take_notices(2.0) == []
    assert len(first.attempts.take_notices(2.0 + ENDED_NOTICE_DELAY_S)) == 1
    assert first.attempts.take_notices(9.0) == []


def test_attempts_without_an_end_notice_are_deleted(nodes, long_request):
    """Attempts whose end notices are lost do not accumulate in memory."""
    first, second = nodes
    placement = place(first, long_request, 0.0)
    for number in range(5):
        first.attempts.record_sent(placement, long_request, "m", number, 0.0)
        deliver_notices(first, second, float(number))
    assert len(second.attempts._remote_attempts) == 5
    first.attempts.record_sent(
        placement, long_request, "m", "last", MAX_ATTEMPT_S + 2.5
    )
    deliver_notices(first, second, MAX_ATTEMPT_S + 2.5)
    assert len(second.attempts._remote_attempts) == 3


def test_session_at_another_entry_keeps_its_version(nodes, make_facts):
    """A session active at one entry keeps its version at another entry."""
    first, second = nodes
    sessions = (make_facts(session=f"session-{number}") for number in range(1_000))
    facts = next(facts for facts in sessions if first.versions.is_in_first_stage(facts))
    placement = place(first, facts, 0.0)
    first.attempts.record_sent(placement, facts, "m", "key", 0.0)
    deliver_notices(first, second, 0.0)
    assert second.versions.sessions.version("drafts", facts.session, 1.0) == "v1"
    first.attempts.record_ended(placement.state, "key", AttemptEnd.COMPLETED, 2.0)
    deliver_notices(first, second, 2.0)
    assert second.versions.sessions.version("drafts", facts.session, 6.9) == "v1"
    assert second.versions.sessions.version("drafts", facts.session, 8.0) == ""


def test_single_entry_queues_no_notices(make_document, make_upstream, long_request):
    """Without other entries, no notices are queued."""
    identity = RelayIdentity(name="entry-a", zone="zone-a", incarnation="1")
    node = RelayNode(identity, RelayLimits())
    node.apply(changes.DocumentWritten(document=make_document()), 0.0)
    node.apply(changes.UpstreamListed(upstream=make_upstream()), 0.0)
    placement = place(node, long_request, 0.0)
    node.attempts.record_sent(placement, long_request, "m", "key", 0.0)
    assert node.attempts.take_notices(9.0) == []


def test_entry_without_store_sends_callers_to_serving_entries(nodes, long_request):
    """Callers are sent elsewhere at once if other entries may serve them."""
    first, second = nodes
    assert second.attempts.stale_retry_s(0.0) < 0.1
    placement = place(first, long_request, 0.0)
    first.attempts.record_sent(placement, long_request, "m", "key", 0.0)
    deliver_notices(first, second, 0.0)
    assert second.attempts.stale_retry_s(0.9) < 0.1
    first.attempts.record_ended(placement.state, "key", AttemptEnd.COMPLETED, 1.5)
    deliver_notices(first, second, 1.5)
    assert second.attempts.stale_retry_s(2.0) >= 1.0
    assert second.attempts.stale_retry_s(9.0) < 0.1
