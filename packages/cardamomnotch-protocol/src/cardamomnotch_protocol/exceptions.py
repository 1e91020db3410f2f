"""Exception tree shared by every process."""

from .result_codes import ResultCode, describe


class CardamomnotchError(Exception):
    """Base of all errors, with a numbered result code.

    ``retry_after_s`` says when trying again makes sense, if ever.
    """

    code: ResultCode = ResultCode.INVALID_REQUEST

    def __init__(
        self,
        detail: str = "",
        *,
        code: ResultCode | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        if code is not None:
            self.code = code
        self.detail = detail or describe(self.code).summary
        self.retry_after_s = retry_after_s
        super().__init__(f"[{int(self.code)}] {self.detail}")


class ProtocolError(CardamomnotchError):
    """An inner message that cannot be read."""

    code = ResultCode.MALFORMED_MESSAGE


class SchemaError(CardamomnotchError):
    """Plain data that does not fit its class.

    ``problems`` holds one line for each wrong or unknown key.
    """

    code = ResultCode.INVALID_REQUEST

    def __init__(self, problems: tuple[str, ...]) -> None:
        self.problems = problems
        super().__init__("; ".join(problems))
