"""Inner messages over aiohttp."""

import aiohttp
from aiohttp import web

from cardamomnotch_protocol import codec
from cardamomnotch_protocol.codec import Frame
from cardamomnotch_protocol.const import CONTENT_TYPE_FRAMES
from cardamomnotch_protocol.exceptions import CardamomnotchError, ProtocolError
from cardamomnotch_protocol.models import Message
from cardamomnotch_protocol.result_codes import ResultCode

_HEADERS = {"Content-Type": CONTENT_TYPE_FRAMES}


async def async_read_frame(request: web.Request, expected: type[Message]) -> Frame:
    """Return the frame in the body of ``request``.

    Raises ProtocolError if it is not one message of class ``expected``.
    """
    try:
        data = await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise ProtocolError(code=ResultCode.MESSAGE_TOO_LARGE) from error
    frame = codec.decode(data)
    if not isinstance(frame.message, expected):
        raise ProtocolError(f"expected {expected.message_type}")
    return frame


def frame_response(message: Message) -> web.Response:
    """Return ``message`` as an HTTP answer."""
    return web.Response(body=codec.encode(message), headers=_HEADERS)


class ProcessNotListeningError(CardamomnotchError):
    """Nothing listens at the address, so the process there has ended."""

    code = ResultCode.SIDECAR_UNREACHABLE


def is_connection_refused(error: BaseException) -> bool:
    """Return whether ``error`` says that a connection was refused."""
    return isinstance(error, aiohttp.ClientConnectorError) and isinstance(
        error.os_error, ConnectionRefusedError
    )


async def async_call(
    session: aiohttp.ClientSession, url: str, message: Message, timeout_s: float
) -> Message:
    """Send ``message`` and return the message that answers it.

    Raises CardamomnotchError with SIDECAR_UNREACHABLE, as ProcessNotListeningError if
    the connection was refused, or ProtocolError.
    """
    data = codec.encode(message)
    return await _async_exchange(session, "POST", url, timeout_s, data)


async def async_fetch(
    session: aiohttp.ClientSession, url: str, timeout_s: float
) -> Message:
    """Return the message at ``url``.

    Raises CardamomnotchError with SIDECAR_UNREACHABLE, or ProtocolError.
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
        detail = f"{url}: {type(error).__name__}"
        if is_connection_refused(error):
            raise ProcessNotListeningError(detail) from error
        raise CardamomnotchError(detail, code=ResultCode.SIDECAR_UNREACHABLE) from error
    if status != 200:
        raise ProtocolError(f"{url}: status {status}")
    return codec.decode(body).message
