"""The order in which the pages of a long listing are read."""

import random
import re
from collections import deque
from collections.abc import Sequence
from enum import Enum, auto

import attrs

# The part of a key's end that differs between keys of the same kind.
_KEY_END = re.compile(r"[0-9A-Za-z]+$")


class _Phase(Enum):
    # From the first key on, until the bulk begins or the listing ends.
    START = auto()
    # What follows the bulk.
    TAIL = auto()
    # The first page of the bulk that the entry uses.
    SAMPLE = auto()
    # The rest of the bulk.
    REST = auto()


@attrs.define
class _Span:
    """Keys that have not been read yet, after one key and up to another."""

    after: str
    until: str | None = None

    def is_read(self, last_key: str | None, has_more: bool) -> bool:
        if last_key is None or not has_more:
            return True
        return self.until is not None and last_key >= self.until


class ListingOrder:
    """Reads first what an entry needs before it serves.

    Answers one load: many entries that start at the same time before many
    upstreams, where reading everything takes each of them long. ``bulk_prefix`` is
    the prefix of the upstreams' keys. Needed are all other items and one page of
    the bulk, from a key that differs between entries, so that together they use all
    of it. A listing of one page is complete at once.
    """

    def __init__(self, bulk_prefix: str, random_source: random.Random) -> None:
        self._bulk_prefix = bulk_prefix
        self._random = random_source
        self._spans = deque([_Span("")])
        self._phase = _Phase.START

    @property
    def after(self) -> str:
        """Return the key after which the next page begins."""
        return self._spans[0].after

    @property
    def is_complete(self) -> bool:
        """Return whether everything has been read."""
        return not self._spans

    @property
    def is_sufficient(self) -> bool:
        """Return whether everything has been read that is needed at first."""
        return self.is_complete or self._phase is _Phase.REST

    def record_page(self, keys: Sequence[str], has_more: bool) -> None:
        """Record the page that begins after the key ``after``."""
        span = self._spans.popleft()
        last_key = keys[-1] if keys else None
        is_read = span.is_read(last_key, has_more)
        if not is_read:
            self._spans.appendleft(_Span(last_key, span.until))
        if self._phase is _Phase.START:
            self._record_start(keys, is_read)
        elif self._phase is _Phase.SAMPLE:
            self._phase = _Phase.REST
        elif self._phase is _Phase.TAIL and is_read:
            self._phase = _Phase.SAMPLE

    def _record_start(self, keys: Sequence[str], is_read: bool) -> None:
        bulk_keys = [key for key in keys if key.startswith(self._bulk_prefix)]
        if is_read or not bulk_keys or bulk_keys[-1] != keys[-1]:
            return
        start = self._sample_start(bulk_keys)
        end = self._bulk_prefix[:-1] + chr(ord(self._bulk_prefix[-1]) + 1)
        self._spans = deque([_Span(end), _Span(start, end), _Span(keys[-1], start)])
        self._phase = _Phase.TAIL

    def _sample_start(self, bulk_keys: Sequence[str]) -> str:
        """Return a key anywhere in the bulk.

        Of ids that begin alike in a page, the ends differ: a reversed end is likely
        to lie anywhere among all ids.
        """
        key = self._random.choice(bulk_keys)
        start = _KEY_END.sub(lambda end: end[0][::-1], key)
        is_unread = start.startswith(self._bulk_prefix) and start > bulk_keys[-1]
        return start if is_unread else bulk_keys[-1]
