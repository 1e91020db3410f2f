"""Numbered results of requests, attempts and calls between processes."""

from enum import IntEnum
from http import HTTPStatus
from typing import Final

import attrs


class ResultCode(IntEnum):
    """A numbered result; the hundreds digit tells its area.

    1xx admission, 2xx plan, 3xx upstream, 4xx journal, 5xx configuration,
    6xx platform, 7xx inner protocol, 8xx the router itself.
    """

    OK = 0
    INVALID_JSON = 101
    BODY_TOO_LARGE = 102
    MISSING_KEY = 103
    UNKNOWN_KEY = 104
    DEADLINE_PASSED = 105
    INVALID_REQUEST = 106
    OVERLOADED = 107
    NOT_READY = 108
    DRAINING = 109
    CAPACITY_EXCEEDED = 110
    CALLER_GONE = 111
    INVALID_SESSION = 112
    REQUEST_TOO_SLOW = 113
    UNKNOWN_MODEL = 201
    MODEL_NOT_ALLOWED = 202
    NO_VERSION_IN_SERVICE = 203
    VERSION_WITHDRAWN = 204
    UNKNOWN_ROUTE = 205
    SERVICE_NOT_ALLOWED = 206
    QUALITY_NOT_AVAILABLE = 207
    UNKNOWN_CLASS = 208
    NO_UPSTREAM = 301
    UPSTREAM_FULL = 302
    UPSTREAM_UNREACHABLE = 303
    UPSTREAM_FAILED = 304
    SHORT_ANSWER = 305
    CROSSED_ANSWER = 306
    ZONE_OUT = 307
    VM_OUT = 308
    SIDECAR_DRAINING = 309
    INCARNATION_MISMATCH = 310
    ATTEMPT_FENCED = 311
    REQUEST_QUARANTINED = 312
    OUTCOME_UNKNOWN = 313
    SIDECAR_UNREACHABLE = 314
    UPSTREAM_SILENT = 315
    VERSION_NOT_LOADED = 316
    ATTEMPT_UNKNOWN = 317
    ATTEMPT_CANCELLED = 318
    SUSPECT_BUSY = 319
    UPSTREAM_RESPONSE_TOO_LARGE = 320
    UPSTREAM_RATE_LIMITED = 321
    JOURNAL_UNAVAILABLE = 401
    KEY_EXPIRED = 402
    KEY_REUSED = 403
    INVALID_SETTINGS = 501
    INVALID_CONFIGURATION = 502
    REVISION_CONFLICT = 503
    REVISION_BEHIND = 504
    STORE_UNAVAILABLE = 601
    STORE_CONFLICT = 602
    VM_LIST_UNAVAILABLE = 603
    RATING_UNAVAILABLE = 604
    WEIGHT_STORE_LIMITED = 605
    STORE_ERA_INVALID = 606
    MALFORMED_MESSAGE = 701
    UNSUPPORTED_PROTOCOL = 702
    MESSAGE_TOO_LARGE = 703
    UNAUTHENTICATED = 704
    INTERNAL_ERROR = 801


@attrs.frozen
class ResultDescription:
    """HTTP status, summary and retry hint of a result code."""

    http_status: HTTPStatus
    summary: str
    # Whether the same request may succeed if it is sent again later.
    retryable: bool = False


_DESCRIPTIONS: Final[dict[ResultCode, ResultDescription]] = {
    code: ResultDescription(HTTPStatus(status), summary, retryable)
    for code, status, summary, retryable in (
        (ResultCode.OK, 200, "The request completed.", False),
        (ResultCode.INVALID_JSON, 400, "The request body is not valid JSON.", False),
        (
            ResultCode.BODY_TOO_LARGE,
            413,
            "The request body exceeds the size limit.",
            False,
        ),
        (ResultCode.MISSING_KEY, 401, "No API key was sent.", False),
        (ResultCode.UNKNOWN_KEY, 401, "The API key is not known.", False),
        (ResultCode.DEADLINE_PASSED, 408, "The request's deadline has passed.", False),
        (
            ResultCode.INVALID_REQUEST,
            400,
            "A field of the request is missing or invalid.",
            False,
        ),
        (
            ResultCode.OVERLOADED,
            503,
            "The request was rejected because of overload.",
            True,
        ),
        (
            ResultCode.NOT_READY,
            503,
            "The process has no active configuration yet.",
            True,
        ),
        (ResultCode.DRAINING, 503, "The process is shutting down.", True),
        (ResultCode.CAPACITY_EXCEEDED, 429, "The plan's capacity is used up.", True),
        (ResultCode.CALLER_GONE, 408, "The caller closed the connection.", False),
        (ResultCode.INVALID_SESSION, 400, "The session token is not valid.", False),
        (
            ResultCode.REQUEST_TOO_SLOW,
            408,
            "The request was not received in time.",
            True,
        ),
        (ResultCode.UNKNOWN_MODEL, 404, "The model is not in the catalogue.", False),
        (
            ResultCode.MODEL_NOT_ALLOWED,
            403,
            "The plan does not include the model.",
            False,
        ),
        (
            ResultCode.NO_VERSION_IN_SERVICE,
            503,
            "No version of the model is in service.",
            True,
        ),
        (ResultCode.VERSION_WITHDRAWN, 409, "The version has been withdrawn.", False),
        (ResultCode.UNKNOWN_ROUTE, 404, "No service route matches.", False),
        (
            ResultCode.SERVICE_NOT_ALLOWED,
            403,
            "The plan does not include the service.",
            False,
        ),
        (
            ResultCode.QUALITY_NOT_AVAILABLE,
            503,
            "No allowed version meets the quality target.",
            True,
        ),
        (ResultCode.UNKNOWN_CLASS, 400, "The request class is not known.", False),
        (
            ResultCode.NO_UPSTREAM,
            503,
            "No upstream is available for the request.",
            True,
        ),
        (
            ResultCode.UPSTREAM_FULL,
            503,
            "The upstream accepts no more requests now.",
            True,
        ),
        (ResultCode.UPSTREAM_UNREACHABLE, 503, "The upstream is unreachable.", True),
        (
            ResultCode.UPSTREAM_FAILED,
            502,
            "The upstream failed to complete the request.",
            True,
        ),
        (ResultCode.SHORT_ANSWER, 502, "The upstream's response was truncated.", True),
        (
            ResultCode.CROSSED_ANSWER,
            502,
            "The response belonged to another request.",
            True,
        ),
        (ResultCode.ZONE_OUT, 503, "The availability zone is out of service.", True),
        (ResultCode.VM_OUT, 503, "The VM is out of service.", True),
        (ResultCode.SIDECAR_DRAINING, 503, "The sidecar is shutting down.", True),
        (
            ResultCode.INCARNATION_MISMATCH,
            503,
            "The sidecar was restarted.",
            True,
        ),
        (
            ResultCode.ATTEMPT_FENCED,
            503,
            "The attempt was fenced before it started.",
            True,
        ),
        (
            ResultCode.REQUEST_QUARANTINED,
            422,
            "The request is quarantined after upstream crashes.",
            False,
        ),
        (
            ResultCode.OUTCOME_UNKNOWN,
            504,
            "The request may have run; its outcome is unknown.",
            False,
        ),
        (ResultCode.SIDECAR_UNREACHABLE, 503, "The sidecar is unreachable.", True),
        (ResultCode.UPSTREAM_SILENT, 504, "The upstream stopped sending data.", True),
        (
            ResultCode.VERSION_NOT_LOADED,
            503,
            "The engine has not loaded the version.",
            True,
        ),
        (ResultCode.ATTEMPT_UNKNOWN, 404, "The attempt is not known.", False),
        (ResultCode.ATTEMPT_CANCELLED, 503, "The attempt was cancelled.", True),
        (
            ResultCode.SUSPECT_BUSY,
            503,
            "The request waits until an upstream crash has been attributed.",
            True,
        ),
        (
            ResultCode.UPSTREAM_RESPONSE_TOO_LARGE,
            502,
            "The upstream's response exceeds a size limit.",
            False,
        ),
        (
            ResultCode.UPSTREAM_RATE_LIMITED,
            503,
            "All upstreams are at the rate limit that they named.",
            True,
        ),
        (ResultCode.JOURNAL_UNAVAILABLE, 503, "The journal is unavailable.", True),
        (ResultCode.KEY_EXPIRED, 410, "The idempotency key has expired.", False),
        (
            ResultCode.KEY_REUSED,
            422,
            "The idempotency key was used with another body.",
            False,
        ),
        (ResultCode.INVALID_SETTINGS, 500, "The settings are invalid.", False),
        (ResultCode.INVALID_CONFIGURATION, 400, "The configuration is invalid.", False),
        (
            ResultCode.REVISION_CONFLICT,
            409,
            "Another configuration change was accepted first.",
            False,
        ),
        (
            ResultCode.REVISION_BEHIND,
            503,
            "The process has an older configuration revision.",
            True,
        ),
        (ResultCode.STORE_UNAVAILABLE, 503, "The store is unavailable.", True),
        (
            ResultCode.STORE_CONFLICT,
            409,
            "A compare-and-swap in the store failed.",
            True,
        ),
        (ResultCode.VM_LIST_UNAVAILABLE, 503, "The VM list is unavailable.", True),
        (ResultCode.RATING_UNAVAILABLE, 503, "The rating service failed.", True),
        (
            ResultCode.WEIGHT_STORE_LIMITED,
            429,
            "The weight store limits the rate of requests.",
            True,
        ),
        (
            ResultCode.STORE_ERA_INVALID,
            503,
            "A reply of the store states no valid era, or an earlier one.",
            True,
        ),
        (ResultCode.MALFORMED_MESSAGE, 400, "An inner message is malformed.", False),
        (
            ResultCode.UNSUPPORTED_PROTOCOL,
            400,
            "The inner protocol version is not supported.",
            False,
        ),
        (ResultCode.MESSAGE_TOO_LARGE, 413, "An inner message is too large.", False),
        (
            ResultCode.UNAUTHENTICATED,
            401,
            "The inner key is missing or invalid.",
            False,
        ),
        (
            ResultCode.INTERNAL_ERROR,
            500,
            "The router failed unexpectedly; the request may have run.",
            False,
        ),
    )
}


def describe(code: ResultCode) -> ResultDescription:
    """Return the description of ``code``."""
    return _DESCRIPTIONS[code]
