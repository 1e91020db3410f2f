"""Values that are derived from sequences which rarely change."""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

_Item = TypeVar("_Item")
_Value = TypeVar("_Value")

_MAX_VALUES = 32


class IdentityCache(Generic[_Item, _Value]):
    """Keeps a value for each of the last sequence objects.

    For sequences that are replaced instead of changed, such as the candidates of
    a service: comparing them would take as long as deriving the value.
    """

    def __init__(self, derive: Callable[[Sequence[_Item]], _Value]) -> None:
        self._derive = derive
        # The sequences are kept, so that no other object gets their ids.
        self._values: OrderedDict[int, tuple[Sequence[_Item], _Value]] = OrderedDict()

    def get(self, sequence: Sequence[_Item]) -> _Value:
        """Return the value of this sequence object."""
        known = self._values.get(id(sequence))
        if known is not None:
            return known[1]
        value = self._derive(sequence)
        self._values[id(sequence)] = sequence, value
        if len(self._values) > _MAX_VALUES:
            self._values.popitem(last=False)
        return value
