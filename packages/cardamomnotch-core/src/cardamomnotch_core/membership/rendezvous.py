"""Choice of subsets that move little when members come and go."""

import itertools
from collections.abc import Hashable, Iterable, Iterator
from typing import Protocol, TypeVar

import xxhash


class Member(Protocol):
    """Whatever can be chosen: an entry or an upstream."""

    @property
    def vm_id(self) -> str:
        """Return the id that is hashed."""

    @property
    def zone(self) -> Hashable:
        """Return the availability zone."""


_M = TypeVar("_M", bound=Member)


def rank(owner: str, member: str) -> int:
    """Return the weight of ``member`` for ``owner``.

    Highest random weight hashing, Thaler and Ravishankar, "Using name-based
    mappings to increase hit rates", 1998.
    """
    return xxhash.xxh3_64_intdigest(f"{owner}\x00{member}".encode())


def choose_spread(owner: str, members: Iterable[_M], count: int) -> tuple[_M, ...]:
    """Return ``count`` members for ``owner``, taken from each zone in turn.

    All are returned if there are no more than ``count``. A member that comes
    or goes moves at most one place of its own zone and one of another.
    """
    found = tuple(members)
    if len(found) <= count:
        return found
    return tuple(itertools.islice(_by_turns(owner, found), count))


def _by_turns(owner: str, members: tuple[_M, ...]) -> Iterator[_M]:
    zones: dict[Hashable, list[tuple[int, str, _M]]] = {}
    for member in members:
        weighted = (rank(owner, member.vm_id), member.vm_id, member)
        zones.setdefault(member.zone, []).append(weighted)
    # The zones take turns in an order of the owner's own, so that what does
    # not divide evenly does not fall to the same zone for every owner.
    order = sorted(zones, key=lambda zone: rank(owner, str(zone)))
    queues = [sorted(zones[zone], key=lambda item: item[:2])[::-1] for zone in order]
    for round_of_turns in itertools.zip_longest(*queues):
        yield from (item[2] for item in round_of_turns if item is not None)
