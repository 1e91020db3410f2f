"""Server TLS with a certificate that is reloaded when its files change."""

import logging
import ssl
from pathlib import Path
from typing import Final

from .settings import SettingsError

_LOGGER = logging.getLogger(__name__)

# Interval between two checks whether the certificate's files have changed.
CERTIFICATE_CHECK_INTERVAL_S: Final = 5.0


class ServerCertificate:
    """A server certificate and its private key, loaded from PEM files.

    Open connections keep the certificate with which they were established.
    """

    def __init__(self, certificate: Path, private_key: Path) -> None:
        """Load the files; raise SettingsError if they are unusable."""
        self._certificate = certificate
        self._private_key = private_key
        self._loaded_mtimes_ns = self._read_mtimes_ns()
        self._is_usable = True
        self.context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        try:
            self._load()
        except OSError as error:
            raise SettingsError(
                f"caller.certificate: cannot load {certificate}: {error}"
            ) from error

    async def async_reload_if_changed(self) -> None:
        """Reload the files if they have changed.

        The loaded certificate stays in use if the new files are unusable.
        """
        mtimes_ns = self._read_mtimes_ns()
        if mtimes_ns == self._loaded_mtimes_ns:
            return
        try:
            self._load()
        except OSError as error:
            # Only one of the two files may have been replaced so far; the
            # next check tries again.
            self._record_usability(usable=False, detail=str(error))
            return
        self._loaded_mtimes_ns = mtimes_ns
        self._record_usability(usable=True)
        _LOGGER.info("reloaded certificate %s", self._certificate)

    def _load(self) -> None:
        # Try the files on a separate context first: a key that does not match
        # its certificate must not damage the context in use.
        ssl.create_default_context(ssl.Purpose.CLIENT_AUTH).load_cert_chain(
            self._certificate, self._private_key
        )
        self.context.load_cert_chain(self._certificate, self._private_key)

    def _read_mtimes_ns(self) -> tuple[int, ...]:
        try:
            return tuple(
                path.stat().st_mtime_ns
                for path in (self._certificate, self._private_key)
            )
        except OSError:
            return ()

    def _record_usability(self, *, usable: bool, detail: str = "") -> None:
        if usable == self._is_usable:
            return
        self._is_usable = usable
        if not usable:
            _LOGGER.warning(
                "keeping the loaded certificate; changed %s is unusable: %s",
                self._certificate,
                detail,
            )
