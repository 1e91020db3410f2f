"""Signed tokens that bind a session to its version."""

import base64
import binascii
import hashlib
import hmac

import attrs
import orjson

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

_SEPARATOR = "."
_MAC_BYTES = 16
MAX_TOKEN_CHARS = 1_024


class SessionError(CardamomnotchError):
    """A session token that was not made here, or for another workspace."""

    code = ResultCode.INVALID_SESSION


@attrs.frozen(kw_only=True)
class SessionBinding:
    """The version, as "model/version", that a workspace's session keeps."""

    workspace: str
    version: str


class SessionSigner:
    """Writes tokens with the first key and reads them with any.

    HMAC with SHA-256 (RFC 2104). Nothing is kept, so any entry reads what
    another wrote, before and after a restart.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        self._keys = tuple(key.encode() for key in keys)

    def write(self, binding: SessionBinding) -> str:
        """Return the token of ``binding``."""
        payload = orjson.dumps([binding.workspace, binding.version])
        mac = _mac(self._keys[0], payload)
        return f"{_encode(payload)}{_SEPARATOR}{_encode(mac)}"

    def read(self, token: str) -> SessionBinding:
        """Return the binding in ``token``; raise SessionError if it is not ours."""
        if len(token) > MAX_TOKEN_CHARS or not token.isascii():
            raise SessionError
        payload_text, _, mac_text = token.partition(_SEPARATOR)
        try:
            payload, mac = _decode(payload_text), _decode(mac_text)
        except (binascii.Error, ValueError) as error:
            raise SessionError from error
        if not any(hmac.compare_digest(mac, _mac(key, payload)) for key in self._keys):
            raise SessionError
        workspace, version = orjson.loads(payload)
        return SessionBinding(workspace=workspace, version=version)


def derived_keys(inner_keys: tuple[str, ...]) -> tuple[str, ...]:
    """Return session keys made from the keys that all processes share."""
    return tuple(
        hmac.digest(key.encode(), b"session tokens", hashlib.sha256).hex()
        for key in inner_keys
    )


def _mac(key: bytes, payload: bytes) -> bytes:
    return hmac.digest(key, payload, hashlib.sha256)[:_MAC_BYTES]


def _encode(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    return base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)
