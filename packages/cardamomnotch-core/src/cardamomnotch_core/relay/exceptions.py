"""Reasons for which a request is not sent to any upstream."""

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode


class RefusalError(CardamomnotchError):
    """A request that does not run; ``retry_after_s`` says when to come back."""

    def __init__(
        self, code: ResultCode, detail: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(detail, code=code, retry_after_s=retry_after_s)
