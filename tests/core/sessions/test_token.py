"""Tokens that bind a session to its version."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cardamomnotch_core.sessions.token import (
    SessionBinding,
    SessionError,
    SessionSigner,
)

_BINDING = SessionBinding(workspace="crates", version="drafter/v1")


@pytest.mark.parametrize(
    "reader_keys", [("old",), ("new", "old")], ids=["same", "during a change"]
)
def test_another_entry_reads_the_token(reader_keys):
    """Nothing but a key is needed, also while the key is changed."""
    token = SessionSigner(("old",)).write(_BINDING)
    assert SessionSigner(reader_keys).read(token) == _BINDING


def test_first_key_signs():
    """After the change the former key is no longer needed."""
    token = SessionSigner(("new", "old")).write(_BINDING)
    assert SessionSigner(("new",)).read(token) == _BINDING


@pytest.mark.parametrize(
    "token",
    [
        pytest.param("", id="empty"),
        pytest.param("x" * 5_000, id="too long"),
        pytest.param("ž.ž", id="not ASCII"),
        pytest.param("a.b.c", id="not base64"),
        pytest.param(SessionSigner(("other",)).write(_BINDING), id="foreign key"),
    ],
)
def test_foreign_token_is_refused(token):
    """What no entry has written is refused with its number."""
    with pytest.raises(SessionError):
        SessionSigner(("key",)).read(token)


@given(index=st.integers(0, 200), char=st.sampled_from("Aa0-_."))
def test_changed_token_never_binds_elsewhere(index, char):
    """A token with one character changed is refused, or says the same."""
    signer = SessionSigner(("key",))
    token = signer.write(_BINDING)
    index %= len(token)
    changed = token[:index] + char + token[index + 1 :]
    try:
        assert signer.read(changed) == _BINDING
    except SessionError:
        assert changed != token
