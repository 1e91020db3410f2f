"""Which suspected requests may run at the same time, over all entries."""

import pytest

from cardamomnotch_core.relay.crashes.const import CRASH_ONSET_S, ISOLATED_RUN_EXPIRY_S
from cardamomnotch_core.relay.crashes.isolation import Isolation, RunIsolation

PROCESSES = [f"up-{number}@1" for number in range(4)]


@pytest.fixture
def entries():
    """Return the isolation of three entries."""
    return [RunIsolation(f"entry-{number}") for number in range(3)]


def deliver(entries, now_s=0.0):
    """Deliver all entries' notices to the others."""
    sent = [(entry, entry.take_notices(now_s)) for entry in entries]
    for sender, notices in sent:
        for entry in entries:
            if entry is not sender:
                entry.apply(sender._entry, notices, now_s)


def select(entry, isolation, *suspects, processes=PROCESSES, now_s=0.0, **options):
    """Return the processes for a request."""
    return entry.select(processes, isolation, frozenset(suspects), now_s, **options)


@pytest.mark.parametrize("isolation", [Isolation.PREFERRED, Isolation.REQUIRED])
def test_suspects_use_the_same_half_at_all_entries(entries, isolation):
    """Crashes of suspected requests leave half of the upstreams to others."""
    usable = [select(entry, isolation, "r1") for entry in entries]
    assert len(usable[0]) == 2
    assert usable == usable[:1] * 3


def test_requests_of_other_entries_avoid_a_suspect(entries):
    """A suspected request keeps the others of all entries from its upstream."""
    process = select(entries[0], Isolation.PREFERRED, "r1")[0]
    entries[0].begin("key", process, {"r1"}, 0.0)
    deliver(entries)
    assert process not in select(entries[1], Isolation.NONE)
    assert process not in select(entries[1], Isolation.PREFERRED, "r2")
    assert process not in select(entries[1], Isolation.REQUIRED, "r2")
    entries[0].end("key")
    deliver(entries)
    assert process in select(entries[1], Isolation.REQUIRED, "r2")


def test_copies_at_other_entries_wait(entries):
    """A suspected request runs at one upstream of all entries at a time."""
    entries[0].begin("key", PROCESSES[0], {"r1"}, 0.0)
    deliver(entries)
    for isolation in (Isolation.PREFERRED, Isolation.REQUIRED):
        assert select(entries[1], isolation, "r1") == []


def test_no_upstream_is_shared_with_a_request_that_has_to_be_alone(entries):
    """It waits if all usable upstreams have suspects, and keeps others away."""
    usable = select(entries[0], Isolation.REQUIRED, "r0")
    for number, process in enumerate(usable):
        entries[0].begin(number, process, {f"r{number}"}, 0.0, is_alone=True)
    deliver(entries)
    assert select(entries[1], Isolation.REQUIRED, "r9") == []
    assert select(entries[1], Isolation.PREFERRED, "r9") == []


@pytest.mark.parametrize("suspects", [("r1", "r1", "r1"), ("r1", "r2", "r3")])
def test_one_of_the_runs_announced_together_is_sent(entries, suspects):
    """Of copies, or of suspects at one upstream, exactly one may run."""
    for entry, suspect in zip(entries, suspects, strict=True):
        entry.begin("key", PROCESSES[0], {suspect}, 0.0, is_alone=True)
    deliver(entries)
    assert [entry.may_run("key") for entry in entries].count(True) == 1


def test_shared_run_goes_before_one_that_has_to_be_alone(entries):
    """A request that has to be alone yields to one that is sent anyway."""
    entries[0].begin("key", PROCESSES[0], {"r1"}, 0.0)
    entries[1].begin("key", PROCESSES[0], {"r2"}, 0.0, is_alone=True)
    deliver(entries)
    assert entries[0].may_run("key")
    assert not entries[1].may_run("key")


def test_run_ends_when_its_answer_outlasts_the_onset(entries):
    """A process is no longer avoided once its suspect has been answering."""
    entries[0].begin("key", PROCESSES[0], {"r1"}, 0.0)
    entries[0].record_first_byte("key", 0.5)
    deliver(entries, 0.5)
    assert PROCESSES[0] in entries[1].processes
    deliver(entries, 0.5 + CRASH_ONSET_S)
    assert not any(entry.processes for entry in entries)


def test_runs_of_an_entry_that_is_gone_are_forgotten(entries):
    """A lost notice, or an entry that ends, blocks no upstream for long."""
    for number in range(2):
        entries[number].begin("key", PROCESSES[number], {"r1"}, 0.0)
    deliver(entries)
    entries[2].forget_entry("entry-0")
    assert entries[2].processes == {PROCESSES[1]}
    select(entries[2], Isolation.PREFERRED, now_s=ISOLATED_RUN_EXPIRY_S)
    assert entries[2].is_idle


def test_last_upstream_can_be_left_to_others(entries):
    """Suspects wait while one upstream is left that they must not use."""
    last, entry = PROCESSES[:1], entries[0]
    assert select(entry, Isolation.NONE, processes=last, may_use_last=False) == last
    for isolation in (Isolation.PREFERRED, Isolation.REQUIRED):
        assert select(entry, isolation, "r1", processes=last) == last
        assert not select(entry, isolation, "r1", processes=last, may_use_last=False)
