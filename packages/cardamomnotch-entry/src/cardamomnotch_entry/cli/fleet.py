"""The active configuration revision of every process."""

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
_POLL_INTERVAL_S = 0.5
# Higher than any active revision, so that each process replies with its own.
_ABOVE_ANY_REVISION = 2**62


@attrs.frozen(kw_only=True)
class ProcessStatus:
    """A process in the VM list.

    ``revision`` is None if the process did not respond.
    """

    vm_id: str
    zone: str
    role: str
    state: str
    revision: int | None


async def async_read_fleet_status(settings_path: Path) -> tuple[ProcessStatus, ...]:
    """Return the status of every process in the VM list.

    Raises SettingsError if no inner key is configured, and VmListError if the
    VM list cannot be read.
    """
    settings = load_settings(settings_path, OperatorSettings)
    if not settings.inner_keys:
        raise SettingsError(f"{settings_path}: inner_keys: required to query processes")
    async with aiohttp.ClientSession(
        headers=inner_headers(settings.inner_keys), timeout=_TIMEOUT
    ) as session:
        # This session has no inner key, which the platform must not receive.
        async with aiohttp.ClientSession() as platform_session:
            vms = await VmListClient(
                platform_session, settings.platform.vm_list_url
            ).async_read()
        return tuple(
            await asyncio.gather(*(_async_read_status(session, vm) for vm in vms or ()))
        )


async def _async_read_status(
    session: aiohttp.ClientSession, vm: ListedVm
) -> ProcessStatus:
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
            params={"revision": str(_ABOVE_ANY_REVISION)},
        ) as response:
            message = codec.decode(await response.read()).message
    except (aiohttp.ClientError, TimeoutError, OSError, CardamomnotchError):
        return None
    return message.revision if isinstance(message, ConfigurationReply) else None


def processes_behind(
    processes: tuple[ProcessStatus, ...], revision: int
) -> tuple[ProcessStatus, ...]:
    """Return the processes whose active revision is below ``revision``."""
    return tuple(item for item in processes if (item.revision or 0) < revision)


async def async_wait_until_active(
    settings_path: Path,
    revision: int,
    timeout_s: float,
    report: Callable[[str], None],
) -> bool:
    """Wait until ``revision`` is active in every process.

    Returns False after ``timeout_s``. Each change of the progress is passed to
    ``report``.
    """
    deadline_s = asyncio.get_running_loop().time() + timeout_s
    last_text = ""
    while True:
        processes = await async_read_fleet_status(settings_path)
        behind = processes_behind(processes, revision)
        text = _progress_text(processes, behind)
        if text != last_text:
            report(text)
            last_text = text
        if not behind:
            return True
        if asyncio.get_running_loop().time() >= deadline_s:
            return False
        await asyncio.sleep(_POLL_INTERVAL_S)


def _progress_text(
    processes: tuple[ProcessStatus, ...], behind: tuple[ProcessStatus, ...]
) -> str:
    text = f"in force in {len(processes) - len(behind)} of {len(processes)}"
    if not behind:
        return text
    return f"{text}; not yet: {', '.join(item.vm_id for item in behind)}"
