"""Messages between the system's processes over aiohttp."""

import aiohttp
from aiohttp import web

from cardamomnotch_protocol import codec
from cardamomnotch_protocol.codec import Frame
from cardamomnotch_protocol.const import CONTENT_TYPE_FRAMES
from cardamomnotch_protocol.exceptions import CardamomnotchError, ProtocolError
from cardamomnotch_protocol.models import Message
from cardamomnotch_protocol.result_codes import ResultCode

from .upstream_session import is_connection_refused

_HEADERS = {"Content-Type": CONTENT_TYPE_FRAMES}


async def async_read_frame(request: web.Request, expected: type[Message]) -> Frame:
    """Return the frame in the body of ``request``.

    Raises ProtocolError if the body is not one message of class ``expected``.
    """
    try:
        data = await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise ProtocolError(code=ResultCode.MESSAGE_TOO_LARGE) from error
    frame = codec.decode(data)
    if not isinstance(frame.message, expected):
        raise ProtocolError(f"expected a message of type {expected.message_type}")
    return frame


def frame_response(message: Message) -> web.Response:
    """Return an HTTP response with ``message`` as its body."""
    return web.Response(body=codec.encode(message), headers=_HEADERS)


class ProcessNotListeningError(CardamomnotchError):
    """The connection was refused, so the process at the address has ended."""

    code = ResultCode.SIDECAR_UNREACHABLE


async def async_call(
    session: aiohttp.ClientSession, url: str, message: Message, timeout_s: float
) -> Message:
    """Post ``message`` to ``url`` and return the message in the response.

    Raises CardamomnotchError with SIDECAR_UNREACHABLE if the call fails (as
    ProcessNotListeningError if the connection was refused), and ProtocolError
    if the response is not a readable message.
    """
    data = codec.encode(message)
    return await _async_exchange(session, "POST", url, timeout_s, data)


async def async_fetch(
    session: aiohttp.ClientSession, url: str, timeout_s: float
) -> Message:
    """Get the message at ``url``.

    Raises like ``async_call``.
    """
    return await _async_exchange(session, "GET", url, timeout_s)


async def _async_exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    timeout_s: float,
    data: bytes | None = None,
) -> Message:
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        async with session.request(
            method, url, data=data, headers=_HEADERS, timeout=timeout
        ) as response:
            body = await response.read()
            status = response.status
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        detail = f"{url}: call failed with {type(error).__name__}"
        if is_connection_refused(error):
            raise ProcessNotListeningError(detail) from error
        raise CardamomnotchError(detail, code=ResultCode.SIDECAR_UNREACHABLE) from error
    if status != 200:
        raise ProtocolError(f"{url}: expected HTTP status 200, got {status}")
    return codec.decode(body).message
