"""Admission of callers' requests at an entry."""

import random
from functools import singledispatchmethod
from typing import Any

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from ..attempts.entry_table import CallerRequest
from ..configuration.holder import ConfigurationHolder
from ..configuration.models import Configuration
from ..membership.table import UpstreamTable
from ..nodes import actions, events
from ..nodes.actions import Action
from ..nodes.events import Event
from ..plans.allowance import plan_of
from ..routing.load import LoadBook
from .const import (
    FAIR_FROM_LOAD,
    LOAD_MAX_AGE_S,
    SHED_FROM_LOAD,
    SHED_RETRY_AFTER_S,
)
from .workspaces import CapacityError, WorkspaceUsage

_ROLE_ENTRY = "entry"


@attrs.frozen
class _Admitted:
    workspace: str
    tokens: int


class Admission:
    """Refuses at once what a plan, or the upstreams, do not bear."""

    def __init__(
        self,
        configuration: ConfigurationHolder,
        upstreams: UpstreamTable,
        loads: LoadBook,
        random_source: random.Random,
    ) -> None:
        self._configuration = configuration
        self._upstreams = upstreams
        self._loads = loads
        self._random = random_source
        self._usage = WorkspaceUsage()
        self._admitted: dict[str, _Admitted] = {}
        self._entries = 1
        self._load = 0.0
        self._load_at_s = float("-inf")

    def diagnostics(self) -> dict[str, Any]:
        """Return the state for the dump."""
        workspaces = {item.workspace for item in self._admitted.values()}
        return {
            "entries": self._entries,
            "load": self._load,
            "in_flight": {
                name: self._usage.in_flight(name) for name in sorted(workspaces)
            },
        }

    def admit(self, request: CallerRequest, now_s: float) -> None:
        """Count the request; raise CapacityError if it is refused.

        Requests that will be refused for another reason pass here.
        """
        record = self._configuration.record
        lists = record.configuration if record else Configuration()
        workspace = lists.workspaces_by_digest.get(request.key_digest)
        if workspace is None:
            return
        plan = plan_of(lists, workspace.name)
        tokens = request.expected_tokens
        self._usage.check(workspace.name, plan, tokens, self._entries, now_s)
        if not request.service:
            self._check_load(workspace.name, request.request_class, lists, now_s)
        self._usage.start(workspace.name, tokens)
        self._admitted[request.request_id] = _Admitted(workspace.name, tokens)

    def _check_load(
        self, workspace: str, class_name: str, lists: Configuration, now_s: float
    ) -> None:
        load = self._upstream_load(now_s)
        if load < FAIR_FROM_LOAD:
            return
        if load >= _shed_from(class_name, lists):
            raise self._overloaded(f"upstreams are at {load:.0%}")
        fair_part = self._usage.total_in_flight / max(1, self._usage.active)
        if self._usage.in_flight(workspace) > fair_part:
            raise self._overloaded("over the workspace's fair part")

    def _overloaded(self, detail: str) -> CapacityError:
        retry_after_s = self._random.uniform(*SHED_RETRY_AFTER_S)
        return CapacityError(
            detail, code=ResultCode.OVERLOADED, retry_after_s=retry_after_s
        )

    def _upstream_load(self, now_s: float) -> float:
        """Return the engines' expected load as a part of their limits."""
        if now_s - self._load_at_s < LOAD_MAX_AGE_S:
            return self._load
        engines = [item for item in self._upstreams.usable(now_s) if item.versions]
        limit = sum(item.load.limit for item in engines)
        in_flight = sum(self._loads.in_flight(item, now_s) for item in engines)
        # Without any engine known, routing refuses for its own reasons.
        self._load = in_flight / limit if limit else 0.0
        self._load_at_s = now_s
        return self._load

    def observe(self, event: Event, follow_up: list[Action]) -> None:
        """Stop counting requests that have ended."""
        self._learn(event)
        for action in follow_up:
            self._release(action)

    @singledispatchmethod
    def _learn(self, event: Event) -> None:
        return

    @_learn.register
    def _(self, event: events.CallerDisconnected) -> None:
        self._end(event.request_id)

    @_learn.register
    def _(self, event: events.VmListReceived) -> None:
        entries = [vm for vm in event.vms if vm.role == _ROLE_ENTRY and not vm.leaving]
        self._entries = max(1, len(entries))

    @_learn.register
    def _(self, event: events.ConfigurationOffered) -> None:
        names = event.record.configuration.workspaces_by_name
        self._usage.forget_all_but(frozenset(names))

    @singledispatchmethod
    def _release(self, action: Action) -> None:
        return

    @_release.register
    def _(self, action: actions.RefuseRequest) -> None:
        self._end(action.request_id)

    @_release.register
    def _(self, action: actions.CompleteRequest) -> None:
        self._end(action.request_id, action.usage.completion_tokens)

    @_release.register
    def _(self, action: actions.AnswerFromJournal) -> None:
        self._end(action.request_id, used_tokens=0)

    def _end(self, request_id: str, used_tokens: int | None = None) -> None:
        admitted = self._admitted.pop(request_id, None)
        if admitted is None:
            return
        used = admitted.tokens if used_tokens is None else used_tokens
        self._usage.end(admitted.workspace, admitted.tokens - used)


def _shed_from(class_name: str, lists: Configuration) -> float:
    """Return the load from which a class is shed; the lowest class goes first."""
    priorities = sorted({item.priority for item in lists.classes}, reverse=True)
    request_class = lists.classes_by_name.get(class_name)
    if request_class is None:
        return SHED_FROM_LOAD
    rank = priorities.index(request_class.priority)
    if rank == len(priorities) - 1:
        # The first class is refused by the gates alone.
        return float("inf")
    return SHED_FROM_LOAD + (1 - SHED_FROM_LOAD) * rank / (len(priorities) - 1)


def refusal_of(request_id: str, error: CardamomnotchError) -> Action:
    """Return the refusal of a request that has not been started."""
    return actions.RefuseRequest(
        request_id=request_id,
        code=error.code,
        detail=error.detail,
        retry_after_s=error.retry_after_s,
        not_run=True,
    )
