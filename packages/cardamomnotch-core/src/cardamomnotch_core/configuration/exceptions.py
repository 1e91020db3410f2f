"""Errors of the operators' configuration."""

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode


class ConfigurationError(CardamomnotchError):
    """The configuration is inconsistent or does not match its schema.

    ``problems`` holds one line for each problem.
    """

    code = ResultCode.INVALID_CONFIGURATION

    def __init__(self, problems: tuple[str, ...]) -> None:
        self.problems = problems
        super().__init__("; ".join(problems))
