"""Exceptions of the relay."""

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode


class RefusalError(CardamomnotchError):
    """Refusal of a request; ``retry_after_s`` is the Retry-After time."""

    def __init__(
        self, code: ResultCode, detail: str, retry_after_s: float | None = None
    ) -> None:
        super().__init__(detail, code=code, retry_after_s=retry_after_s)
