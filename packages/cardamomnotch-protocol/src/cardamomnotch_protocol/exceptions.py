"""Base exceptions of all processes."""

from .result_codes import ResultCode, describe


class CardamomnotchError(Exception):
    """Base class of all errors; carries a numbered result code.

    ``retry_after_s`` is the time after which to try again, None if unknown.
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
    """A message between processes is invalid or was not accepted."""

    code = ResultCode.MALFORMED_MESSAGE


class InternalError(CardamomnotchError):
    """A request failed for a reason that was not expected, and may have run."""

    code = ResultCode.INTERNAL_ERROR


class SchemaError(CardamomnotchError):
    """Decoded JSON or TOML does not match the class it is converted to.

    ``problems`` holds one line for each invalid, missing or unknown key.
    """

    code = ResultCode.INVALID_REQUEST

    def __init__(self, problems: tuple[str, ...]) -> None:
        self.problems = problems
        super().__init__("; ".join(problems))
