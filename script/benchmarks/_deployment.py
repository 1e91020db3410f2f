"""A deployment of today's size as processes, and callers of it."""

import asyncio
import json
import tomllib
from pathlib import Path
from typing import Final

import aiohttp
import attrs
import tomli_w
from tests.fixtures.local_system import CONFIGURATION_PATH, LocalSystem, free_port

from ._system import CALLER_KEY

VERSIONS: Final = ("drafter/v1", "drafter/v2")
TOKENS: Final = 8
_TOKEN_S: Final = 0.01
_TIMEOUT: Final = aiohttp.ClientTimeout(total=20.0)
_CAPACITY: Final = 100_000
_DONE: Final = b"data: [DONE]\n\n"


@attrs.frozen(kw_only=True)
class Deployment:
    """Size of one user's system today."""

    name: str
    zones: tuple[str, ...]
    engines: int
    services: int


ASSOCIATION: Final = Deployment(
    name="association",
    zones=("ljubljana-a", "ljubljana-b", "domzale"),
    engines=6,
    services=3,
)
RIETDAK: Final = Deployment(
    name="Rietdak",
    zones=("nl-noord-a", "nl-noord-b", "nl-noord-c"),
    engines=9,
    services=3,
)


@attrs.frozen(kw_only=True)
class Call:
    """How one model call ended, in seconds since the load began."""

    started_at_s: float
    request_class: str
    is_whole: bool
    first_token_s: float = 0.0
    version: str = ""


class DeployedSystem(LocalSystem):
    """A deployment on loopback, with a rating service."""

    def __init__(self, directory: Path, deployment: Deployment) -> None:
        super().__init__(directory, deployment.zones)
        self._lists = directory / "lists.toml"
        self._deployment = deployment
        self.rating_url = f"http://127.0.0.1:{free_port()}"

    @property
    def platform(self) -> dict[str, str]:
        """Return the table ``platform`` of the settings."""
        return {**super().platform, "rating_url": self.rating_url}

    def start_all(self) -> None:
        """Start every process, and wait until all know each other."""
        deployment = self._deployment
        self.start_platform()
        self.start_stand_in("rating", "rating", self.rating_url)
        for index in range(deployment.engines):
            zone = deployment.zones[index % len(deployment.zones)]
            self.add_upstream_vm(f"engine-{index}", zone, "engine", list(VERSIONS))
        for index in range(deployment.services):
            zone = deployment.zones[index % len(deployment.zones)]
            self.add_upstream_vm(
                f"booking-{index}", zone, "plain_service", services=["booking"]
            )
        for index, zone in enumerate(deployment.zones):
            self.add_entry(f"entry-{index}", zone)
        self.publish_vm_list()
        self.wait_for(f"{self.store_url}/counts")
        self._write_lists()
        self.run_operator_command("config", "apply", str(self._lists))
        self.wait_until_ready()
        for gate in self.upstream_vms.values():
            self.set_faults(gate.upstream_url, token_s=_TOKEN_S)

    def _write_lists(self) -> None:
        lists = tomllib.loads(CONFIGURATION_PATH.read_text(encoding="utf-8"))
        for plan in lists["plans"]:
            plan["requests_per_s"] = float(_CAPACITY)
            plan["concurrent_requests"] = _CAPACITY
        self._lists.write_text(tomli_w.dumps(lists), encoding="utf-8")

    def started_in_zone(self, zone: str) -> int:
        """Return how many calls the engines of ``zone`` have started."""
        return sum(
            self.counts(vm_id).get("started", 0)
            for vm_id, gate in self.upstream_vms.items()
            if gate.zone == zone and vm_id.startswith("engine")
        )


async def async_call(
    session: aiohttp.ClientSession,
    url: str,
    request_class: str,
    began_at_s: float,
    number: int,
) -> Call:
    """Make one streamed model call, and return how it ended."""
    clock = asyncio.get_running_loop().time
    started_at_s = clock()
    body = {
        "model": "auto",
        "stream": True,
        "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": f"question {number}"}],
    }
    headers = {
        "Authorization": f"Bearer {CALLER_KEY}",
        "X-Cardamomnotch-Class": request_class,
    }
    received, first_token_s, version = b"", 0.0, ""
    try:
        async with session.post(
            f"{url}/v1/chat/completions",
            data=json.dumps(body),
            headers=headers,
            timeout=_TIMEOUT,
        ) as response:
            version = response.headers.get("X-Cardamomnotch-Version", "")
            async for data in response.content.iter_any():
                first_token_s = first_token_s or clock() - started_at_s
                received += data
    except (aiohttp.ClientError, TimeoutError):
        received = b""
    return Call(
        started_at_s=started_at_s - began_at_s,
        request_class=request_class,
        is_whole=received.endswith(_DONE),
        first_token_s=first_token_s,
        version=version,
    )
