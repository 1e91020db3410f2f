"""Translation of aiohttp errors to UpstreamError, and call timeouts."""

import logging
import math
from collections.abc import Iterator
from contextlib import contextmanager

import aiohttp

from cardamomnotch_protocol.result_codes import ResultCode
from cardamomnotch_runtime.body_codings import is_content_plain, is_transfer_plain
from cardamomnotch_runtime.header_fields import find_invalid_text
from cardamomnotch_runtime.structured_log import log_event
from cardamomnotch_runtime.upstream_session import OversizeError

from ..const import MAX_RESPONSE_BYTES, MAX_RETRY_AFTER_S
from .models import UpstreamError

_LOGGER = logging.getLogger(__name__)
# Content codings that the client removes, or reports as an error.
_REMOVED_CONTENT_CODINGS = frozenset({"br", "deflate", "gzip", "zstd"})


@contextmanager
def translate_errors() -> Iterator[None]:
    """Raise UpstreamError in place of aiohttp errors."""
    try:
        yield
    except aiohttp.ClientConnectorError as error:
        raise UpstreamError(
            type(error).__name__,
            code=ResultCode.UPSTREAM_UNREACHABLE,
            started=False,
            connection_lost=True,
        ) from error
    except OversizeError as error:
        raise UpstreamError(
            str(error),
            code=ResultCode.UPSTREAM_RESPONSE_TOO_LARGE,
            connection_lost=True,
        ) from error
    except aiohttp.ClientPayloadError as error:
        raise UpstreamError(
            str(error), code=ResultCode.SHORT_ANSWER, connection_lost=True
        ) from error
    except (
        aiohttp.ClientOSError,
        aiohttp.ServerDisconnectedError,
        ConnectionError,
    ) as error:
        raise UpstreamError(
            type(error).__name__, code=ResultCode.UPSTREAM_FAILED, connection_lost=True
        ) from error
    except TimeoutError as error:
        raise UpstreamError(code=ResultCode.UPSTREAM_SILENT) from error
    except (aiohttp.ClientError, OSError) as error:
        raise UpstreamError(
            type(error).__name__, code=ResultCode.UPSTREAM_FAILED
        ) from error


def check_codings(response: aiohttp.ClientResponse) -> None:
    """Raise UpstreamError if the body has a coding that the client does not remove."""
    codings = response.headers.getall("Content-Encoding", ())
    is_content_known = is_content_plain(codings) or (
        len(codings) == 1 and codings[0].lower() in _REMOVED_CONTENT_CODINGS
    )
    if is_content_known and is_transfer_plain(
        response.headers.getall("Transfer-Encoding", ())
    ):
        return
    response.close()
    raise UpstreamError(
        "the response body has a coding that is not removed",
        code=ResultCode.UPSTREAM_FAILED,
    )


async def async_read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the complete body of a response.

    Raises UpstreamError if the body exceeds its size limit, or has a coding that the
    client does not remove.
    """
    check_codings(response)
    parts: list[bytes] = []
    size = 0
    async for data in response.content.iter_any():
        size += len(data)
        if size > MAX_RESPONSE_BYTES:
            response.close()
            raise UpstreamError(
                f"response body is larger than {MAX_RESPONSE_BYTES} bytes",
                code=ResultCode.UPSTREAM_RESPONSE_TOO_LARGE,
            )
        parts.append(data)
    return b"".join(parts)


def forwarded_header(response: aiohttp.ClientResponse, name: str) -> str:
    """Return a header that is passed on to the caller; empty if it is missing.

    Raises UpstreamError if it cannot be passed on.
    """
    value = response.headers.get(name, "")
    invalid = find_invalid_text({name: value})
    if invalid is None:
        return value
    log_event(
        _LOGGER,
        "upstream response has a header that cannot be passed on",
        logging.WARNING,
        status=response.status,
        header=invalid.name,
        reason=invalid.fault.value,
    )
    response.close()
    raise UpstreamError(str(invalid), code=ResultCode.UPSTREAM_FAILED)


def retry_after_s(response: aiohttp.ClientResponse) -> float:
    """Return the seconds in Retry-After; 0 if it is not a number of them."""
    value = response.headers.get("Retry-After", "")
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return min(seconds, MAX_RETRY_AFTER_S) if 0.0 <= seconds < math.inf else 0.0


def call_timeout(timeout_ms: int, read_timeout_s: float) -> aiohttp.ClientTimeout:
    """Return the aiohttp timeouts of a call.

    ``timeout_ms`` limits the whole call, ``read_timeout_s`` the time without
    data from the upstream.
    """
    return aiohttp.ClientTimeout(
        total=timeout_ms / 1000, sock_connect=1.0, sock_read=read_timeout_s
    )
