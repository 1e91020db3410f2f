"""Tests of the signed tokens that bind a session to a version."""

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
    "verifier_keys",
    [("old",), ("new", "old")],
    ids=["same keys", "during key rotation"],
)
def test_another_entry_verifies_the_token(verifier_keys):
    """Entries share only the keys, also while these are rotated."""
    token = SessionSigner(("old",)).sign(_BINDING)
    assert SessionSigner(verifier_keys).verify(token) == _BINDING


def test_first_key_signs():
    """After a rotation new tokens can be verified without the old key."""
    token = SessionSigner(("new", "old")).sign(_BINDING)
    assert SessionSigner(("new",)).verify(token) == _BINDING


@pytest.mark.parametrize(
    "token",
    [
        pytest.param("", id="empty"),
        pytest.param("x" * 5_000, id="too long"),
        pytest.param("ž.ž", id="not ASCII"),
        pytest.param("a.b.c", id="not base64"),
        pytest.param(SessionSigner(("other",)).sign(_BINDING), id="unknown key"),
    ],
)
def test_invalid_token_is_refused(token):
    """A token that none of the keys has signed raises SessionError."""
    with pytest.raises(SessionError):
        SessionSigner(("key",)).verify(token)


@given(index=st.integers(0, 200), char=st.sampled_from("Aa0-_."))
def test_modified_token_has_no_other_binding(index, char):
    """A token with a changed character is refused or binds the same."""
    signer = SessionSigner(("key",))
    token = signer.sign(_BINDING)
    index %= len(token)
    modified = token[:index] + char + token[index + 1 :]
    try:
        assert signer.verify(modified) == _BINDING
    except SessionError:
        assert modified != token
