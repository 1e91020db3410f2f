"""Operators who change the lists at the same time."""

import asyncio

import attrs
import pytest

from cardamomnotch_core.configuration.changes import OutOfServiceChange
from cardamomnotch_core.configuration.models import Configuration, Plan
from cardamomnotch_core.configuration.out_of_service import OutOfServiceKind
from cardamomnotch_entry.configuration.rebase import RebaseConflictError, async_rebase
from cardamomnotch_entry.configuration.writer import (
    async_apply_change,
    async_edit_configuration,
    async_read_configuration_record,
)
from cardamomnotch_platform.store.client import StoreClient
from cardamomnotch_platform.store.configuration import RevisionConflictError

from tests.stand_ins.store import StoreStandIn

_RACES = 50
_BASE = Configuration(plans=(Plan(name="first"), Plan(name="second")))


@pytest.fixture
async def stand_in():
    """Return the store's stand-in."""
    return StoreStandIn()


@pytest.fixture
async def store(stand_in, serve_app, http_session):
    """Return a client of a store that holds two plans."""
    client = StoreClient(http_session, await serve_app(stand_in.create_app()))
    await async_edit_configuration(client, lambda _: _BASE)
    return client


def _with_limit(lists, name, limit):
    plans = tuple(
        attrs.evolve(plan, concurrent_requests=limit) if plan.name == name else plan
        for plan in lists.plans
    )
    return attrs.evolve(lists, plans=plans)


async def _async_limits(store):
    record = await async_read_configuration_record(store)
    return {plan.name: plan.concurrent_requests for plan in record.configuration.plans}


async def test_racing_operators_lose_no_accepted_change(store, stand_in):
    """Two files and a mark race 50 times; what was accepted is there."""
    for race in range(1, _RACES + 1):
        base = (await async_read_configuration_record(store)).configuration
        stand_in.faults.active["lose_answer"] = race % 2
        mark = OutOfServiceChange(kind=OutOfServiceKind.VM, name=f"vm-{race}", out=True)
        revisions = await asyncio.gather(
            async_rebase(store, _with_limit(base, "first", race), base),
            async_rebase(store, _with_limit(base, "second", race), base),
            async_apply_change(store, mark),
        )
        assert len(set(revisions)) == 3
        assert await _async_limits(store) == {"first": race, "second": race}
    record = await async_read_configuration_record(store)
    assert len(record.configuration.marks.vms_out) == _RACES
    assert record.revision == 1 + 3 * _RACES


async def test_loser_is_told_the_winner_and_what_differs(store):
    """Of two files based on one revision, the second names what it missed."""
    await async_edit_configuration(
        store, lambda lists: _with_limit(lists, "first", 7), 1
    )
    with pytest.raises(RevisionConflictError, match=r"revision 2 .*plans\[first\]"):
        await async_edit_configuration(
            store, lambda _: _with_limit(_BASE, "second", 8), 1
        )
    assert await _async_limits(store) == {"first": 7, "second": 0}


async def test_rebase_refuses_what_overlaps(store):
    """A change of the same entry is refused, and names the entry."""
    await async_edit_configuration(store, lambda lists: _with_limit(lists, "first", 7))
    with pytest.raises(RebaseConflictError, match=r"plans\[first\]"):
        await async_rebase(store, _with_limit(_BASE, "first", 8), _BASE)
    assert await _async_limits(store) == {"first": 7, "second": 0}


async def test_writer_finds_its_change_under_later_ones(store, stand_in, monkeypatch):
    """An accepted change whose answer was lost is not reported as refused."""
    stand_in.faults.active["lose_answer"] = 1
    put_if = store.async_put_if
    other = StoreClient(store._session, store._url)

    async def put_and_be_overtaken(*arguments, **options):
        try:
            return await put_if(*arguments, **options)
        finally:
            monkeypatch.setattr(store, "async_put_if", put_if)
            await async_edit_configuration(
                other, lambda lists: _with_limit(lists, "second", 3)
            )

    monkeypatch.setattr(store, "async_put_if", put_and_be_overtaken)
    revision = await async_edit_configuration(
        store, lambda lists: _with_limit(lists, "first", 2)
    )
    assert revision == 2
    assert await _async_limits(store) == {"first": 2, "second": 3}


async def test_restored_store_is_lifted_above_what_processes_act_on(store):
    """The same lists get a revision above the one that is named, once."""
    revision = await async_edit_configuration(store, lambda lists: lists, above=9)
    assert revision == 10
    assert await async_edit_configuration(store, lambda lists: lists, above=9) == 10
