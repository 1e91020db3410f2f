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
