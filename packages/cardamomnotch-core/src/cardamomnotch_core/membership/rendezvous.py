"""Rendezvous hashing: subsets that change little when members come and go."""

import itertools
from collections.abc import Hashable, Iterable, Iterator
from typing import Protocol, TypeVar

import xxhash


class Member(Protocol):
    """An entry or an upstream that can be chosen."""

    @property
    def vm_id(self) -> str:
        """Return the id that is hashed."""

    @property
    def zone(self) -> Hashable:
        """Return the availability zone."""


_M = TypeVar("_M", bound=Member)


def rendezvous_hash(owner: str, member: str) -> int:
    """Return the 64-bit hash of ``owner`` and ``member``.

    It is the weight of ``member`` for ``owner``, which prefers the members of
    the highest weight: highest random weight hashing, Thaler and Ravishankar,
    "Using name-based mappings to increase hit rates", 1998.
    """
    return xxhash.xxh3_64_intdigest(f"{owner}\x00{member}".encode())


def choose_across_zones(
    owner: str, members: Iterable[_M], count: int
) -> tuple[_M, ...]:
    """Return ``count`` members for ``owner``, taken from each zone in turn.

    All are returned if there are no more than ``count``. If a member is added
    or removed, at most one member of its zone and one of another zone change.
    """
    candidates = tuple(members)
    if len(candidates) <= count:
        return candidates
    return tuple(itertools.islice(_alternate_zones(owner, candidates), count))


def _alternate_zones(owner: str, members: tuple[_M, ...]) -> Iterator[_M]:
    """Yield the members by falling weight, one of each zone in turn."""
    weighted_by_zone: dict[Hashable, list[tuple[int, str, _M]]] = {}
    for member in members:
        weighted = (rendezvous_hash(owner, member.vm_id), member.vm_id, member)
        weighted_by_zone.setdefault(member.zone, []).append(weighted)
    # The order of the zones depends on the owner, so that a remainder that
    # does not divide evenly does not go to the same zone for every owner.
    zones = sorted(weighted_by_zone, key=lambda zone: rendezvous_hash(owner, str(zone)))
    members_by_weight = [
        sorted(weighted_by_zone[zone], key=lambda item: item[:2])[::-1]
        for zone in zones
    ]
    for members_of_turn in itertools.zip_longest(*members_by_weight):
        yield from (item[2] for item in members_of_turn if item is not None)
