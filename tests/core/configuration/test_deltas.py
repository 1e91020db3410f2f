"""Tests of differences between configuration documents."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.configuration.const import MAX_CHANGED_PARTS
from cardamomnotch_core.configuration.deltas import (
    ChangeLog,
    apply_parts,
    exact_diff,
    message_from_changes,
)
from cardamomnotch_core.configuration.document import document_digest
from cardamomnotch_protocol.models import ConfigurationMessage

_NAMES = st.sampled_from("abcdef")
_DOCUMENTS = st.fixed_dictionaries(
    {
        "plans": st.dictionaries(_NAMES, st.integers(0, 3)).map(
            lambda limits: [
                {"name": name, "limit": limit} for name, limit in limits.items()
            ]
        ),
        "marks": st.fixed_dictionaries({"zones_out": st.lists(_NAMES)}),
    }
)


def _message(revision, document):
    return ConfigurationMessage(
        revision=revision,
        change_id=f"c{revision}",
        digest=document_digest(document),
        document=document,
    )


@given(previous=_DOCUMENTS, current=_DOCUMENTS)
def test_parts_reproduce_the_current_document(previous, current):
    """Applying the parts of a difference also restores the order of items."""
    parts = exact_diff(previous, current)
    assert parts is None or apply_parts(previous, parts) == current


@given(documents=st.lists(_DOCUMENTS, min_size=2, max_size=6), start=st.integers(0, 5))
def test_logged_changes_reproduce_the_last_document(documents, start):
    """Changes over several revisions have the digest of the last document."""
    messages = [
        _message(index + 1, document) for index, document in enumerate(documents)
    ]
    log = ChangeLog()
    for previous, current in itertools.pairwise(messages):
        log.append(previous, current)
    base = messages[start % len(messages)]
    changes = log.changes_since(base.revision, messages[-1])
    if changes is not None:
        result = message_from_changes(base, changes)
        assert document_digest(result.document) == messages[-1].digest


def test_change_of_one_item_is_one_part():
    """A change of one item is one part, whatever the size of its section."""
    plans = [{"name": f"p{index}", "limit": 1} for index in range(500)]
    previous = {"plans": plans}
    current = {"plans": [*plans[:7], {"name": "p7", "limit": 2}, *plans[8:]]}
    assert [part.name for part in exact_diff(previous, current)] == ["p7"]


def test_no_difference_where_the_whole_document_is_needed():
    """An unknown base, a new order and many changes give no difference."""
    previous = {"plans": [{"name": "a"}, {"name": "b"}]}
    reordered = {"plans": [{"name": "b"}, {"name": "a"}]}
    many = {"plans": [{"name": str(n)} for n in range(MAX_CHANGED_PARTS + 1)]}
    assert exact_diff(previous, reordered) is None
    assert exact_diff(previous, many) is None
    log = ChangeLog()
    log.append(_message(3, previous), _message(4, {"plans": []}))
    assert log.changes_since(2, _message(4, {"plans": []})) is None
    changes = log.changes_since(3, _message(4, {"plans": []}))
    assert message_from_changes(_message(2, previous), changes) is None
