"""Client of the platform's VM list."""

import logging
from typing import Any

import aiohttp
import attrs
import orjson

from cardamomnotch_protocol.exceptions import SchemaError
from cardamomnotch_protocol.schema import strict_converter, structure
from cardamomnotch_protocol.timeouts import longest_reply_s

from ..exceptions import VmListError

_LOGGER = logging.getLogger(__name__)
_CONVERTER = strict_converter(forbid_extra_keys=False)
# Time without a byte after which the list is not read, in seconds.
_SILENCE_S = 2.0
_TIMEOUT = aiohttp.ClientTimeout(
    total=longest_reply_s(_SILENCE_S), sock_connect=_SILENCE_S, sock_read=_SILENCE_S
)


@attrs.frozen(kw_only=True)
class ListedVm:
    """A VM in the platform's list; ``address`` is "ip:port".

    ``serves`` may name the models, versions or services that the VM serves.
    """

    vm_id: str
    address: str
    zone: str
    role: str
    state: str = "live"
    serves: tuple[str, ...] = ()


class VmListClient:
    """Reads the VM list; sends its ETag to skip an unchanged list."""

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self._session = session
        self._url = url
        self._etag = ""

    async def async_read(self) -> tuple[ListedVm, ...] | None:
        """Return the listed VMs, or None if the list is unchanged.

        Raises VmListError if the list cannot be read.
        """
        headers = {"If-None-Match": self._etag} if self._etag else {}
        try:
            async with self._session.get(
                self._url, headers=headers, timeout=_TIMEOUT
            ) as response:
                if response.status == 304:
                    return None
                if response.status != 200:
                    raise VmListError(f"VM list returned HTTP status {response.status}")
                data = _require_vm_list(orjson.loads(await response.read()))
                etag = response.headers.get("ETag", "")
            vms = _decode_vms(data["vms"])
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise VmListError(
                f"VM list could not be read: {type(error).__name__}"
            ) from error
        except orjson.JSONDecodeError as error:
            raise VmListError(f"VM list is malformed: {error}") from error
        self._etag = etag
        return vms


def _require_vm_list(data: Any) -> Any:
    """Return ``data``; raise VmListError if its ``vms`` is not a list.

    An empty object or string must not be taken for a list without VMs.
    """
    if not isinstance(data, dict) or not isinstance(data.get("vms"), list):
        raise VmListError("VM list is malformed: vms is not a list")
    return data


def _decode_vms(items: list[Any]) -> tuple[ListedVm, ...]:
    """Return the VMs of a list without its malformed items.

    Raises VmListError if all of them are malformed.
    """
    vms = []
    for item in items:
        try:
            vms.append(structure(_CONVERTER, item, ListedVm))
        except SchemaError as error:
            _LOGGER.warning("VM in the list is malformed, not used: %s", error)
    if items and not vms:
        raise VmListError("VM list is malformed: none of its VMs can be decoded")
    return tuple(vms)
