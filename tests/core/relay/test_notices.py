"""What entries tell each other of their requests."""

import pytest

from cardamomnotch_core.relay import changes
from cardamomnotch_core.relay.const import ENDED_NOTICE_DELAY_S, MAX_ATTEMPT_S
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.models import PromptPart
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode


@pytest.fixture
def nodes(make_document, make_upstream):
    """Return two entries that know each other and two upstreams."""
    found = []
    for name in ("entry-a", "entry-b"):
        identity = RelayIdentity(name=name, zone="zone-a", incarnation="1")
        node = RelayNode(identity, RelayLimits())
        node.apply(changes.DocumentWritten(document=make_document()), 0.0)
        for number in range(2):
            upstream = make_upstream(f"up-{number}")
            node.apply(changes.UpstreamListed(upstream=upstream), 0.0)
        found.append(node)
    for node, other in (found, found[::-1]):
        record = changes.EntryRecord(
            entry=other.identity.name, incarnation="1", address="10.0.0.1:7000"
        )
        node.apply(changes.EntryReported(record=record), 0.0)
    return found


@pytest.fixture
def long_request(make_facts):
    """Return a request whose prompt takes long to read."""
    return make_facts(
        prompt=(
            PromptPart(part_id="shared", tokens=40_000),
            PromptPart(part_id="own", tokens=1_000),
        ),
        prompt_tokens=41_000,
    )


def place(node, facts, now_s):
    """Return where ``node`` places a request."""
    service = node.routes.document.services["drafts"]
    return node.place(service, facts, "m", 0, now_s)


def exchange(sender, receiver, now_s):
    """Deliver what ``sender`` has to tell, also what can wait."""
    notices = sender.load.take_notices(now_s + ENDED_NOTICE_DELAY_S)
    receiver.load.apply_notices(sender.identity.name, notices, now_s)


def test_others_avoid_a_busy_upstream(nodes, long_request, make_facts):
    """A long prompt that one entry has sent moves the other's next request."""
    first, second = nodes
    facts = make_facts(prompt_tokens=100)
    placement = place(second, facts, 0.0)
    first_placement = place(first, long_request, 0.0)
    if first_placement.state.upstream_id != placement.state.upstream_id:
        first.fleet.get(first_placement.state.upstream_id).record_failure(0.0)
        first_placement = place(first, long_request, 0.0)
    first.load.record_sent(first_placement, long_request, "m", "key", 0.0)
    assert place(second, facts, 0.01).state is placement.state
    exchange(first, second, 0.01)
    moved = place(second, facts, 0.02)
    assert moved.state is not placement.state


def test_first_token_frees_the_upstream(nodes, long_request):
    """The wait is over for all entries once the first token has come."""
    first, second = nodes
    placement = place(first, long_request, 0.0)
    first.load.record_sent(placement, long_request, "m", "key", 0.0)
    exchange(first, second, 0.0)
    state = second.fleet.get(placement.state.upstream_id)
    assert state.queue.waiting_ms(0.1) > 100
    first.load.record_first_byte(placement, "m", "key", 0.3, 0.3)
    exchange(first, second, 0.3)
    assert state.queue.waiting_ms(0.3) == 0.0
    assert state.running(0.3) == 1
    first.load.record_ended(placement.state, "key", 1.0)
    exchange(first, second, 1.0)
    assert state.running(1.0) == 0


def test_prompt_of_another_entry_attracts(nodes, long_request):
    """What one entry has had read need not be read again for the other."""
    first, second = nodes
    placement = place(first, long_request, 0.0)
    first.load.record_sent(placement, long_request, "m", "key", 0.0)
    first.load.record_first_byte(placement, "m", "key", 0.3, 0.3)
    exchange(first, second, 0.3)
    found = place(second, long_request, 5.0)
    assert found.state.upstream_id == placement.state.upstream_id
    assert found.unread_tokens == 1_000


def test_lost_notices_do_no_lasting_harm(nodes, long_request):
    """A start without an end is forgotten, also when its entry leaves."""
    first, second = nodes
    placement = place(first, long_request, 0.0)
    first.load.record_sent(placement, long_request, "m", "key", 0.0)
    exchange(first, second, 0.0)
    state = second.fleet.get(placement.state.upstream_id)
    assert state.queue.waiting_ms(15.1) == 0.0
    assert state.running(20.1) == 0
    first.load.record_sent(placement, long_request, "m", "other", 30.0)
    exchange(first, second, 30.0)
    second.apply(changes.EntryExpired(entry="entry-a"), 30.1)
    assert state.queue.waiting_ms(30.1) == 0.0
    assert state.running(30.1) == 0


def test_notice_of_an_unknown_upstream_is_ignored(nodes, long_request):
    """An upstream that one entry knows earlier than another does no harm."""
    first, second = nodes
    placement = place(first, long_request, 0.0)
    first.load.record_sent(placement, long_request, "m", "key", 0.0)
    second.fleet.remove(placement.state.upstream_id, 0.0)
    exchange(first, second, 0.0)


def test_end_alone_waits_for_another_notice(nodes, long_request):
    """An end goes with the next start, or by itself after a while."""
    first, _ = nodes
    placement = place(first, long_request, 0.0)
    first.load.record_sent(placement, long_request, "m", "key", 0.0)
    assert len(first.load.take_notices(0.0)) == 1
    first.load.record_ended(placement.state, "key", 1.0)
    assert first.load.take_notices(1.0) == []
    first.load.record_sent(placement, long_request, "m", "next", 1.1)
    assert len(first.load.take_notices(1.1)) == 2
    first.load.record_ended(placement.state, "next", 2.0)
    assert first.load.take_notices(2.0) == []
    assert len(first.load.take_notices(2.0 + ENDED_NOTICE_DELAY_S)) == 1
    assert first.load.take_notices(9.0) == []


def test_attempts_without_an_end_are_forgotten(nodes, long_request):
    """Lost notices fill no memory."""
    first, second = nodes
    placement = place(first, long_request, 0.0)
    for number in range(5):
        first.load.record_sent(placement, long_request, "m", number, 0.0)
        exchange(first, second, float(number))
    assert len(second.load._remote_attempts) == 5
    first.load.record_sent(placement, long_request, "m", "last", MAX_ATTEMPT_S + 2.5)
    exchange(first, second, MAX_ATTEMPT_S + 2.5)
    assert len(second.load._remote_attempts) == 3


def test_session_at_another_entry_keeps_its_version(nodes, make_facts):
    """A session that one entry serves is not moved first by another one."""
    first, second = nodes
    sessions = (make_facts(session=f"session-{number}") for number in range(1_000))
    facts = next(one for one in sessions if first.versions.is_in_first_stage(one))
    placement = place(first, facts, 0.0)
    first.load.record_sent(placement, facts, "m", "key", 0.0)
    exchange(first, second, 0.0)
    assert second.versions.sessions.version("drafts", facts.session, 1.0) == "v1"
    first.load.record_ended(placement.state, "key", 2.0)
    exchange(first, second, 2.0)
    assert second.versions.sessions.version("drafts", facts.session, 6.9) == "v1"
    assert second.versions.sessions.version("drafts", facts.session, 8.0) == ""


def test_alone_tells_nobody(make_document, make_upstream, long_request):
    """Without other entries, nothing is gathered."""
    identity = RelayIdentity(name="entry-a", zone="zone-a", incarnation="1")
    node = RelayNode(identity, RelayLimits())
    node.apply(changes.DocumentWritten(document=make_document()), 0.0)
    node.apply(changes.UpstreamListed(upstream=make_upstream()), 0.0)
    placement = place(node, long_request, 0.0)
    node.load.record_sent(placement, long_request, "m", "key", 0.0)
    assert node.load.take_notices(9.0) == []


def test_cut_off_entry_sends_callers_to_others_that_serve(nodes, long_request):
    """Callers go elsewhere at once, unless nobody is seen to serve."""
    first, second = nodes
    assert second.load.stale_retry_s(0.0) < 0.1
    placement = place(first, long_request, 0.0)
    first.load.record_sent(placement, long_request, "m", "key", 0.0)
    exchange(first, second, 0.0)
    assert second.load.stale_retry_s(0.9) < 0.1
    first.load.record_ended(placement.state, "key", 1.5)
    exchange(first, second, 1.5)
    assert second.load.stale_retry_s(2.0) >= 1.0
    assert second.load.stale_retry_s(9.0) < 0.1
