"""The configuration in force in this process."""

from .models import ConfigurationRecord


class ConfigurationHolder:
    """Keeps the newest record; the revision only ever rises."""

    def __init__(self) -> None:
        self._record: ConfigurationRecord | None = None

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
        return True
