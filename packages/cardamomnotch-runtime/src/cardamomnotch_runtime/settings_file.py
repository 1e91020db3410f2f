"""A settings file that is read again when it changes."""

import logging
from pathlib import Path
from typing import Final, Generic, TypeVar

from .settings import SettingsError, load_settings
from .structured_log import log_event

_LOGGER = logging.getLogger(__name__)
_T = TypeVar("_T")

# Pause between two looks at the file, in seconds: it may change without a
# signal, and a look is one call to the file system.
SETTINGS_CHECK_INTERVAL_S: Final = 1.0


class SettingsFile(Generic[_T]):
    """The checked settings of one file, and what it says by now."""

    def __init__(self, path: Path, cls: type[_T]) -> None:
        """Read the file; raise SettingsError if it cannot be used."""
        self._path = path
        self._cls = cls
        self._seen_ns = self._changed_at_ns()
        self._current = load_settings(path, cls)

    @property
    def current(self) -> _T:
        """Return the last settings that could be used."""
        return self._current

    def reload_if_changed(self) -> _T | None:
        """Return the settings if they have changed and can be used.

        Settings that cannot be used are logged once, and the old ones stay.
        """
        changed_at_ns = self._changed_at_ns()
        if changed_at_ns == self._seen_ns:
            return None
        self._seen_ns = changed_at_ns
        try:
            found = load_settings(self._path, self._cls)
        except SettingsError as error:
            log_event(
                _LOGGER,
                "changed settings cannot be used",
                logging.WARNING,
                detail=error.detail,
            )
            return None
        if found == self._current:
            return None
        self._current = found
        return found

    def _changed_at_ns(self) -> int:
        try:
            return self._path.stat().st_mtime_ns
        except OSError:
            # Between two versions there may be no file.
            return 0
