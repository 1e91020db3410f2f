"""Parses callers' HTTP requests."""

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
# Size of the digest that identifies a message of a prompt, in bytes.
_PART_DIGEST_BYTES = 12
# Headers of a service call that are forwarded to the service.
_FORWARDED_HEADERS = ("Accept", "Accept-Language", "Content-Type")


class InvalidRequestError(CardamomnotchError):
    """A caller's request is invalid."""


async def async_read_body(request: web.Request) -> bytes:
    """Return the body; raise InvalidRequestError if it exceeds the limit."""
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise InvalidRequestError(code=ResultCode.BODY_TOO_LARGE) from error


def read_completion(request: web.Request, body: bytes) -> CallerRequest:
    """Return the model call in ``body``.

    Raises InvalidRequestError if it is invalid.
    """
    digest = key_digest(request)
    data = _read_json_object(body)
    model = data.get("model", ANY_MODEL)
    if not isinstance(model, str) or not model:
        raise InvalidRequestError("model must be a non-empty string")
    messages = data.get("messages")
    if not isinstance(messages, list) or not messages:
        raise InvalidRequestError("messages must be a non-empty list")
    if not all(isinstance(message, dict) for message in messages):
        raise InvalidRequestError("each item of messages must be an object")
    stream = data.get("stream") or False
    if not isinstance(stream, bool):
        raise InvalidRequestError("stream must be true or false")
    max_tokens = data.get("max_tokens") or data.get("max_completion_tokens")
    if max_tokens is not None and not _is_positive_integer(max_tokens):
        raise InvalidRequestError("max_tokens must be a positive integer")
    return CallerRequest(
        request_id=_create_request_id(),
        key_digest=digest,
        model=model,
        request_class=request.headers.get(HEADER_CLASS, ""),
        path=request.path,
        idempotency_key=_idempotency_key(request),
        stream=stream,
        expected_tokens=max_tokens or DEFAULT_EXPECTED_TOKENS,
        fingerprint=hashlib.sha256(body).hexdigest(),
        parts=frozenset(_message_digest(message) for message in messages[:-1]),
        timeout_s=_timeout_s(request),
    )


def read_service_call(request: web.Request, body: bytes) -> CallerRequest:
    """Return the service call; raise InvalidRequestError if it is invalid."""
    headers = tuple(
        (name, request.headers[name])
        for name in _FORWARDED_HEADERS
        if name in request.headers
    )
    path = "/" + request.match_info["path"]
    if request.query_string:
        path = f"{path}?{request.query_string}"
    return CallerRequest(
        request_id=_create_request_id(),
        key_digest=key_digest(request),
        service=request.match_info["service"],
        method=request.method,
        path=path,
        headers=headers,
        idempotency_key=_idempotency_key(request),
        fingerprint=hashlib.sha256(body).hexdigest(),
        timeout_s=_timeout_s(request),
    )


def _message_digest(message: dict[str, Any]) -> str:
    canonical = orjson.dumps(message, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(canonical, digest_size=_PART_DIGEST_BYTES).hexdigest()


def _create_request_id() -> str:
    return uuid.uuid4().hex


def key_digest(request: web.Request) -> str:
    """Return the SHA-256 digest of the API key.

    Raises InvalidRequestError if the request has no API key.
    """
    header = request.headers.get("Authorization", "")
    if not header.startswith(_BEARER_PREFIX):
        raise InvalidRequestError(code=ResultCode.MISSING_KEY)
    key = header.removeprefix(_BEARER_PREFIX).strip()
    return hashlib.sha256(key.encode()).hexdigest()


def _idempotency_key(request: web.Request) -> str:
    """Return the idempotency key for the journal; "" if there is none."""
    key = request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
        raise InvalidRequestError(
            f"{HEADER_IDEMPOTENCY_KEY} exceeds {MAX_IDEMPOTENCY_KEY_CHARS} characters"
        )
    return key


def _timeout_s(request: web.Request) -> float:
    """Return the caller's timeout in seconds; 0 if it gives none."""
    text = request.headers.get(HEADER_TIMEOUT)
    if text is None:
        return 0.0
    try:
        seconds = float(text)
    except ValueError as error:
        raise InvalidRequestError(f"{HEADER_TIMEOUT} is not a number") from error
    if not math.isfinite(seconds):
        raise InvalidRequestError(f"{HEADER_TIMEOUT} is not a finite number")
    if seconds <= 0:
        raise InvalidRequestError(code=ResultCode.DEADLINE_PASSED)
    return seconds


def _read_json_object(body: bytes) -> dict[str, Any]:
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise InvalidRequestError(str(error), code=ResultCode.INVALID_JSON) from error
    if not isinstance(data, dict):
        raise InvalidRequestError(
            "the request body must be a JSON object", code=ResultCode.INVALID_JSON
        )
    return data


def _is_positive_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value > 0
