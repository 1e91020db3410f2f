"""Concurrent changes of the configuration by several operators."""

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

_RACE_COUNT = 50
_INITIAL_CONFIGURATION = Configuration(plans=(Plan(name="first"), Plan(name="second")))


@pytest.fixture
async def stand_in():
    """Return the stand-in of the store."""
    return StoreStandIn()


@pytest.fixture
async def store(stand_in, serve_app, http_session):
    """Return a client of a store with a configuration of two plans."""
    client = StoreClient(http_session, await serve_app(stand_in.create_app()))
    await async_edit_configuration(client, lambda _: _INITIAL_CONFIGURATION)
    return client


def _with_concurrency_limit(configuration, name, limit):
    plans = tuple(
        attrs.evolve(plan, concurrent_requests=limit) if plan.name == name else plan
        for plan in configuration.plans
    )
    return attrs.evolve(configuration, plans=plans)


async def _async_read_limits(store):
    record = await async_read_configuration_record(store)
    return {plan.name: plan.concurrent_requests for plan in record.configuration.plans}


async def test_concurrent_operators_lose_no_accepted_change(store, stand_in):
    """Two file edits and a VM change race 50 times; all changes are kept."""
    for race in range(1, _RACE_COUNT + 1):
        base = (await async_read_configuration_record(store)).configuration
        stand_in.faults.active["lose_answer"] = race % 2
        vm_out_change = OutOfServiceChange(
            kind=OutOfServiceKind.VM, name=f"vm-{race}", out=True
        )
        revisions = await asyncio.gather(
            async_rebase(store, _with_concurrency_limit(base, "first", race), base),
            async_rebase(store, _with_concurrency_limit(base, "second", race), base),
            async_apply_change(store, vm_out_change),
        )
        assert len(set(revisions)) == 3
        assert await _async_read_limits(store) == {"first": race, "second": race}
    record = await async_read_configuration_record(store)
    assert len(record.configuration.marks.vms_out) == _RACE_COUNT
    assert record.revision == 1 + 3 * _RACE_COUNT


async def test_conflict_names_the_newer_revision_and_its_differences(store):
    """The second edit based on one revision fails and names what changed."""
    await async_edit_configuration(
        store,
        lambda configuration: _with_concurrency_limit(configuration, "first", 7),
        1,
    )
    with pytest.raises(RevisionConflictError, match=r"revision 2 .*plans\[first\]"):
        await async_edit_configuration(
            store,
            lambda _: _with_concurrency_limit(_INITIAL_CONFIGURATION, "second", 8),
            1,
        )
    assert await _async_read_limits(store) == {"first": 7, "second": 0}


async def test_rebase_refuses_overlapping_changes(store):
    """A rebase onto a change of the same item fails and names the item."""
    await async_edit_configuration(
        store, lambda configuration: _with_concurrency_limit(configuration, "first", 7)
    )
    with pytest.raises(RebaseConflictError, match=r"plans\[first\]"):
        await async_rebase(
            store,
            _with_concurrency_limit(_INITIAL_CONFIGURATION, "first", 8),
            _INITIAL_CONFIGURATION,
        )
    assert await _async_read_limits(store) == {"first": 7, "second": 0}


async def test_accepted_change_is_recognized_below_later_changes(
    store, stand_in, monkeypatch
):
    """An accepted change whose reply was lost is not reported as refused."""
    stand_in.faults.active["lose_answer"] = 1
    put_if = store.async_put_if
    other_client = StoreClient(store._session, store._url)

    async def put_then_write_another_change(*arguments, **options):
        try:
            return await put_if(*arguments, **options)
        finally:
            monkeypatch.setattr(store, "async_put_if", put_if)
            await async_edit_configuration(
                other_client,
                lambda configuration: _with_concurrency_limit(
                    configuration, "second", 3
                ),
            )

    monkeypatch.setattr(store, "async_put_if", put_then_write_another_change)
    revision = await async_edit_configuration(
        store, lambda configuration: _with_concurrency_limit(configuration, "first", 2)
    )
    assert revision == 2
    assert await _async_read_limits(store) == {"first": 2, "second": 3}


async def test_edit_raises_the_revision_of_a_restored_store(store):
    """An unchanged configuration gets a revision above ``above``, once."""
    revision = await async_edit_configuration(
        store, lambda configuration: configuration, above=9
    )
    assert revision == 10
    assert (
        await async_edit_configuration(
            store, lambda configuration: configuration, above=9
        )
        == 10
    )
