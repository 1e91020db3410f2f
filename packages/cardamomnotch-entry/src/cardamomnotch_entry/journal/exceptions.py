"""Errors of the journal."""

from cardamomnotch_core.journal.const import RETRY_AFTER_S
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode


class JournalUnavailableError(CardamomnotchError):
    """The owner of the partition, or the store, cannot be reached."""

    code = ResultCode.JOURNAL_UNAVAILABLE

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail, retry_after_s=RETRY_AFTER_S)
