"""Signed tokens that bind a session to a version."""

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
    """A session token without a valid signature, or for another workspace."""

    code = ResultCode.INVALID_SESSION


@attrs.frozen(kw_only=True)
class SessionBinding:
    """The version, as "model/version", of a workspace's session."""

    workspace: str
    version: str


class SessionSigner:
    """Signs tokens with the first key and verifies them with any key.

    Tokens carry an HMAC with SHA-256 (RFC 2104). No state is kept, so that any
    entry can verify the token of another one, also after a restart.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        self._keys = tuple(key.encode() for key in keys)

    def sign(self, binding: SessionBinding) -> str:
        """Return the signed token for ``binding``."""
        payload = orjson.dumps([binding.workspace, binding.version])
        mac = _mac(self._keys[0], payload)
        return f"{_encode(payload)}{_SEPARATOR}{_encode(mac)}"

    def verify(self, token: str) -> SessionBinding:
        """Return the binding in ``token``.

        Raises SessionError if the token is malformed or none of the keys has
        signed it.
        """
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


def derive_session_keys(inner_keys: tuple[str, ...]) -> tuple[str, ...]:
    """Return session keys derived from the keys that all processes share."""
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
