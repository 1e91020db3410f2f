"""Admission checks on every attempt before it is sent to the upstream."""

import attrs

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import AttemptRequest
from cardamomnotch_protocol.result_codes import ResultCode

from ..configuration.holder import ConfigurationHolder
from ..nodes.identity import SidecarIdentity
from ..placement.reconciler import PlacementReconciler
from ..plans.allowance import allowed_route, allowed_versions
from ..quarantine.crash_tracker import CrashTracker
from ..quarantine.models import fingerprint_key
from ..quarantine.registry import QuarantineRegistry
from .limiter import ConcurrencyLimiter


class AdmissionError(CardamomnotchError):
    """Raised when the sidecar refuses an attempt."""


@attrs.define(kw_only=True)
class UpstreamHealth:
    """Last known state of the sidecar's upstream."""

    reachable: bool
    start_id: str = ""
    versions: tuple[str, ...] = ()
    # Time until which the upstream has asked for no new requests.
    busy_until_s: float = float("-inf")


class AdmissionController:
    """Decides whether an attempt may run on this sidecar's upstream.

    Checks the active configuration, the out-of-service marks, the upstream's
    health, quarantine and the concurrency limit.
    """

    def __init__(
        self,
        identity: SidecarIdentity,
        configuration: ConfigurationHolder,
        limiter: ConcurrencyLimiter,
        upstream: UpstreamHealth,
        *,
        crash_tracker: CrashTracker,
        quarantine: QuarantineRegistry,
        placement_reconciler: PlacementReconciler,
    ) -> None:
        self._identity = identity
        self._configuration = configuration
        self._limiter = limiter
        self._upstream = upstream
        self._crash_tracker = crash_tracker
        self._quarantine = quarantine
        self._placement_reconciler = placement_reconciler

    def check(
        self,
        request: AttemptRequest,
        now_s: float,
        *,
        behind: bool,
        draining: bool,
        fenced: bool,
    ) -> None:
        """Admit ``request`` and count it against the concurrency limit.

        ``behind`` is true if this sidecar's configuration is older than the
        entry's, ``fenced`` if the attempt was fenced before it arrived. The
        concurrency limit comes last, as it counts the attempt. Raises
        AdmissionError, PlanError or a quarantine error if the attempt may
        not run.
        """
        if request.incarnation != self._identity.incarnation:
            raise AdmissionError(code=ResultCode.INCARNATION_MISMATCH)
        if fenced:
            raise AdmissionError(code=ResultCode.ATTEMPT_FENCED)
        if draining:
            raise AdmissionError(code=ResultCode.SIDECAR_DRAINING)
        if behind or self._configuration.record is None:
            raise AdmissionError(code=ResultCode.REVISION_BEHIND)
        if request.timeout_ms <= 0:
            raise AdmissionError(code=ResultCode.DEADLINE_PASSED)
        if not self._upstream.reachable:
            raise AdmissionError(code=ResultCode.UPSTREAM_UNREACHABLE)
        self._check_out_of_service()
        self._check_plan(request)
        self._check_quarantine(request, now_s)
        self._check_concurrency(request, now_s)

    def _check_quarantine(self, request: AttemptRequest, now_s: float) -> None:
        key = fingerprint_key(request.workspace, request.fingerprint)
        self._quarantine.check(key, now_s)
        self._crash_tracker.check(request, now_s)

    def _check_concurrency(self, request: AttemptRequest, now_s: float) -> None:
        busy_s = self._upstream.busy_until_s - now_s
        if busy_s > 0:
            raise AdmissionError(code=ResultCode.UPSTREAM_FULL, retry_after_s=busy_s)
        admitted = self._limiter.admit(
            request.attempt_id,
            request.expected_tokens,
            priority=request.priority,
            streamed=request.stream,
        )
        if not admitted:
            raise AdmissionError(
                code=ResultCode.UPSTREAM_FULL,
                retry_after_s=self._limiter.retry_after_s(now_s),
            )

    @property
    def is_out_of_service(self) -> bool:
        """Return whether this VM or its zone is marked out of service."""
        return self._out_of_service_code is not None

    @property
    def _out_of_service_code(self) -> ResultCode | None:
        record = self._configuration.record
        if record is None:
            return None
        marks = record.configuration.marks
        if self._identity.zone in marks.zones_out:
            return ResultCode.ZONE_OUT
        return ResultCode.VM_OUT if self._identity.vm_id in marks.vms_out else None

    def _check_out_of_service(self) -> None:
        code = self._out_of_service_code
        if code is not None:
            raise AdmissionError(code=code)

    def _check_plan(self, request: AttemptRequest) -> None:
        configuration = self._configuration.record.configuration
        if request.service:
            allowed_route(
                configuration,
                request.workspace,
                request.service,
                request.method,
                request.path,
            )
            return
        full_name = f"{request.model}/{request.version}"
        allowed_versions(configuration, request.workspace, full_name)
        loaded = full_name in self._upstream.versions
        if not loaded or self._placement_reconciler.is_to_be_unloaded(full_name):
            raise AdmissionError(code=ResultCode.VERSION_NOT_LOADED)
