"""What the end of an upstream call says about the upstream."""

from typing import Final

from cardamomnotch_protocol.result_codes import ResultCode

from .models import Sign

_SIGNS: Final = {
    ResultCode.OK: Sign.COMPLETED,
    ResultCode.UPSTREAM_FULL: Sign.OVERLOADED,
    ResultCode.UPSTREAM_FAILED: Sign.OVERLOADED,
    ResultCode.UPSTREAM_SILENT: Sign.OVERLOADED,
    ResultCode.UPSTREAM_UNREACHABLE: Sign.RESTARTED,
}


def sign_of_end(code: ResultCode, *, connection_lost: bool) -> Sign:
    """Return the sign in a call that ended with ``code``."""
    if connection_lost:
        return Sign.RESTARTED
    return _SIGNS.get(code, Sign.NONE)
