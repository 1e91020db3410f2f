"""Errors that the clients of the platform's services raise."""

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode


class PlatformError(CardamomnotchError):
    """A call to a platform service failed."""

    code = ResultCode.STORE_UNAVAILABLE


class StoreError(PlatformError):
    """A call to the store failed; a write may have taken effect."""


class CompactedError(StoreError):
    """The store has compacted the requested changes; read everything again."""


class StoreRestoredError(CompactedError):
    """The store has come back from a copy; revisions of earlier calls are void."""


class StoreEraError(StoreError):
    """A reply states no usable era of the store, or one that has ended."""

    code = ResultCode.STORE_ERA_INVALID


class ReplyTooLargeError(StoreError):
    """A reply of the store exceeds the size that was asked for."""


class LeaseExpiredError(StoreError):
    """The lease of a write has expired; nothing was written."""


class StoreConflictError(StoreError):
    """Another process has written the key first."""

    code = ResultCode.STORE_CONFLICT


class VmListError(PlatformError):
    """The VM list could not be read."""

    code = ResultCode.VM_LIST_UNAVAILABLE
