"""Which revision every process has in force."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import aiohttp
import attrs

from cardamomnotch_platform.vm_list.client import ListedVm, VmListClient
from cardamomnotch_protocol import codec
from cardamomnotch_protocol.const import PATH_CONFIGURATION
from cardamomnotch_protocol.exceptions import CardamomnotchError
from cardamomnotch_protocol.models import ConfigurationReply
from cardamomnotch_runtime.auth import inner_headers
from cardamomnotch_runtime.settings import SettingsError, load_settings

from ..settings import OperatorSettings

_TIMEOUT = aiohttp.ClientTimeout(total=2.0)
_POLL_S = 0.5
# A revision that no process is ahead of, so that each answers its own.
_NO_REVISION_ABOVE = 2**62


@attrs.frozen(kw_only=True)
class ProcessStatus:
    """A listed process; no revision means that it did not answer."""

    vm_id: str
    zone: str
    role: str
    state: str
    revision: int | None


async def async_fleet_status(settings_path: Path) -> tuple[ProcessStatus, ...]:
    """Return the status of every process that the VM list names.

    Raises SettingsError without an inner key, VmListError without a list.
    """
    settings = load_settings(settings_path, OperatorSettings)
    if not settings.inner_keys:
        raise SettingsError(f"{settings_path}: inner_keys: needed to ask processes")
    async with aiohttp.ClientSession(
        headers=inner_headers(settings.inner_keys), timeout=_TIMEOUT
    ) as session:
        # The list comes without the inner key, which the platform never sees.
        async with aiohttp.ClientSession() as plain:
            vms = await VmListClient(plain, settings.platform.vm_list_url).async_read()
        return tuple(
            await asyncio.gather(*(_async_ask(session, vm) for vm in vms or ()))
        )


async def _async_ask(session: aiohttp.ClientSession, vm: ListedVm) -> ProcessStatus:
    return ProcessStatus(
        vm_id=vm.vm_id,
        zone=vm.zone,
        role=vm.role,
        state=vm.state,
        revision=await _async_revision(session, vm.address),
    )


async def _async_revision(session: aiohttp.ClientSession, address: str) -> int | None:
    try:
        async with session.get(
            f"http://{address}{PATH_CONFIGURATION}",
            params={"revision": str(_NO_REVISION_ABOVE)},
        ) as response:
            message = codec.decode(await response.read()).message
    except (aiohttp.ClientError, TimeoutError, OSError, CardamomnotchError):
        return None
    return message.revision if isinstance(message, ConfigurationReply) else None


def lagging(
    processes: tuple[ProcessStatus, ...], revision: int
) -> tuple[ProcessStatus, ...]:
    """Return the processes in which ``revision`` is not in force."""
    return tuple(item for item in processes if (item.revision or 0) < revision)


async def async_wait_in_force(
    settings_path: Path,
    revision: int,
    timeout_s: float,
    report: Callable[[str], None],
) -> bool:
    """Return whether ``revision`` came in force everywhere in time."""
    give_up_at_s = asyncio.get_running_loop().time() + timeout_s
    shown = ""
    while True:
        processes = await async_fleet_status(settings_path)
        behind = lagging(processes, revision)
        text = _progress(processes, behind)
        if text != shown:
            report(text)
            shown = text
        if not behind:
            return True
        if asyncio.get_running_loop().time() >= give_up_at_s:
            return False
        await asyncio.sleep(_POLL_S)


def _progress(
    processes: tuple[ProcessStatus, ...], behind: tuple[ProcessStatus, ...]
) -> str:
    text = f"in force in {len(processes) - len(behind)} of {len(processes)}"
    if not behind:
        return text
    return f"{text}; not yet: {', '.join(item.vm_id for item in behind)}"
