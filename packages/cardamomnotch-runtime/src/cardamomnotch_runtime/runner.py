"""Delivery of events to a node and execution of its actions."""

import logging
from collections.abc import Callable
from typing import Any, Protocol

from cardamomnotch_core.nodes.actions import Action, LogStateChange
from cardamomnotch_core.nodes.events import Event

_LOGGER = logging.getLogger(__name__)


class Node(Protocol):
    """A state machine that does no I/O itself."""

    def handle(self, event: Event, now_s: float) -> list[Action]:
        """Process ``event`` and return the actions to be executed."""


class NodeRunner:
    """Passes events to a node, and its actions to their handlers."""

    def __init__(self, node: Node, clock: Callable[[], float]) -> None:
        self._node = node
        self._clock = clock
        self._handlers: dict[type[Action], Callable[[Any], None]] = {
            LogStateChange: _log_state_change
        }
        self._observers: dict[type[Action], list[Callable[[Any], None]]] = {}

    def register(
        self, action_class: type[Action], handler: Callable[[Any], None]
    ) -> None:
        """Set the ``handler`` that executes actions of ``action_class``."""
        self._handlers[action_class] = handler

    def observe(
        self, action_class: type[Action], observer: Callable[[Any], None]
    ) -> Callable[[], None]:
        """Call ``observer`` with each action of ``action_class``.

        Observers are called before the action's handler. Returns a function
        that unsubscribes the observer.
        """
        observers = self._observers.setdefault(action_class, [])
        observers.append(observer)

        def unsubscribe() -> None:
            observers.remove(observer)

        return unsubscribe

    def dispatch(self, event: Event) -> list[Action]:
        """Pass ``event`` to the node, execute its actions and return them.

        Actions without a handler are left to the caller.
        """
        actions = self._node.handle(event, self._clock())
        for action in actions:
            for observer in tuple(self._observers.get(type(action), ())):
                observer(action)
            handler = self._handlers.get(type(action))
            if handler is not None:
                handler(action)
        return actions


def _log_state_change(action: LogStateChange) -> None:
    _LOGGER.info("%s", action.text)
