"""What the line of a refused request tells of its cause."""

import pytest

from cardamomnotch_runtime.structured_log import secret_digest

from tests.stand_ins.platform_upstream import Hold

_BAD_KEY = "a-key-that-is-gone"


@pytest.fixture
def ended(caplog):
    """Return a function that returns the fields of the only request's line."""
    caplog.set_level("INFO")

    def find():
        (record,) = [one for one in caplog.records if one.message == "request ended"]
        return record.fields

    return find


async def test_unknown_key_is_named_by_its_digest(relay, ended, caplog):
    """Who has lost a key can be found without the key in the log."""
    assert (await relay.async_call("/read/x", key=_BAD_KEY)).status == 401
    assert ended()["key"] == secret_digest(_BAD_KEY)
    assert _BAD_KEY not in str([record.__dict__ for record in caplog.records])


async def test_unknown_route_is_named(relay, ended):
    """The line tells what no route matched."""
    assert (await relay.async_call("/nowhere/" + "x" * 200)).status == 404
    fields = ended()
    assert fields["host"] == "calls.example"
    assert fields["path"].startswith("/nowhere/xxx")
    assert len(fields["path"]) == 80


async def test_late_request_tells_what_it_was_allowed(relay, ended):
    """The caller's deadline and the route's time-out can be told apart."""
    await relay.async_add("up", lambda request: [Hold()], service="bookings")
    answer = await relay.async_call("/read/x", X_Deadline_Ms="300")
    assert answer.status == 504
    fields = ended()
    assert fields["allowed_ms"] == 300
    assert "key" not in fields
    assert "host" not in fields
