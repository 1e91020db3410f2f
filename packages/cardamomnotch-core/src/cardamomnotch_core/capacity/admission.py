"""Admission control for callers' requests at an entry."""

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
from ..routing.load import UpstreamLoadTracker
from .const import (
    FAIR_SHARE_LOAD_THRESHOLD,
    LOAD_CACHE_TTL_S,
    SHED_RETRY_AFTER_RANGE_S,
    SHEDDING_LOAD_THRESHOLD,
)
from .workspaces import CapacityError, WorkspaceUsage

_ROLE_ENTRY = "entry"


@attrs.frozen
class _AdmittedRequest:
    """Workspace and expected tokens of a request in flight."""

    workspace: str
    tokens: int


class RequestAdmission:
    """Refuses requests beyond a plan's limits or the upstreams' capacity."""

    def __init__(
        self,
        configuration: ConfigurationHolder,
        upstreams: UpstreamTable,
        loads: UpstreamLoadTracker,
        random_source: random.Random,
    ) -> None:
        self._configuration = configuration
        self._upstreams = upstreams
        self._load_tracker = loads
        self._random = random_source
        self._usage = WorkspaceUsage()
        self._admitted: dict[str, _AdmittedRequest] = {}
        self._entry_count = 1
        self._cached_load = 0.0
        self._cached_load_at_s = float("-inf")

    def diagnostics(self) -> dict[str, Any]:
        """Return the admission state for the state dump."""
        workspaces = {item.workspace for item in self._admitted.values()}
        return {
            "entries": self._entry_count,
            "load": self._cached_load,
            "in_flight": {
                name: self._usage.in_flight(name) for name in sorted(workspaces)
            },
        }

    def admit(self, request: CallerRequest, now_s: float) -> None:
        """Admit and count the request; raise CapacityError to refuse it.

        Requests with an unknown key are not checked here; the request handler
        refuses them.
        """
        record = self._configuration.record
        configuration = record.configuration if record else Configuration()
        workspace = configuration.workspaces_by_digest.get(request.key_digest)
        if workspace is None:
            return
        plan = plan_of(configuration, workspace.name)
        tokens = request.expected_tokens
        self._usage.check(workspace.name, plan, tokens, self._entry_count, now_s)
        if not request.service:
            self._check_load(
                workspace.name, request.request_class, configuration, now_s
            )
        self._usage.start(workspace.name, tokens)
        self._admitted[request.request_id] = _AdmittedRequest(workspace.name, tokens)

    def _check_load(
        self,
        workspace: str,
        class_name: str,
        configuration: Configuration,
        now_s: float,
    ) -> None:
        load = self._upstream_load(now_s)
        if load < FAIR_SHARE_LOAD_THRESHOLD:
            return
        if load >= _shedding_threshold(class_name, configuration):
            raise self._overload_error(
                f"upstream load {load:.0%} is too high for this class"
            )
        fair_share = self._usage.total_in_flight / max(1, self._usage.active_count)
        if self._usage.in_flight(workspace) > fair_share:
            raise self._overload_error(
                "workspace exceeds its fair share of the loaded upstreams"
            )

    def _overload_error(self, detail: str) -> CapacityError:
        retry_after_s = self._random.uniform(*SHED_RETRY_AFTER_RANGE_S)
        return CapacityError(
            detail, code=ResultCode.OVERLOADED, retry_after_s=retry_after_s
        )

    def _upstream_load(self, now_s: float) -> float:
        """Return the engines' load as a fraction of their limits."""
        if now_s - self._cached_load_at_s < LOAD_CACHE_TTL_S:
            return self._cached_load
        engines = [item for item in self._upstreams.usable(now_s) if item.versions]
        limit = sum(item.load.limit for item in engines)
        in_flight = sum(self._load_tracker.in_flight(item, now_s) for item in engines)
        # With no usable engine the load is 0 here, and routing refuses.
        self._cached_load = in_flight / limit if limit else 0.0
        self._cached_load_at_s = now_s
        return self._cached_load

    def observe(self, event: Event, resulting_actions: list[Action]) -> None:
        """Update entries and workspaces, and stop counting ended requests."""
        self._apply_event(event)
        for action in resulting_actions:
            self._apply_action(action)

    @singledispatchmethod
    def _apply_event(self, event: Event) -> None:
        return

    @_apply_event.register
    def _(self, event: events.CallerDisconnected) -> None:
        self._stop_counting(event.request_id)

    @_apply_event.register
    def _(self, event: events.VmListReceived) -> None:
        entries = [vm for vm in event.vms if vm.role == _ROLE_ENTRY and not vm.leaving]
        self._entry_count = max(1, len(entries))

    @_apply_event.register
    def _(self, event: events.ConfigurationOffered) -> None:
        names = event.record.configuration.workspaces_by_name
        self._usage.retain_only(frozenset(names))

    @singledispatchmethod
    def _apply_action(self, action: Action) -> None:
        return

    @_apply_action.register
    def _(self, action: actions.RefuseRequest) -> None:
        self._stop_counting(action.request_id)

    @_apply_action.register
    def _(self, action: actions.CompleteRequest) -> None:
        self._stop_counting(action.request_id, action.usage.completion_tokens)

    @_apply_action.register
    def _(self, action: actions.AnswerFromJournal) -> None:
        self._stop_counting(action.request_id, used_tokens=0)

    def _stop_counting(self, request_id: str, used_tokens: int | None = None) -> None:
        admitted = self._admitted.pop(request_id, None)
        if admitted is None:
            return
        used = admitted.tokens if used_tokens is None else used_tokens
        self._usage.end(admitted.workspace, admitted.tokens - used)


def _shedding_threshold(class_name: str, configuration: Configuration) -> float:
    """Return the upstream load at which requests of a class are shed.

    Classes of lower priority are shed at a lower load.
    """
    priorities = sorted({item.priority for item in configuration.classes}, reverse=True)
    request_class = configuration.classes_by_name.get(class_name)
    if request_class is None:
        return SHEDDING_LOAD_THRESHOLD
    rank = priorities.index(request_class.priority)
    if rank == len(priorities) - 1:
        # The highest-priority class is only refused by sidecars.
        return float("inf")
    return SHEDDING_LOAD_THRESHOLD + (1 - SHEDDING_LOAD_THRESHOLD) * rank / (
        len(priorities) - 1
    )


def refusal_action(request_id: str, error: CardamomnotchError) -> Action:
    """Return the action that refuses a request before any attempt."""
    return actions.RefuseRequest(
        request_id=request_id,
        code=error.code,
        detail=error.detail,
        retry_after_s=error.retry_after_s,
        not_run=True,
    )
