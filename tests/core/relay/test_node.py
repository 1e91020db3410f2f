"""Tests of one entry's decisions, without a network."""

import contextlib

import pytest

from cardamomnotch_core.membership.rendezvous import rendezvous_hash
from cardamomnotch_core.relay import live_entries
from cardamomnotch_core.relay.crashes.detection import AttemptEnd, Crash, Suspicion
from cardamomnotch_core.relay.exceptions import RefusalError
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.model_choice.models import Answer, ChoiceRequest
from cardamomnotch_core.relay.models import PromptPart, RolloutOrder, Service, Share
from cardamomnotch_core.relay.node import RelayIdentity, RelayNode
from cardamomnotch_core.relay.placement.const import MAX_COMPARED_UPSTREAMS
from cardamomnotch_core.relay.rates import rate_limits
from cardamomnotch_core.relay.store_changes import changes
from cardamomnotch_protocol.result_codes import ResultCode

from tests.fixtures.positions import at

# A deadline that leaves time for any wait.
DEADLINE_S = 1_000.0


@pytest.fixture
def node(make_document):
    """Return an entry with a routes document that is confirmed at second 0."""
    identity = RelayIdentity(name="entry-a", zone="zone-a", incarnation="1")
    node = RelayNode(identity, RelayLimits())
    node.apply(changes.DocumentWritten(document=make_document()), 0.0)
    node.routes.confirm(0.0)
    return node


@pytest.fixture
def service(node):
    """Return the service of the document's route."""
    return node.routes.document.services["drafts"]


def register_upstream(node, upstream, now_s=0.0):
    """Register an upstream with ``node``."""
    node.apply(changes.UpstreamListed(upstream=upstream), now_s)


def test_no_upstream_is_refused_with_a_retry_time(node, service, make_facts):
    """Without any upstream a request is refused with a retry time."""
    with pytest.raises(RefusalError) as error:
        node.place(service, make_facts(), "", 0, 0.0)
    assert error.value.code is ResultCode.NO_UPSTREAM
    assert error.value.retry_after_s


def test_cold_upstream_gets_a_limited_rate(node, service, make_upstream, make_facts):
    """A cold upstream gets requests up to its rate limit and is then full."""
    register_upstream(node, make_upstream(cold_left_s=3.0))
    for name in ("entry-b", "entry-c", "entry-d", "entry-e"):
        record = changes.EntryRecord(entry=name, incarnation="1")
        node.apply(changes.EntryReported(record=record), 0.0)
    sent = 0
    with pytest.raises(RefusalError) as error:
        for _ in range(100):
            placement = node.place(service, make_facts(), "", 0, 1.0)
            node.attempts.record_sent(placement, make_facts(), "", sent, 1.0)
            sent += 1
    assert error.value.code is ResultCode.UPSTREAM_FULL
    assert 1 <= sent * 5 <= 7.3 * 1.5 + 5
    assert node.place(service, make_facts(), "", 0, 2.1)
    assert node.place(service, make_facts(), "", 0, 3.1)


def test_tried_upstreams_come_last(node, service, make_upstream, make_facts):
    """A retry goes to an upstream that has not been tried, if there is one."""
    for number in range(3):
        register_upstream(node, make_upstream(f"up-{number}"))
    tried = frozenset({"up-0", "up-2"})
    placement = node.place(service, make_facts(), "", 0, 0.0, tried=tried)
    assert placement.state.upstream_id == "up-1"


def test_full_listing_removes_what_it_does_not_contain(
    node, make_upstream, make_document
):
    """A full listing replaces what was read before a gap in the history."""
    register_upstream(node, make_upstream("up-old"))
    node.apply(changes.ZoneDisabled(zone="zone-b"), 0.0)
    record = changes.EntryRecord(entry="entry-old", incarnation="1")
    node.apply(changes.EntryReported(record=record), 0.0)
    listing = [
        changes.DocumentWritten(document=make_document(2)),
        changes.UpstreamListed(upstream=make_upstream("up-new")),
    ]
    node.apply_listing(listing, 1.0)
    assert node.fleet.upstream_ids == {"up-new"}
    assert not node.fleet.zones_out
    assert node.entries == ("entry-a",)
    assert node.routes.version == 2


def test_crashes_of_all_entries_count(node, make_facts):
    """A request that crashed an upstream at each of two entries is refused."""
    node.quarantine.record_crash(Crash(suspect="print", process="up-0@1"), 0.0)
    assert node.quarantine_wait_s(make_facts(), 1.0, DEADLINE_S) == 0.0
    reported = (Crash(suspect="print", process="up-1@1"),)
    node.apply(changes.CrashesReported(crashes=reported), 1.0)
    wait_s = node.quarantine_wait_s(make_facts(), 1.0, DEADLINE_S)
    assert 0.0 < wait_s <= 1.0
    with pytest.raises(RefusalError):
        node.quarantine_wait_s(make_facts(), 1.0, 1.0 + wait_s)
    with pytest.raises(RefusalError) as error:
        node.quarantine_wait_s(make_facts(), 1.0 + wait_s, DEADLINE_S)
    assert error.value.code is ResultCode.REQUEST_QUARANTINED
    assert (
        node.quarantine_wait_s(make_facts(fingerprint="other"), 3.0, DEADLINE_S) == 0.0
    )


def test_crash_seen_by_two_entries_counts_once(node, make_facts):
    """One crash that two entries report is not counted as two."""
    crash = Crash(suspect="print", process="up-0@1")
    node.quarantine.record_crash(crash, 0.0)
    node.apply(changes.CrashesReported(crashes=(crash,)), 1.0)
    assert node.quarantine_wait_s(make_facts(), 3.0, DEADLINE_S) == 0.0


def send_unanswered(node, service, facts, upstream, ended_s):
    """Send a request to ``upstream`` whose caller leaves before its answer."""
    (state,) = [state for state in node.fleet if state.upstream == upstream]
    placement = node.place(service, facts, "", 0, 0.0)
    assert placement.state is state
    node.attempts.record_sent(placement, facts, "", facts, 0.0)

    def end():
        node.attempts.record_ended(state, facts, AttemptEnd.ABANDONED, ended_s)

    return end


@pytest.mark.parametrize(
    ("draining", "ended_s", "expected"),
    [(False, 7.9, 1), (False, 8.1, 0), (True, 1.0, 0)],
    ids=["soon after", "long after", "after draining"],
)
def test_end_of_an_upstream_counts_for_its_unanswered_requests(
    node, service, make_facts, make_upstream, draining, ended_s, expected
):
    """The end of a process counts as a crash soon after an unanswered request."""
    register_upstream(node, make_upstream("up-0"))
    send_unanswered(node, service, make_facts(), make_upstream("up-0"), 0.0)()
    register_upstream(node, make_upstream("up-0", is_draining=draining))
    node.apply(changes.UpstreamUnlisted(upstream_id="up-0"), ended_s)
    assert node.quarantine.crashes("print", ended_s) == expected


def test_unanswered_request_counts_if_its_upstream_has_ended(
    node, service, make_facts, make_upstream
):
    """A process that ended before its request did counts as a crash at once."""
    register_upstream(node, make_upstream("up-0"))
    end = send_unanswered(node, service, make_facts(), make_upstream("up-0"), 1.0)
    restarted = make_upstream("up-0", started_ms=5)
    register_upstream(node, restarted)
    end()
    assert node.quarantine.crashes("print", 1.0) == 1
    send_unanswered(node, service, make_facts(), restarted, 1.0)()
    assert node.quarantine.crashes("print", 1.0) == 1


def test_crashing_request_that_keeps_coming_crashes_few_upstreams(node, make_facts):
    """Of the upstreams after the third, at most three crash in ten minutes."""
    crashes = 0
    for now_s in range(600):
        with contextlib.suppress(RefusalError):
            if node.quarantine_wait_s(make_facts(), float(now_s), DEADLINE_S):
                continue
            crash = Crash(suspect="print", process=f"up@{now_s}")
            node.quarantine.record_crash(crash, float(now_s))
            crashes += 1
    assert crashes <= 3 + 3


def test_route_shares(node, make_route, make_facts):
    """Requests are split by weight, and a session gets one service."""
    route = make_route(
        shares=(
            Share(service="drafts", weight=75),
            Share(service="others", weight=25),
        )
    )
    names = [
        node.admit(route, make_facts(f"request-{n}"), 0.0).name for n in range(400)
    ]
    assert 240 < names.count("drafts") < 360
    sessions = {
        node.admit(route, make_facts(f"request-{n}", session="one"), 0.0).name
        for n in range(20)
    }
    assert len(sessions) == 1


@pytest.mark.parametrize(
    ("elapsed_s", "expected"), [(0.1, "large"), (1.59, None)], ids=["early", "late"]
)
def test_escalation_only_within_the_latency_target(
    node, service, make_route, make_upstream, make_facts, elapsed_s, expected
):
    """A larger model is asked only if its first token is expected in time."""
    register_upstream(node, make_upstream())
    route = make_route(models=("small", "large"))
    request = ChoiceRequest(route=route, service=service, facts=make_facts())
    answer = Answer(model="small", confidence=10, elapsed_s=elapsed_s)
    decision = node.next_model(request, answer, 0, 0.0)
    assert decision.model == expected


def test_older_document_changes_nothing_that_was_learned(
    node, service, make_document, make_route, make_facts
):
    """A copy of the routes that is out of date deletes no estimate of a new route."""
    route = make_route(name="new", models=("small", "large"))
    document = make_document(3, routes=[route])
    node.apply(changes.DocumentWritten(document=document), 0.0)
    request = ChoiceRequest(route=route, service=service, facts=make_facts())
    answer = Answer(model="small", confidence=10, elapsed_s=0.1)
    node.model_choice.record_answer(request, answer)
    node.apply(changes.DocumentWritten(document=make_document(2)), 1.0)
    assert "new" in node.model_choice.learned()
    node.apply(changes.DocumentWritten(document=make_document(4)), 2.0)
    assert not node.model_choice.learned()


def test_record_is_urgent_only_if_it_affects_decisions(node):
    """Bad answers make a record urgent, good answers alone do not."""
    order = changes.RolloutOrdered(
        order=RolloutOrder(service="drafts", target="v2", duration_s=20.0),
        order_id=at(5),
    )
    node.apply(order, 0.0)
    earlier = node.entry_record(1.0)
    rollout = node.versions.get("drafts")
    rollout.record_answer("v2", False)
    assert not node.entry_record(1.0).is_urgent_after(earlier)
    rollout.record_answer("v2", True)
    assert node.entry_record(1.0).is_urgent_after(earlier)


def test_restarted_entry_restores_its_rollout(node, make_document):
    """After a restart, the rollout's age and statistics are restored once."""
    order = changes.RolloutOrdered(
        order=RolloutOrder(service="drafts", target="v2", duration_s=20.0),
        order_id=at(5),
    )
    node.apply(order, 0.0)
    node.versions.get("drafts").record_answer("v2", True)
    record = node.entry_record(12.0)
    identity = RelayIdentity(name="entry-a", zone="zone-a", incarnation="2")
    restarted = RelayNode(identity, RelayLimits())
    listing = [changes.EntryReported(record=record), order]
    restarted.apply_listing(listing, 500.0)
    restarted.apply(changes.EntryReported(record=record), 500.1)
    rollout = restarted.versions.get("drafts")
    assert rollout.share(500.0) == 0.3
    assert rollout.share(503.5) == 1.0
    assert rollout.new.bad == 1


@pytest.mark.parametrize("cause", ["restarted", "gone after an outage"])
def test_prompts_of_an_ended_process_are_forgotten(
    node, service, make_upstream, make_facts, cause
):
    """The prompt cache estimate is cleared when an upstream process ends.

    A new process under the same id has an empty cache.
    """
    node.apply(changes.UpstreamListed(upstream=make_upstream("up-1")), 0.0)
    prompt = (PromptPart(part_id="shared", tokens=900),) * 2
    facts = make_facts(prompt=prompt, prompt_tokens=1_800)
    placement = node.place(service, facts, "m", 0, 0.0)
    node.attempts.record_sent(placement, facts, "m", "key", 0.0)
    assert node.place(service, facts, "m", 0, 0.0).cached_tokens
    new_registration = make_upstream("up-1", started_ms=2)
    if cause != "restarted":
        new_registration = make_upstream("up-1")
        node.fleet.record_store_returned(10.0)
        node.apply(changes.UpstreamUnlisted(upstream_id="up-1"), 10.1)
        assert not node.fleet.candidates("drafts", 13.0)
    node.apply(changes.UpstreamListed(upstream=new_registration), 14.0)
    assert node.place(service, facts, "m", 0, 15.0).cached_tokens == 0


@pytest.fixture
def suspected_node(node, make_upstream):
    """Return an entry with three upstreams, and three suspects of one crash."""
    for number in range(3):
        register_upstream(node, make_upstream(f"up-{number}"))
    for suspect in ("suspect", "suspect-2", "suspect-3"):
        crash = Crash(suspect=suspect, process="up@1", suspicion=Suspicion.BEGINNING)
        node.quarantine.record_crash(crash, 0.0)
    return node


def place_at(node, service, facts, now_s=1.0):
    """Place and send a request; return its upstream's id."""
    placement = node.place(service, facts, "", 0, now_s)
    node.attempts.record_sent(placement, facts, "", facts, now_s)
    return placement.state.upstream_id


def test_suspected_requests_are_kept_apart(suspected_node, service, make_facts):
    """Suspected requests go to different upstreams, not where a prompt is cached.

    They leave one of three to others.
    """
    prompt = (
        PromptPart(part_id="a", tokens=10_000),
        PromptPart(part_id="own", tokens=10),
    )
    placed = []
    for print_ in ("suspect", "suspect-2", "suspect-3"):
        facts = make_facts(
            print_, fingerprint=print_, prompt=prompt, prompt_tokens=10_010
        )
        placement = suspected_node.place(service, facts, "", 0, 1.0)
        suspected_node.attempts.record_sent(placement, facts, "", facts, 1.0)
        suspected_node.attempts.record_first_byte(placement, "", facts, 0.1, 1.1)
        placed.append(placement.state.upstream_id)
    assert placed[0] != placed[1]
    assert placed[2] in placed[:2]
    other = make_facts("r", fingerprint="other", prompt=prompt, prompt_tokens=10_010)
    assert place_at(suspected_node, service, other) not in placed


def test_suspected_request_runs_once_at_a_time(suspected_node, service, make_facts):
    """Copies of a suspected request wait for the outcome of the first."""
    first = make_facts("r1", fingerprint="suspect")
    placement = suspected_node.place(service, first, "", 0, 1.0)
    assert suspected_node.suspect_runs.announce("r1", "up-0@1", first, 1.0)
    suspected_node.attempts.record_sent(placement, first, "", "r1", 1.1)
    with pytest.raises(RefusalError) as refusal:
        suspected_node.place(
            service, make_facts("r2", fingerprint="suspect"), "", 0, 1.2
        )
    assert refusal.value.code is ResultCode.SUSPECT_BUSY
    suspected_node.attempts.record_ended(
        placement.state, "r1", AttemptEnd.COMPLETED, 1.3
    )
    assert place_at(
        suspected_node, service, make_facts("r3", fingerprint="suspect"), 1.4
    )


def test_other_requests_avoid_suspected_ones(suspected_node, service, make_facts):
    """Requests avoid the upstream of a suspected one until it has been answered."""
    suspect = make_facts("r1", fingerprint="suspect")
    avoided = place_at(suspected_node, service, suspect)
    placed = [
        place_at(suspected_node, service, make_facts(f"r{number}", fingerprint="other"))
        for number in range(10, 16)
    ]
    assert avoided not in placed
    suspected_node.attempts.record_outlasted_onset(suspect, 2.0)
    placed = [
        place_at(suspected_node, service, make_facts(f"r{number}", fingerprint="other"))
        for number in range(20, 26)
    ]
    assert avoided in placed


def test_penalized_upstream_is_no_way_out(suspected_node, service, make_facts):
    """Suspected requests share an upstream rather than use a failing one."""
    first, *others = suspected_node.fleet
    for state in others:
        state.record_failure(1.0)
    placed = {
        place_at(suspected_node, service, make_facts(f"r{number}", fingerprint=print_))
        for number, print_ in enumerate(["suspect", "suspect-2", "other"])
    }
    assert placed == {first.upstream_id}


def test_ended_process_is_a_last_resort(node, service, make_facts, make_upstream):
    """A dead upstream is not tried again before the store can list its end."""
    for number in range(2):
        register_upstream(node, make_upstream(f"up-{number}"))
    node.record_process_ended("up-0@1", 0.0)
    placed = [
        place_at(node, service, make_facts(f"r{number}"), 3.9) for number in range(8)
    ]
    assert set(placed) == {"up-1"}
    register_upstream(node, make_upstream("up-0", started_ms=2), 3.9)
    assert place_at(node, service, make_facts("r9"), 3.9) == "up-0"


def test_end_reported_by_another_entry_is_no_penalty(
    node, service, make_facts, make_upstream
):
    """An upstream to which another entry has lost its path still gets requests."""
    register_upstream(node, make_upstream("up-0"))
    register_upstream(node, make_upstream("up-1"))
    crash = Crash(suspect="r", process="up-0@1")
    node.apply(changes.CrashesReported(crashes=(crash,)), 0.0)
    assert node.fleet.get("up-0").has_ended(0.1)
    placed = [place_at(node, service, make_facts(f"r{n}"), 0.1) for n in range(8)]
    assert set(placed) == {"up-0", "up-1"}


@pytest.mark.parametrize(("upstreams", "entries"), [(39, 68), (364, 670)])
def test_placing_at_cold_upstreams_does_not_grow_with_entries(
    make_document, make_upstream, make_facts, monkeypatch, upstreams, entries
):
    """A request hashes a few names, however many entries and cold upstreams."""
    node = RelayNode(
        RelayIdentity(name="entry-0", zone="zone-a", incarnation="1"), RelayLimits()
    )
    service = Service(name="drafts", cold_rate=7.0)
    for number in range(upstreams):
        upstream = make_upstream(f"up-{number}", cold_left_s=100.0)
        node.apply(changes.UpstreamListed(upstream=upstream), 0.0)
    for number in range(1, entries):
        record = changes.EntryRecord(entry=f"entry-{number}", incarnation="1")
        node.apply(changes.EntryReported(record=record), 0.0)
    node.place(service, make_facts(), "m", 0, 0.0)
    hashed = []

    def count_hash(owner, member):
        hashed.append(member)
        return rendezvous_hash(owner, member)

    for module in (live_entries, rate_limits):
        monkeypatch.setattr(module, "rendezvous_hash", count_hash, raising=False)
    for number in range(10):
        node.place(service, make_facts(f"r{number}"), "m", 0, 0.1 + number / 100)
    assert len(hashed) <= 10 * MAX_COMPARED_UPSTREAMS
