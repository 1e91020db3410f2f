"""Commands that read the request journal."""

from pathlib import Path

import click

from cardamomnotch_core.journal.models import WorkspaceTotal
from cardamomnotch_platform.store.journal import JournalStore
from cardamomnotch_protocol.models import JournalRecord

from ..journal.reader import async_read_outcome, async_read_totals
from .options import run_command, settings_option
from .store import async_open_store


@click.command()
@settings_option
def bills(settings_path: Path) -> None:
    """Print the requests and tokens committed for each workspace."""
    totals = run_command(_async_read_totals(settings_path))
    click.echo("workspace requests prompt_tokens completion_tokens")
    for workspace, total in sorted(totals.items()):
        click.echo(
            f"{workspace} {total.requests} {total.prompt_tokens}"
            f" {total.completion_tokens}"
        )


@click.command()
@click.argument("workspace")
@click.argument("idempotency_key")
@settings_option
def outcome(workspace: str, idempotency_key: str, settings_path: Path) -> None:
    """Print the journal record of a request that must not be repeated."""
    record = run_command(_async_read_outcome(settings_path, workspace, idempotency_key))
    if record is None:
        click.echo("no journal record for this workspace and idempotency key")
        return
    click.echo(f"state {record.state}")
    click.echo(f"attempt {record.attempt_id}")
    click.echo(f"code {int(record.code)} {record.code.name.lower()}")
    if record.vm_id:
        click.echo(f"sent to {record.vm_id} at {record.address}")
    if record.status:
        click.echo(f"answered {record.status}, {record.answer_bytes} bytes")


async def _async_read_totals(settings_path: Path) -> dict[str, WorkspaceTotal]:
    async with async_open_store(settings_path) as store:
        return await async_read_totals(JournalStore(store))


async def _async_read_outcome(
    settings_path: Path, workspace: str, idempotency_key: str
) -> JournalRecord | None:
    async with async_open_store(settings_path) as store:
        return await async_read_outcome(JournalStore(store), workspace, idempotency_key)
