"""Errors of the operators' lists."""

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode


class ConfigurationError(CardamomnotchError):
    """The lists contradict themselves or their schema.

    ``problems`` holds a line for each.
    """

    code = ResultCode.INVALID_CONFIGURATION

    def __init__(self, problems: tuple[str, ...]) -> None:
        self.problems = problems
        super().__init__("; ".join(problems))
