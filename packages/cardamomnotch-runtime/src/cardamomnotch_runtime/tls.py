"""TLS of a server, with a certificate that is read again when it changes."""

import logging
import ssl
from pathlib import Path
from typing import Final

from .settings import SettingsError

_LOGGER = logging.getLogger(__name__)

CERTIFICATE_CHECK_INTERVAL_S: Final = 5.0


class ServerCertificate:
    """A certificate with its private key, in PEM files.

    Connections that are open keep the certificate they began with.
    """

    def __init__(self, certificate: Path, private_key: Path) -> None:
        """Read the files; raise SettingsError if they cannot be used."""
        self._certificate = certificate
        self._private_key = private_key
        self._seen_ns = self._changed_at_ns()
        self._is_usable = True
        self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        try:
            self._load()
        except OSError as error:
            raise SettingsError(
                f"caller.certificate: {certificate}: {error}"
            ) from error

    async def async_reload_if_changed(self) -> None:
        """Read the files again if they have changed; keep the old if they fail."""
        changed_at_ns = self._changed_at_ns()
        if changed_at_ns == self._seen_ns:
            return
        try:
            self._load()
        except OSError as error:
            # The files may be half replaced; the next check tries again.
            self._note_usable(usable=False, detail=str(error))
            return
        self._seen_ns = changed_at_ns
        self._note_usable(usable=True)
        _LOGGER.info("certificate %s read again", self._certificate)

    def _load(self) -> None:
        # A pair that does not match must not spoil the context in use.
        ssl.create_default_context(ssl.Purpose.CLIENT_AUTH).load_cert_chain(
            self._certificate, self._private_key
        )
        self.context.load_cert_chain(self._certificate, self._private_key)

    def _changed_at_ns(self) -> tuple[int, ...]:
        try:
            return tuple(
                path.stat().st_mtime_ns
                for path in (self._certificate, self._private_key)
            )
        except OSError:
            return ()

    def _note_usable(self, *, usable: bool, detail: str = "") -> None:
        if usable == self._is_usable:
            return
        self._is_usable = usable
        if not usable:
            _LOGGER.warning("certificate %s unusable: %s", self._certificate, detail)
