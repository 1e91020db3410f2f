"""Reading callers' HTTP requests."""

import hashlib
import math
import uuid
from typing import Any

import orjson
from aiohttp import web

from cardamomnotch_core.attempts.entry_table import CallerRequest
from cardamomnotch_core.plans.allowance import ANY_MODEL
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..const import (
    DEFAULT_EXPECTED_TOKENS,
    HEADER_CLASS,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_TIMEOUT,
    MAX_IDEMPOTENCY_KEY_CHARS,
)

_BEARER_PREFIX = "Bearer "
# Headers of a service call that reach the service.
_PASSED_HEADERS = ("Accept", "Accept-Language", "Content-Type")


class CallerError(CardamomnotchError):
    """A caller's request that cannot be read."""


async def async_read_body(request: web.Request) -> bytes:
    """Return the body; raise CallerError if it is over the limit."""
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise CallerError(code=ResultCode.BODY_TOO_LARGE) from error


def read_completion(request: web.Request, body: bytes) -> CallerRequest:
    """Return the model call in ``body``; raise CallerError if it is wrong."""
    digest = key_digest(request)
    data = _read_json_object(body)
    model = data.get("model", ANY_MODEL)
    if not isinstance(model, str) or not model:
        raise CallerError("model must be a name")
    messages = data.get("messages")
    if not isinstance(messages, list) or not messages:
        raise CallerError("messages must be a list with at least one message")
    if not all(isinstance(message, dict) for message in messages):
        raise CallerError("each message must be an object")
    stream = data.get("stream") or False
    if not isinstance(stream, bool):
        raise CallerError("stream must be true or false")
    max_tokens = data.get("max_tokens") or data.get("max_completion_tokens")
    if max_tokens is not None and not _is_positive_integer(max_tokens):
        raise CallerError("max_tokens must be a positive whole number")
    return CallerRequest(
        request_id=_new_request_id(),
        key_digest=digest,
        model=model,
        request_class=request.headers.get(HEADER_CLASS, ""),
        path=request.path,
        idempotency_key=_idempotency_key(request),
        stream=stream,
        expected_tokens=max_tokens or DEFAULT_EXPECTED_TOKENS,
        fingerprint=hashlib.sha256(body).hexdigest(),
        timeout_s=_timeout_s(request),
    )


def read_service_call(request: web.Request, body: bytes) -> CallerRequest:
    """Return the service call; raise CallerError if it is wrong."""
    headers = tuple(
        (name, request.headers[name])
        for name in _PASSED_HEADERS
        if name in request.headers
    )
    path = "/" + request.match_info["path"]
    if request.query_string:
        path = f"{path}?{request.query_string}"
    return CallerRequest(
        request_id=_new_request_id(),
        key_digest=key_digest(request),
        service=request.match_info["service"],
        method=request.method,
        path=path,
        headers=headers,
        idempotency_key=_idempotency_key(request),
        fingerprint=hashlib.sha256(body).hexdigest(),
        timeout_s=_timeout_s(request),
    )


def _new_request_id() -> str:
    return uuid.uuid4().hex


def key_digest(request: web.Request) -> str:
    """Return the SHA-256 digest of the API key; raise CallerError without one."""
    header = request.headers.get("Authorization", "")
    if not header.startswith(_BEARER_PREFIX):
        raise CallerError(code=ResultCode.MISSING_KEY)
    key = header.removeprefix(_BEARER_PREFIX).strip()
    return hashlib.sha256(key.encode()).hexdigest()


def _idempotency_key(request: web.Request) -> str:
    """Return the caller's key, which the journal keeps; "" if there is none."""
    key = request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise CallerError(
            f"{HEADER_IDEMPOTENCY_KEY} exceeds {MAX_IDEMPOTENCY_KEY_CHARS} characters"
        )
    return key


def _timeout_s(request: web.Request) -> float:
    """Return the seconds that the caller gives; 0 if it names none."""
    text = request.headers.get(HEADER_TIMEOUT)
    if text is None:
        return 0.0
    try:
        seconds = float(text)
    except ValueError as error:
        raise CallerError(f"{HEADER_TIMEOUT} is not a number") from error
    if not math.isfinite(seconds):
        raise CallerError(f"{HEADER_TIMEOUT} is not a finite number")
    if seconds <= 0:
        raise CallerError(code=ResultCode.DEADLINE_PASSED)
    return seconds


def _read_json_object(body: bytes) -> dict[str, Any]:
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise CallerError(str(error), code=ResultCode.INVALID_JSON) from error
    if not isinstance(data, dict):
        raise CallerError("the body must be an object", code=ResultCode.INVALID_JSON)
    return data


def _is_positive_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0
