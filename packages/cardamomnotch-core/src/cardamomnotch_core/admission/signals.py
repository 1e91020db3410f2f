"""What the end of an upstream call says about the upstream."""

from typing import Final

from cardamomnotch_protocol.result_codes import ResultCode

from .models import UpstreamSignal

_SIGNS: Final = {
    ResultCode.OK: UpstreamSignal.COMPLETED,
    ResultCode.UPSTREAM_FULL: UpstreamSignal.OVERLOADED,
    ResultCode.UPSTREAM_FAILED: UpstreamSignal.OVERLOADED,
    ResultCode.UPSTREAM_SILENT: UpstreamSignal.OVERLOADED,
    ResultCode.UPSTREAM_UNREACHABLE: UpstreamSignal.RESTARTED,
}


def signal_from_call_end(code: ResultCode, *, connection_lost: bool) -> UpstreamSignal:
    """Return the sign in a call that ended with ``code``."""
    if connection_lost:
        return UpstreamSignal.RESTARTED
    return _SIGNS.get(code, UpstreamSignal.NONE)
