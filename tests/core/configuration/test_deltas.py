"""Documents as changed parts."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.configuration.const import MAX_CHANGED_PARTS
from cardamomnotch_core.configuration.deltas import (
    ChangeLog,
    changed_parts,
    message_from_changes,
    with_parts,
)
from cardamomnotch_core.configuration.document import document_digest
from cardamomnotch_protocol.models import ConfigurationMessage

_NAMES = st.sampled_from("abcdef")
_DOCUMENTS = st.fixed_dictionaries(
    {
        "plans": st.dictionaries(_NAMES, st.integers(0, 3)).map(
            lambda items: [
                {"name": name, "limit": limit} for name, limit in items.items()
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


@given(former=_DOCUMENTS, current=_DOCUMENTS)
def test_parts_lead_to_the_very_document(former, current):
    """Parts, if there are any, give the document in the same order."""
    parts = changed_parts(former, current)
    assert parts is None or with_parts(former, parts) == current


@given(documents=st.lists(_DOCUMENTS, min_size=2, max_size=6), start=st.integers(0, 5))
def test_log_leads_from_any_revision_it_knows(documents, start):
    """Changes over several revisions have the digest of the last document."""
    messages = [_message(index + 1, item) for index, item in enumerate(documents)]
    log = ChangeLog()
    for former, current in itertools.pairwise(messages):
        log.note(former, current)
    known = messages[start % len(messages)]
    changes = log.changes_since(known.revision, messages[-1])
    if changes is not None:
        whole = message_from_changes(known, changes)
        assert document_digest(whole.document) == messages[-1].digest


def test_one_entry_travels_alone():
    """A change of one entry is one part, whatever the size of the list."""
    plans = [{"name": f"p{index}", "limit": 1} for index in range(500)]
    former = {"plans": plans}
    current = {"plans": [*plans[:7], {"name": "p7", "limit": 2}, *plans[8:]]}
    assert [part.name for part in changed_parts(former, current)] == ["p7"]


def test_whole_document_when_in_doubt():
    """An unknown revision, a new order and many changes are sent whole."""
    former = {"plans": [{"name": "a"}, {"name": "b"}]}
    swapped = {"plans": [{"name": "b"}, {"name": "a"}]}
    many = {"plans": [{"name": str(n)} for n in range(MAX_CHANGED_PARTS + 1)]}
    assert changed_parts(former, swapped) is None
    assert changed_parts(former, many) is None
    log = ChangeLog()
    log.note(_message(3, former), _message(4, {"plans": []}))
    assert log.changes_since(2, _message(4, {"plans": []})) is None
    changes = log.changes_since(3, _message(4, {"plans": []}))
    assert message_from_changes(_message(2, former), changes) is None
