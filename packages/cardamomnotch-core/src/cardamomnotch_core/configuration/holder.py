"""The active configuration of this process."""

from collections.abc import Callable

from .models import ConfigurationRecord


class ConfigurationHolder:
    """Holds the active configuration record; its revision never decreases."""

    def __init__(self) -> None:
        self._record: ConfigurationRecord | None = None
        self._observers: list[Callable[[ConfigurationRecord], None]] = []

    def subscribe(
        self, observer: Callable[[ConfigurationRecord], None]
    ) -> Callable[[], None]:
        """Call ``observer`` with each new record; return the unsubscriber."""
        self._observers.append(observer)

        def unsubscribe() -> None:
            self._observers.remove(observer)

        return unsubscribe

    @property
    def record(self) -> ConfigurationRecord | None:
        """Return the active record, or None before the first."""
        return self._record

    @property
    def revision(self) -> int:
        """Return the active revision; 0 before the first."""
        return self._record.revision if self._record else 0

    def offer(self, record: ConfigurationRecord) -> bool:
        """Activate ``record`` if it is newer, and return whether it was."""
        if record.revision <= self.revision:
            return False
        self._record = record
        for observer in tuple(self._observers):
            observer(record)
        return True
