"""Measures membership tables and configuration messages by deployment size."""

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

# (entries, upstreams) of each run.
_SIZES = ((3, 18), (10, 100), (100, 1_800), (670, 12_000))
_VERSION_COUNT = 19
_WORKSPACE_COUNT = 500
_ZONE_COUNT = 15
_ROUND_COUNT = 20


def _create_configuration() -> Configuration:
    model_names = [f"model-{index}" for index in range(_VERSION_COUNT)]
    return Configuration(
        models=tuple(
            Model(name=name, versions=(Version(name="v1", cost_per_1k_tokens=1.0),))
            for name in model_names
        ),
        plans=tuple(
            Plan(
                name=f"plan-{n}", models=tuple(PlanModel(model=m) for m in model_names)
            )
            for n in range(20)
        ),
        workspaces=tuple(
            Workspace(
                name=f"workspace-{n}", plan=f"plan-{n % 20}", key_digests=(f"{n:064x}",)
            )
            for n in range(_WORKSPACE_COUNT)
        ),
    )


def _create_message(
    configuration: Configuration, revision: int
) -> ConfigurationMessage:
    document = document_from_configuration(configuration)
    return ConfigurationMessage(
        revision=revision,
        change_id="c" * 32,
        digest=document_digest(document),
        document=document,
    )


def _create_vms(entries: int, upstreams: int) -> list[Vm]:
    def create_vm(role: str, index: int, serves: tuple[str, ...] = ()) -> Vm:
        return Vm(
            vm_id=f"{role}-{index}",
            address=f"10.0.{index // 250}.{index % 250}:7000",
            zone=f"zone-{index % _ZONE_COUNT}",
            role=role,
            serves=serves,
        )

    served_models = [(f"model-{n}",) for n in range(_VERSION_COUNT)]
    return [create_vm("entry", n) for n in range(entries)] + [
        create_vm("upstream", n, served_models[n % _VERSION_COUNT])
        for n in range(upstreams)
    ]


def _measure_cpu_ms(action) -> float:
    """Return the processor time of one call of ``action``, in ms."""
    started_s = time.process_time()
    action()
    return 1000 * (time.process_time() - started_s)


def _table_rows(entries: int, upstreams: int) -> list[Row]:
    vms = _create_vms(entries, upstreams)
    name = f"{entries} entries, {upstreams} upstreams"
    version_names = [f"model-{n}/v1" for n in range(_VERSION_COUNT)]
    table = UpstreamTable("entry-0", "zone-0")
    first_list_ms = _measure_cpu_ms(
        lambda: table.update_from_vm_list(vms, version_names)
    )
    changed_list_ms = _measure_cpu_ms(
        lambda: table.update_from_vm_list(vms[:-1], version_names)
    )
    sampled_entries = min(entries, 67)
    entries_by_vm = Counter(
        vm.vm_id
        for index in range(sampled_entries)
        for vm in SubsetChooser(f"entry-{index}", f"zone-{index % _ZONE_COUNT}").choose(
            vms, version_names
        )
    )
    mean_entries = sum(entries_by_vm.values()) / upstreams * entries / sampled_entries
    return [
        Row(label=f"{name}: upstreams used", value=f"{len(table.upstreams)}", unit=""),
        Row(
            label=f"{name}: entries to a sidecar",
            value=f"{mean_entries:.1f}",
            unit="mean",
        ),
        Row(
            label=f"{name}: first VM list",
            value=f"{first_list_ms:.1f}",
            unit="ms of CPU",
        ),
        Row(
            label=f"{name}: changed list",
            value=f"{changed_list_ms:.1f}",
            unit="ms of CPU",
        ),
        *_heartbeat_rows(name, table),
    ]


def _heartbeat_rows(name: str, table: UpstreamTable) -> list[Row]:
    upstreams = table.upstreams
    reply = HeartbeatReply(
        vm_id="u", zone="z", incarnation="i" * 32, revision=1, accepting=True
    )
    encoded_reply = codec.encode(reply)

    def record_all_replies() -> None:
        for upstream in upstreams:
            message = codec.decode(
                encoded_reply.replace(b'"u"', f'"{upstream.vm_id}"'.encode())
            )
            table.record_heartbeat_reply(upstream.vm_id, message.message, 1.0)

    reply_ms = _measure_cpu_ms(record_all_replies) / len(upstreams)
    due_ms = _measure_cpu_ms(lambda: table.heartbeats_due(1, 1.1))
    return [
        Row(
            label=f"{name}: decode and take a reply", value=f"{reply_ms:.4f}", unit="ms"
        ),
        Row(label=f"{name}: look for what is due", value=f"{due_ms:.3f}", unit="ms"),
    ]


def _document_rows() -> list[Row]:
    previous = _create_message(_create_configuration(), 1)
    configuration = set_out_of_service(
        _create_configuration(), OutOfServiceKind.VERSION, "model-0/v1", out=True
    )
    current = _create_message(configuration, 2)
    change_log = ChangeLog()
    append_ms = _measure_cpu_ms(
        lambda: [change_log.append(previous, current) for _ in range(_ROUND_COUNT)]
    )
    changes = change_log.changes_since(1, current) or ChangeLog()
    decode_ms = _measure_cpu_ms(
        lambda: [record_from_message(current) for _ in range(_ROUND_COUNT)]
    )
    return [
        Row(
            label="whole document", value=f"{len(codec.encode(current))}", unit="bytes"
        ),
        Row(
            label="one mark changed",
            value=f"{len(codec.encode(changes))}",
            unit="bytes",
        ),
        Row(
            label="log a change",
            value=f"{append_ms / _ROUND_COUNT:.2f}",
            unit="ms of CPU",
        ),
        Row(
            label="check and read a document",
            value=f"{decode_ms / _ROUND_COUNT:.2f}",
            unit="ms of CPU",
        ),
    ]


def run() -> Report:
    """Measure configuration documents, then the tables at each size."""
    rows = _document_rows()
    for entries, upstreams in _SIZES:
        rows += _table_rows(entries, upstreams)
    return Report(
        title="Control's tables and documents",
        conditions=(
            f"In one process, {_VERSION_COUNT} versions, {_WORKSPACE_COUNT} workspaces,"
            f" {_ZONE_COUNT} zones; 10 cores shared with other work."
        ),
        rows=tuple(rows),
    )
