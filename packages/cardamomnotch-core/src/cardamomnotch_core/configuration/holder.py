"""The configuration in force in this process."""

from collections.abc import Callable

from .models import ConfigurationRecord


class ConfigurationHolder:
    """Keeps the newest record; the revision only ever rises."""

    def __init__(self) -> None:
        self._record: ConfigurationRecord | None = None
        self._observers: list[Callable[[ConfigurationRecord], None]] = []

    def subscribe(
        self, observer: Callable[[ConfigurationRecord], None]
    ) -> Callable[[], None]:
        """Tell ``observer`` of each new record; return what unsubscribes it."""
        self._observers.append(observer)

        def unsubscribe() -> None:
            self._observers.remove(observer)

        return unsubscribe

    @property
    def record(self) -> ConfigurationRecord | None:
        """Return the record in force, if any."""
        return self._record

    @property
    def revision(self) -> int:
        """Return the revision in force; 0 before the first."""
        return self._record.revision if self._record else 0

    def offer(self, record: ConfigurationRecord) -> bool:
        """Put ``record`` in force if it is newer, and return whether it is."""
        if record.revision <= self.revision:
            return False
        self._record = record
        for observer in tuple(self._observers):
            observer(record)
        return True
