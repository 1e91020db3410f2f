"""Choice of the entries that watch the store for their availability zone."""

from collections.abc import Iterator, Sequence

import attrs

from ..membership.rendezvous import rendezvous_hash
from .const import SILENT_RETRY_INTERVAL_S, SILENT_SOURCE_S, SOURCES_PER_ZONE
from .models import FeedMember


@attrs.define
class _Contact:
    """Whether a member answers this entry's requests; times in seconds."""

    member: FeedMember
    asked_at_s: float = float("-inf")
    # When the oldest request without a reply was sent.
    unanswered_since_s: float | None = None

    def is_silent(self, now_s: float) -> bool:
        return (
            self.unanswered_since_s is not None
            and now_s - self.unanswered_since_s > SILENT_SOURCE_S
        )


class FeedSources:
    """Ranks the entries of a zone, the same at each of them.

    The first ones that answer are the zone's sources. If they fall silent, the
    next ones notice it and take their place.
    """

    def __init__(self, name: str, zone: str) -> None:
        self._zone = zone
        self._own_rank = rendezvous_hash(zone, name)
        # The other members in the order of their ranks.
        self._contacts: dict[str, _Contact] = {}

    def put(self, member: FeedMember) -> None:
        """Add a member of the zone, or change its address."""
        known = self._contacts.get(member.name)
        if known is not None and known.member == member:
            return
        self._contacts[member.name] = _Contact(member)
        ranked = sorted(self._contacts.items(), key=lambda item: self._rank(item[0]))
        self._contacts = dict(ranked)

    def remove(self, name: str) -> None:
        """Remove a member that is gone."""
        self._contacts.pop(name, None)

    def __len__(self) -> int:
        return len(self._contacts)

    def is_source(self, now_s: float) -> bool:
        """Return whether this entry is one of its zone's sources."""
        return len(self._before(now_s)) < SOURCES_PER_ZONE

    def is_first(self, now_s: float) -> bool:
        """Return whether this entry is the first source of its zone."""
        return not self._before(now_s)

    def others(self, now_s: float) -> Sequence[FeedMember]:
        """Return the zone's sources other than this entry."""
        before = self._before(now_s)
        after = (
            contact.member
            for name, contact in self._contacts.items()
            if self._rank(name) > self._own_rank and not contact.is_silent(now_s)
        )
        ranked = (*before, None, *after)[:SOURCES_PER_ZONE]
        return [member for member in ranked if member is not None]

    def _before(self, now_s: float) -> Sequence[FeedMember]:
        """Return the responsive members that rank before this entry."""
        return [
            contact.member
            for name, contact in self._contacts.items()
            if self._rank(name) < self._own_rank and not contact.is_silent(now_s)
        ]

    def due(self, now_s: float) -> Iterator[FeedMember]:
        """Yield the members to ask now: a source, in turn, and silent ones at times."""
        responsive: list[_Contact] = []
        for contact in self._contacts.values():
            if len(responsive) == SOURCES_PER_ZONE:
                break
            if not contact.is_silent(now_s):
                responsive.append(contact)
            elif now_s - contact.asked_at_s >= SILENT_RETRY_INTERVAL_S:
                yield self._ask(contact, now_s)
        if responsive:
            next_one = min(responsive, key=lambda contact: contact.asked_at_s)
            yield self._ask(next_one, now_s)

    def record_reply(self, name: str) -> None:
        """Record that a member has answered."""
        contact = self._contacts.get(name)
        if contact is not None:
            contact.unanswered_since_s = None

    def _ask(self, contact: _Contact, now_s: float) -> FeedMember:
        contact.asked_at_s = now_s
        if contact.unanswered_since_s is None:
            contact.unanswered_since_s = now_s
        return contact.member

    def _rank(self, name: str) -> int:
        return rendezvous_hash(self._zone, name)
