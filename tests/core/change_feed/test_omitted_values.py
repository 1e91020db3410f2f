"""Values that are read from the store one by one."""

import pytest

from cardamomnotch_core.change_feed.models import StoreChange
from cardamomnotch_core.change_feed.omitted_values import OmittedValues

from tests.fixtures.positions import at


@pytest.fixture
def values():
    """Return values of which one is to be read, of position 5."""
    values = OmittedValues()
    change = StoreChange(key="key", position=at(5), is_omitted=True)
    assert values.record_changes([change]) == ([], ["key"])
    return values


@pytest.mark.parametrize(
    ("newer", "read", "is_used", "is_wanted"),
    [
        (None, 5, True, False),
        # The change was announced with a later revision than its own.
        (None, 4, True, False),
        (StoreChange(key="key", position=at(7), is_omitted=True), 5, True, True),
        (StoreChange(key="key", position=at(7), is_omitted=True), 7, True, False),
        (StoreChange(key="key", position=at(7), value=b"v"), 5, False, False),
        (StoreChange(key="key", position=at(7)), 5, False, False),
    ],
    ids=[
        "as announced",
        "older than announced",
        "changed again, not read",
        "changed again, read",
        "written again with its value",
        "deleted",
    ],
)
def test_older_value_replaces_a_newer_one(values, newer, read, is_used, is_wanted):
    """A value is used unless a newer one is known; it is read until it is new."""
    known = values.position("key")
    if newer is not None:
        complete, added = values.record_changes([newer])
        assert complete == ([] if newer.is_omitted else [newer])
        assert not added
    assert values.record_read("key", known, at(read)) == is_used
    assert ("key" in values) == is_wanted


def test_omitted_value_is_read_although_the_next_change_has_it():
    """A change with its value behind the omitted one needs no read."""
    values = OmittedValues()
    omitted = StoreChange(key="key", position=at(5), is_omitted=True)
    complete = StoreChange(key="key", position=at(6), value=b"v")
    assert values.record_changes([omitted, complete]) == ([complete], [])
    assert not values


def omitted(number):
    """Return a change that leaves the value out."""
    return StoreChange(key="key", position=at(number), is_omitted=True)


def written(number):
    """Return a change with its value."""
    return StoreChange(key="key", position=at(number), value=b"v")


def deleted(number):
    """Return a deletion."""
    return StoreChange(key="key", position=at(number))


@pytest.mark.parametrize(
    ("changes", "is_wanted"),
    [
        ([omitted(7), written(5)], True),
        ([omitted(7), deleted(5)], True),
        ([omitted(7), written(5), written(9)], False),
        ([omitted(7), written(5), deleted(9)], False),
        ([omitted(7), written(5), written(6)], True),
        # Another source knows the same write by its exact position.
        ([omitted(7), omitted(4), written(5)], True),
        ([omitted(7), written(7)], False),
    ],
    ids=[
        "small, large",
        "deleted, large",
        "small, large, small",
        "small, large, deleted",
        "small, small, large",
        "late and exact position",
        "same position",
    ],
)
@pytest.mark.parametrize("is_split", [False, True], ids=["one message", "several"])
def test_earlier_change_in_a_message_hides_an_omitted_value(
    changes, is_wanted, is_split
):
    """An omitted value is read unless a later change has its value."""
    values = OmittedValues()
    messages = [[change] for change in changes] if is_split else [changes]
    complete = [
        change for message in messages for change in values.record_changes(message)[0]
    ]
    assert complete == [change for change in changes if not change.is_omitted]
    assert ("key" in values) == is_wanted


@pytest.mark.parametrize("read", [at(7), at(6), None], ids=["exact", "older", "gone"])
def test_value_read_before_earlier_changes_arrive_is_replaced_by_them(read):
    """Changes that are older than a value that was read are not applied."""
    values = OmittedValues()
    values.record_changes([omitted(7)])
    known = values.position("key")
    assert values.record_read("key", known, read or known)
    for change in (written(5), deleted(6), omitted(6)):
        assert values.record_changes([change]) == ([], [])
    assert values.record_changes([written(8)]) == ([written(8)], [])


def test_slow_read_replaces_a_change_that_arrived_meanwhile():
    """A read that was sent before two changes of its key arrived is not used."""
    values = OmittedValues()
    values.record_changes([omitted(5)])
    known = values.position("key")
    values.record_changes([deleted(9)])
    values.forget_until(at(9), {"key"})
    values.record_changes([omitted(11)])
    assert not values.record_read("key", known, at(6))
    assert "key" in values


def test_slow_read_replaces_what_was_read_with_everything_else():
    """A read that was sent before everything was read anew is not used."""
    values = OmittedValues()
    values.record_changes([omitted(9)])
    known = values.position("key")
    # The store has come back from a copy, and has changed the key again.
    values.record_all_read(at(4, era=2))
    assert "key" not in values
    values.forget_until(at(4, era=2), {"key"})
    values.record_changes(
        [StoreChange(key="key", position=at(5, era=2), is_omitted=True)]
    )
    assert not values.record_read("key", known, at(9))
    assert values.position("key") == at(5, era=2)


def test_keys_that_were_read_once_are_remembered_for_good():
    """A key is forgotten once no older change of it can arrive."""
    values = OmittedValues()
    for number in range(10, 20):
        key = f"report-{number}"
        change = StoreChange(key=key, position=at(number), is_omitted=True)
        values.record_changes([change])
        values.record_read(key, at(number), at(number))
    values.forget_until(at(14), {"report-11"})
    assert values.remembered_keys == {
        "report-11",
        *(f"report-{number}" for number in range(15, 20)),
    }
