"""Commands that show the state of running processes."""

from pathlib import Path
from typing import Any

import aiohttp
import attrs
import click
import orjson

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from .fleet import ProcessStatus, async_read_fleet_status
from .options import run_command, settings_option

_TIMEOUT = aiohttp.ClientTimeout(total=5.0)


@click.command()
@click.argument("admin_address")
def state(admin_address: str) -> None:
    """Print the state dump of the process at ADMIN_ADDRESS ("ip:port")."""
    data = run_command(_async_state(admin_address))
    click.echo(orjson.dumps(data, option=orjson.OPT_INDENT_2))


@click.command()
@settings_option
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def status(settings_path: Path, as_json: bool) -> None:
    """Print the active configuration revision of every listed process."""
    processes = run_command(async_read_fleet_status(settings_path))
    if as_json:
        data = [attrs.asdict(item) for item in processes]
        click.echo(orjson.dumps(data, option=orjson.OPT_INDENT_2))
        return
    newest = max((item.revision or 0 for item in processes), default=0)
    click.echo(f"newest revision {newest}")
    for item in processes:
        click.echo(_status_line(item, newest))


def _status_line(item: ProcessStatus, newest: int) -> str:
    line = f"{item.vm_id} {item.role} {item.zone} {item.state}"
    if item.revision is None:
        return f"{line} does not answer"
    behind = "" if item.revision == newest else " BEHIND"
    return f"{line} revision {item.revision}{behind}"


async def _async_state(admin_address: str) -> dict[str, Any]:
    url = f"http://{admin_address}/state"
    try:
        async with (
            aiohttp.ClientSession(timeout=_TIMEOUT) as session,
            session.get(url) as response,
        ):
            return orjson.loads(await response.read())
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
        raise CardamomnotchError(
            f"{url}: state dump not read: {type(error).__name__}",
            code=ResultCode.SIDECAR_UNREACHABLE,
        ) from error
