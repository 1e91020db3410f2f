"""Tests of routes and API keys, which need a confirmed routes document."""

import pytest

from cardamomnotch_core.relay.exceptions import RefusalError
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_core.relay.store_changes.routes import RouteTable
from cardamomnotch_protocol.result_codes import ResultCode

MAX_AGE_S = 3.5


@pytest.fixture
def table(make_document, make_route):
    """Return a table of nested and public routes, confirmed at second 100."""
    table = RouteTable(MAX_AGE_S)
    routes = [
        make_route("outer", path_prefix="/a/"),
        make_route("inner", path_prefix="/a/b/"),
        make_route("open", path_prefix="/open/", is_public=True),
    ]
    table.apply(make_document(routes=routes))
    table.confirm(100.0)
    return table


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("calls.example", "/a/x", "outer"),
        ("calls.example", "/a/b/x", "inner"),
        ("CALLS.example:8080", "/a/bx", "outer"),
    ],
)
def test_longest_path_prefix_of_the_host_matches(table, host, path, name):
    """A request gets the route with the longest path prefix of its host."""
    assert table.find(host, path, 100.0).name == name


class CountingPath(str):
    """A path that counts how often a part of it is compared."""

    compared = 0

    def __getitem__(self, item):
        """Return a part, and count it."""
        CountingPath.compared += 1
        return super().__getitem__(item)

    def startswith(self, *arguments):
        """Compare the beginning, and count it."""
        CountingPath.compared += 1
        return super().startswith(*arguments)


def test_finding_a_route_does_not_grow_with_the_routes(make_document, make_route):
    """A request compares one prefix for each length, however many routes."""
    table = RouteTable(MAX_AGE_S)
    routes = [
        make_route(f"r{number}", path_prefix=f"/{number:05d}/" + "a" * (number % 7))
        for number in range(20_000)
    ]
    table.apply(make_document(routes=routes))
    table.confirm(100.0)
    CountingPath.compared = 0
    for number in range(0, 20_000, 1_000):
        path = CountingPath(f"/{number:05d}/aaaaaaa")
        assert table.find("calls.example", path, 100.0).name == f"r{number}"
    assert CountingPath.compared <= 20 * 7


@pytest.mark.parametrize(
    ("host", "path"),
    [("other.example", "/a/x"), ("calls.example", "/a"), ("calls.example", "/")],
)
def test_unknown_route(table, host, path):
    """A path without a route is unknown while the document is confirmed."""
    with pytest.raises(RefusalError) as error:
        table.find(host, path, 103.5)
    assert error.value.code is ResultCode.UNKNOWN_ROUTE


@pytest.mark.parametrize("key", ["key-one", "key-other", None])
def test_outdated_document_decides_no_key(table, key):
    """A document past its maximum age neither accepts nor rejects a key."""
    route = table.find("calls.example", "/a/x", 103.6)
    with pytest.raises(RefusalError) as error:
        table.authorize(route, key, 103.6)
    assert error.value.code is ResultCode.NOT_READY
    assert error.value.retry_after_s


@pytest.mark.parametrize(
    ("path", "key"),
    [("/none/x", "key-one"), ("/a/x", "key-other"), ("/a/x", None)],
    ids=["unknown route", "unknown key", "missing key"],
)
def test_outdated_document_refuses_what_a_newer_one_may_have(table, path, key):
    """What the document lacks is refused as unknown only while it must be the newest.

    Keys that it has are accepted for longer.
    """
    table.set_max_age(MAX_AGE_S, 2.0)

    def decide(key, path, now_s):
        return table.authorize(table.find("calls.example", path, now_s), key, now_s)

    for now_s, is_outdated in ((101.9, False), (102.1, True)):
        with pytest.raises(RefusalError) as error:
            decide(key, path, now_s)
        assert (error.value.code is ResultCode.NOT_READY) == is_outdated
        assert decide("key-one", "/a/x", now_s) is not None


def test_public_route_needs_no_key(table):
    """A public route accepts a caller without a key."""
    route = table.find("calls.example", "/open/x", 100.0)
    assert table.authorize(route, None, 200.0) is None


@pytest.mark.parametrize(
    ("key", "code"),
    [("key-other", ResultCode.UNKNOWN_KEY), (None, ResultCode.MISSING_KEY)],
)
def test_wrong_key(table, key, code):
    """Unknown and missing keys are refused with different codes."""
    route = table.find("calls.example", "/a/x", 100.0)
    with pytest.raises(RefusalError) as error:
        table.authorize(route, key, 100.0)
    assert error.value.code is code


def test_versions_only_go_forward(table, make_document):
    """A document with an older or equal version is ignored."""
    assert table.apply(make_document(5, keys=("key-five",)))
    assert not table.apply(make_document(4))
    assert not table.apply(make_document(5))
    assert table.version == 5


def test_confirmation_counts_from_the_query(table):
    """A late answer to an earlier query does not renew the confirmation."""
    table.confirm(99.0)
    assert table.confirmed_at_s == 100.0
    assert not table.is_fresh(103.6)


@pytest.mark.parametrize("activation_ms", [100.0, 500.0, 2_000.0, 13_000.0])
def test_refusal_outlives_the_activation_time(activation_ms):
    """No age up to which routes are refused reaches the time to be in force."""
    limits = RelayLimits(activation_ms=activation_ms)
    assert 0 < limits.refusal_max_age_s < activation_ms / 1000
    assert 0 < limits.feed_max_age_s < limits.refusal_max_age_s
    assert limits.refusal_max_age_s <= limits.document_max_age_s
