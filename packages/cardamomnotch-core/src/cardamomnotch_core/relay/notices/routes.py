"""Which entries an entry sends its load notices to.

Answers many requests at many entries over several availability zones: notices
cross a path between two zones once each, not once for each entry there.
"""

from collections.abc import Iterator, Sequence

import attrs

from .const import MAX_DIRECT_ENTRIES


@attrs.frozen
class NoticeTarget:
    """An entry that gets notices, and whether it passes them on in its zone."""

    address: str
    is_relay: bool = False


class NoticeRoutes:
    """Sends notices to each entry of the own zone, and to one of each other zone.

    That one passes them on to the others of its zone. Each time it is the next of
    its zone, so that the work is spread, and an entry that is gone loses only a
    part of the notices until its record expires. Entries of an earlier build,
    which name no zone, and those of small zones get notices directly.
    """

    def __init__(self, zone: str) -> None:
        self._zone = zone
        # Addresses of the other entries by zone, then by name.
        self._zones: dict[str, dict[str, str]] = {}
        # The same addresses in order, for all notices until an entry changes.
        self._addresses: dict[str, tuple[str, ...]] = {}
        self._turn = 0

    def put(self, entry: str, zone: str, address: str) -> None:
        """Add another entry, or change its zone or address."""
        if self._zones.get(zone, {}).get(entry) == address:
            return
        self.remove(entry)
        self._zones.setdefault(zone, {})[entry] = address
        self._addresses[zone] = tuple(self._zones[zone].values())

    def remove(self, entry: str) -> None:
        """Remove an entry that is gone."""
        for zone, members in self._zones.items():
            if members.pop(entry, None) is not None:
                self._addresses[zone] = tuple(members.values())

    def targets(self) -> Iterator[NoticeTarget]:
        """Yield the entries that get the next notices from this one."""
        self._turn += 1
        for zone, addresses in self._addresses.items():
            if not zone or zone == self._zone or len(addresses) <= MAX_DIRECT_ENTRIES:
                yield from map(NoticeTarget, addresses)
            else:
                address = addresses[self._turn % len(addresses)]
                yield NoticeTarget(address, is_relay=True)

    def zone_addresses(self) -> Sequence[str]:
        """Return the other entries of the own zone, for notices to pass on."""
        return self._addresses.get(self._zone, ())
