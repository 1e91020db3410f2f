"""Errors of the platform's services."""

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode


class PlatformError(CardamomnotchError):
    """A platform service failed."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreError(PlatformError):
    """The store could not be asked; a write may have taken effect."""


class CompactedError(StoreError):
    """The store no longer knows the changes asked for."""


class LeaseExpiredError(StoreError):
    """The lease that a write hangs on has lapsed; nothing was written."""


class StoreConflictError(StoreError):
    """Another process wrote first."""

    code = ResultCode.STORE_CONFLICT


class VmListError(PlatformError):
    """The VM list could not be read."""

    code = ResultCode.VM_LIST_UNAVAILABLE
