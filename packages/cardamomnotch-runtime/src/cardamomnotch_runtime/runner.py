"""The seam between a node and its shell."""

import logging
from collections.abc import Callable
from typing import Any, Protocol

from cardamomnotch_core.nodes.actions import Action, LogStateChange
from cardamomnotch_core.nodes.events import Event

_LOGGER = logging.getLogger(__name__)


class Node(Protocol):
    """A state machine without I/O."""

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Return the actions that follow from ``event``."""


class NodeRunner:
    """Hands events to a node and its actions to their performers."""

    def __init__(self, node: Node, clock: Callable[[], float]) -> None:
        self._node = node
        self._clock = clock
        self._performers: dict[type[Action], Callable[[Any], None]] = {
            LogStateChange: _report_change
        }
        self._observers: dict[type[Action], list[Callable[[Any], None]]] = {}

    def register(
        self, action_class: type[Action], performer: Callable[[Any], None]
    ) -> None:
        """Have ``performer`` carry out actions of ``action_class``."""
        self._performers[action_class] = performer

    def observe(
        self, action_class: type[Action], observer: Callable[[Any], None]
    ) -> Callable[[], None]:
        """Tell ``observer`` of actions, and return what unsubscribes it."""
        observers = self._observers.setdefault(action_class, [])
        observers.append(observer)

        def unsubscribe() -> None:
            observers.remove(observer)

        return unsubscribe

    def dispatch(self, event: Event) -> list[Action]:
        """Handle ``event``, perform its actions and return them.

        Actions without a performer are left to the caller.
        """
        result = self._node.handle(event, self._clock())
        for action in result:
            for observer in tuple(self._observers.get(type(action), ())):
                observer(action)
            performer = self._performers.get(type(action))
            if performer is not None:
                performer(action)
        return result


def _report_change(action: LogStateChange) -> None:
    _LOGGER.info("%s", action.text)
