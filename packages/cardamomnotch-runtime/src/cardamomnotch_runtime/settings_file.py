"""A settings file that is reloaded when it changes."""

import logging
from pathlib import Path
from typing import Final, Generic, TypeVar

from .settings import SettingsError, load_settings
from .structured_log import log_event

_LOGGER = logging.getLogger(__name__)
_T = TypeVar("_T")

# Interval between two checks of the file, which may change without a signal.
# A check costs one call to the file system.
SETTINGS_CHECK_INTERVAL_S: Final = 1.0


class SettingsFile(Generic[_T]):
    """The validated settings of one file, reloaded on request."""

    def __init__(self, path: Path, cls: type[_T]) -> None:
        """Load the file; raise SettingsError if it is unusable."""
        self._path = path
        self._cls = cls
        self._checked_mtime_ns = self._read_mtime_ns()
        self._current = load_settings(path, cls)

    @property
    def current(self) -> _T:
        """Return the last valid settings."""
        return self._current

    def reload_if_changed(self) -> _T | None:
        """Reload a changed file; return the settings if they differ.

        Invalid settings are logged once per change of the file, and the
        previous settings stay current.
        """
        mtime_ns = self._read_mtime_ns()
        if mtime_ns == self._checked_mtime_ns:
            return None
        self._checked_mtime_ns = mtime_ns
        try:
            settings = load_settings(self._path, self._cls)
        except SettingsError as error:
            log_event(
                _LOGGER,
                "changed settings are invalid; keeping the previous settings",
                logging.WARNING,
                detail=error.detail,
            )
            return None
        if settings == self._current:
            return None
        self._current = settings
        return settings

    def _read_mtime_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            # The file may be missing for a moment while it is replaced.
            return 0
