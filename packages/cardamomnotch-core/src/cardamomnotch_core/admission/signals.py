"""Signals about the upstream's capacity from the results of its calls."""

from typing import Final

from cardamomnotch_protocol.result_codes import ResultCode

from .models import UpstreamSignal

_SIGNALS: Final = {
    ResultCode.OK: UpstreamSignal.COMPLETED,
    ResultCode.UPSTREAM_FULL: UpstreamSignal.OVERLOADED,
    ResultCode.UPSTREAM_FAILED: UpstreamSignal.OVERLOADED,
    ResultCode.UPSTREAM_SILENT: UpstreamSignal.OVERLOADED,
    ResultCode.UPSTREAM_UNREACHABLE: UpstreamSignal.RESTARTED,
}


def signal_from_call_end(code: ResultCode, *, connection_lost: bool) -> UpstreamSignal:
    """Return the signal of a call that ended with ``code``.

    A lost connection is taken as a restart of the upstream.
    """
    if connection_lost:
        return UpstreamSignal.RESTARTED
    return _SIGNALS.get(code, UpstreamSignal.NONE)
