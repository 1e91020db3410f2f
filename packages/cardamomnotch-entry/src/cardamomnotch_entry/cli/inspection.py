"""Commands that look into running processes."""

from typing import Any

import aiohttp
import click
import orjson

from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.result_codes import ResultCode

from .options import run_command

_TIMEOUT = aiohttp.ClientTimeout(total=5.0)


@click.command()
@click.argument("admin_address")
def state(admin_address: str) -> None:
    """Print the state of the process at ADMIN_ADDRESS ("ip:port")."""
    data = run_command(_async_state(admin_address))
    click.echo(orjson.dumps(data, option=orjson.OPT_INDENT_2))


@click.command()
@click.argument("admin_addresses", nargs=-1, required=True)
def status(admin_addresses: tuple[str, ...]) -> None:
    """Print which revision is in force at entries and their upstreams."""
    for address in admin_addresses:
        data = run_command(_async_state(address))
        identity = data["identity"]
        click.echo(f"{identity['vm_id']} revision {data['revision']}")
        for upstream in data.get("upstreams", ()):
            click.echo(f"  {upstream['vm_id']} revision {upstream['revision']}")


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
            f"{url}: {type(error).__name__}", code=ResultCode.SIDECAR_UNREACHABLE
        ) from error
