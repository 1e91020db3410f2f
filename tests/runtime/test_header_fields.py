"""Header fields that cannot be passed on."""

import pytest
from aiohttp.http_writer import _py_serialize_headers, _serialize_headers
from multidict import CIMultiDict

from cardamomnotch_runtime.header_fields import HeaderFault, find_invalid_header


@pytest.mark.parametrize("serialize", [_serialize_headers, _py_serialize_headers])
def test_field_is_refused_by_the_server_alone(serialize):
    """Every field that the server refuses to write is found before."""
    for code in range(0x100):
        for headers in ({"X-Note": f"a{chr(code)}b"}, {f"X{chr(code)}": "a"}):
            try:
                serialize("HTTP/1.1 200 OK", CIMultiDict(headers))
            except ValueError:
                assert find_invalid_header(headers) is not None, headers


@pytest.mark.parametrize("value", ["", "a\tb", "a b", "caf\u00e9", "a\udcffb", "\x85"])
def test_value_that_can_be_passed_on(value):
    """Tabs and characters beyond ASCII are allowed."""
    assert find_invalid_header({"X-Note": value}) is None


@pytest.mark.parametrize(
    ("name", "value", "fault"),
    [
        ("X-Note", "a\nb", HeaderFault.CONTROL_CHARACTER),
        ("X-Note", "a\x00", HeaderFault.CONTROL_CHARACTER),
        ("X Note", "a", HeaderFault.INVALID_NAME),
        ("", "a", HeaderFault.INVALID_NAME),
        ("X-\u00e9", "a", HeaderFault.INVALID_NAME),
        ("X:", "a", HeaderFault.INVALID_NAME),
    ],
)
def test_fault_is_named_without_the_value(name, value, fault):
    """The description names the header and the fault."""
    invalid = find_invalid_header(CIMultiDict({"X-Sound": "a", name: value}))
    assert (invalid.name, invalid.fault) == (name, fault)
    assert str(fault) in str(invalid)


def test_long_name_is_truncated():
    """A name of any length fits into a log line."""
    assert len(find_invalid_header({"X" * 9_000: "\x01"}).name) == 80
