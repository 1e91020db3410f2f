"""Test that the documented result codes match the code."""

import re
from pathlib import Path

from cardamomnotch_protocol.result_codes import ResultCode, describe

_PAGE = Path(__file__).parents[2] / "docs" / "result-codes.md"
_ROW = re.compile(r"^\| (\d+) \| `(\w+)` \| (\d+) \| (yes|no) \| (.+) \|$", re.M)


def test_table_matches_the_codes():
    """The table lists every code with its HTTP status and summary."""
    rows = set(_ROW.findall(_PAGE.read_text(encoding="utf-8")))
    expected = {
        (
            str(int(code)),
            code.name.lower(),
            str(int(describe(code).http_status)),
            "yes" if describe(code).retryable else "no",
            describe(code).summary,
        )
        for code in ResultCode
    }
    assert rows == expected
