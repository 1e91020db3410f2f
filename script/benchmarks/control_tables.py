"""Control's tables and messages, up to 670 entries and 12,000 upstreams."""

import time
from collections import Counter

from cardamomnotch_core.configuration.deltas import ChangeLog
from cardamomnotch_core.configuration.document import (
    document_digest,
    document_from_configuration,
    record_from_message,
)
from cardamomnotch_core.configuration.models import (
    Configuration,
    Model,
    Plan,
    PlanModel,
    Version,
    Workspace,
)
from cardamomnotch_core.configuration.out_of_service import (
    OutOfServiceKind,
    set_out_of_service,
)
from cardamomnotch_core.membership.models import Vm
from cardamomnotch_core.membership.subsets import SubsetChooser
from cardamomnotch_core.membership.table import UpstreamTable
from cardamomnotch_protocol import codec
from cardamomnotch_protocol.models import ConfigurationMessage, HeartbeatReply

from script.benchmarks.report import Report, Row

_SIZES = ((3, 18), (10, 100), (100, 1_800), (670, 12_000))
_VERSIONS = 19
_WORKSPACES = 500
_ZONES = 15
_ROUNDS = 20


def _lists() -> Configuration:
    names = [f"model-{index}" for index in range(_VERSIONS)]
    return Configuration(
        models=tuple(
            Model(name=name, versions=(Version(name="v1", cost_per_1k_tokens=1.0),))
            for name in names
        ),
        plans=tuple(
            Plan(name=f"plan-{n}", models=tuple(PlanModel(model=m) for m in names))
            for n in range(20)
        ),
        workspaces=tuple(
            Workspace(
                name=f"workspace-{n}", plan=f"plan-{n % 20}", key_digests=(f"{n:064x}",)
            )
            for n in range(_WORKSPACES)
        ),
    )


def _message(lists: Configuration, revision: int) -> ConfigurationMessage:
    document = document_from_configuration(lists)
    return ConfigurationMessage(
        revision=revision,
        change_id="c" * 32,
        digest=document_digest(document),
        document=document,
    )


def _vms(entries: int, upstreams: int) -> list[Vm]:
    def vm(role: str, index: int, serves: tuple[str, ...] = ()) -> Vm:
        return Vm(
            vm_id=f"{role}-{index}",
            address=f"10.0.{index // 250}.{index % 250}:7000",
            zone=f"zone-{index % _ZONES}",
            role=role,
            serves=serves,
        )

    served = [(f"model-{n}",) for n in range(_VERSIONS)]
    return [vm("entry", n) for n in range(entries)] + [
        vm("upstream", n, served[n % _VERSIONS]) for n in range(upstreams)
    ]


def _milliseconds(step) -> float:
    started_s = time.process_time()
    step()
    return 1000 * (time.process_time() - started_s)


def _subset_rows(entries: int, upstreams: int) -> list[Row]:
    vms = _vms(entries, upstreams)
    name = f"{entries} entries, {upstreams} upstreams"
    names = [f"model-{n}/v1" for n in range(_VERSIONS)]
    table = UpstreamTable("entry-0", "zone-0")
    first = _milliseconds(lambda: table.update_from_vm_list(vms, names))
    again = _milliseconds(lambda: table.update_from_vm_list(vms[:-1], names))
    sampled = min(entries, 67)
    uses = Counter(
        vm.vm_id
        for index in range(sampled)
        for vm in SubsetChooser(f"entry-{index}", f"zone-{index % _ZONES}").choose(
            vms, names
        )
    )
    mean = sum(uses.values()) / upstreams * entries / sampled
    return [
        Row(what=f"{name}: upstreams used", value=f"{len(table.upstreams)}", unit=""),
        Row(what=f"{name}: entries to a sidecar", value=f"{mean:.1f}", unit="mean"),
        Row(what=f"{name}: first VM list", value=f"{first:.1f}", unit="ms of CPU"),
        Row(what=f"{name}: changed list", value=f"{again:.1f}", unit="ms of CPU"),
        *_heartbeat_rows(name, table),
    ]


def _heartbeat_rows(name: str, table: UpstreamTable) -> list[Row]:
    upstreams = table.upstreams
    reply = HeartbeatReply(
        vm_id="u", zone="z", incarnation="i" * 32, revision=1, accepting=True
    )
    data = codec.encode(reply)

    def take_all() -> None:
        for upstream in upstreams:
            message = codec.decode(data.replace(b'"u"', f'"{upstream.vm_id}"'.encode()))
            table.record_heartbeat_reply(upstream.vm_id, message.message, 1.0)

    cost = _milliseconds(take_all) / len(upstreams)
    due = _milliseconds(lambda: table.heartbeats_due(1, 1.1))
    return [
        Row(what=f"{name}: decode and take a reply", value=f"{cost:.4f}", unit="ms"),
        Row(what=f"{name}: look for what is due", value=f"{due:.3f}", unit="ms"),
    ]


def _document_rows() -> list[Row]:
    former = _message(_lists(), 1)
    lists = set_out_of_service(
        _lists(), OutOfServiceKind.VERSION, "model-0/v1", out=True
    )
    current = _message(lists, 2)
    log = ChangeLog()
    log_ms = _milliseconds(
        lambda: [log.append(former, current) for _ in range(_ROUNDS)]
    )
    changes = log.changes_since(1, current) or ChangeLog()
    take_ms = _milliseconds(
        lambda: [record_from_message(current) for _ in range(_ROUNDS)]
    )
    return [
        Row(what="whole document", value=f"{len(codec.encode(current))}", unit="bytes"),
        Row(
            what="one mark changed", value=f"{len(codec.encode(changes))}", unit="bytes"
        ),
        Row(what="log a change", value=f"{log_ms / _ROUNDS:.2f}", unit="ms of CPU"),
        Row(
            what="check and read a document",
            value=f"{take_ms / _ROUNDS:.2f}",
            unit="ms of CPU",
        ),
    ]


def run() -> Report:
    """Measure tables and documents."""
    rows = _document_rows()
    for entries, upstreams in _SIZES:
        rows += _subset_rows(entries, upstreams)
    return Report(
        title="Control's tables and documents",
        conditions=(
            f"In one process, {_VERSIONS} versions, {_WORKSPACES} workspaces,"
            f" {_ZONES} zones; 10 cores shared with other work."
        ),
        rows=tuple(rows),
    )
