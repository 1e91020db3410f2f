"""Errors of the relay."""

from aiohttp import web

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from .models import AttemptOutcome


class AttemptError(CardamomnotchError):
    """An attempt that got no complete response."""


class UpstreamUnreachableError(AttemptError):
    """The connection to the upstream failed, so the request was not sent.

    ``is_refused`` is whether nothing listens at the upstream's address.
    """

    code = ResultCode.UPSTREAM_UNREACHABLE

    def __init__(self, detail: str, *, is_refused: bool = False) -> None:
        super().__init__(detail)
        self.is_refused = is_refused


class ResponseLostError(AttemptError):
    """The request may have been sent, but no valid response arrived."""

    code = ResultCode.UPSTREAM_FAILED
    outcome = AttemptOutcome.LOST


class InvalidResponseError(ResponseLostError):
    """The upstream, which is running, sent a response that cannot be passed on."""

    outcome = AttemptOutcome.INVALID


class ResponseTooLargeError(ResponseLostError):
    """The response exceeds a size limit, and may have no end."""

    code = ResultCode.UPSTREAM_RESPONSE_TOO_LARGE


class ResponseTruncatedError(CardamomnotchError):
    """A response whose sending to the caller has begun cannot be completed."""

    code = ResultCode.SHORT_ANSWER


class UpstreamFailureError(CardamomnotchError):
    """The last attempt's error response, which the caller gets unchanged."""

    code = ResultCode.UPSTREAM_FAILED

    def __init__(self, response: web.Response) -> None:
        super().__init__("the upstream answered with an error status")
        self.response = response
