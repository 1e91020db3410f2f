"""Deployments of the users' present size as processes, and calls to them."""

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
TOKENS_PER_CALL: Final = 8
_TOKEN_INTERVAL_S: Final = 0.01
_CALL_TIMEOUT: Final = aiohttp.ClientTimeout(total=20.0)
_PLAN_LIMIT: Final = 100_000
_STREAM_END: Final = b"data: [DONE]\n\n"


@attrs.frozen(kw_only=True)
class Deployment:
    """Zones and machine counts of one user's present system."""

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
class CallResult:
    """How one model call ended.

    ``started_at_s`` counts from the start of the load, ``first_token_s`` from
    the start of the call.
    """

    started_at_s: float
    request_class: str
    is_complete: bool
    first_token_s: float = 0.0
    version: str = ""


class DeployedSystem(LocalSystem):
    """A deployment on loopback, with a stand-in of the rating service."""

    def __init__(self, directory: Path, deployment: Deployment) -> None:
        super().__init__(directory, deployment.zones)
        self._configuration_path = directory / "lists.toml"
        self._deployment = deployment
        self.rating_url = f"http://127.0.0.1:{free_port()}"

    @property
    def platform(self) -> dict[str, str]:
        """Return the table ``platform`` of the settings."""
        return {**super().platform, "rating_url": self.rating_url}

    def start_all(self) -> None:
        """Start every process and wait until the entries are ready."""
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
        self._write_configuration()
        self.run_operator_command("config", "apply", str(self._configuration_path))
        self.wait_until_ready()
        for upstream_vm in self.upstream_vms.values():
            self.set_faults(upstream_vm.upstream_url, token_s=_TOKEN_INTERVAL_S)

    def _write_configuration(self) -> None:
        configuration = tomllib.loads(CONFIGURATION_PATH.read_text(encoding="utf-8"))
        for plan in configuration["plans"]:
            plan["requests_per_s"] = float(_PLAN_LIMIT)
            plan["concurrent_requests"] = _PLAN_LIMIT
        self._configuration_path.write_text(
            tomli_w.dumps(configuration), encoding="utf-8"
        )

    def calls_started_in_zone(self, zone: str) -> int:
        """Return the number of calls that engines in ``zone`` have started."""
        return sum(
            self.counts(vm_id).get("started", 0)
            for vm_id, upstream_vm in self.upstream_vms.items()
            if upstream_vm.zone == zone and vm_id.startswith("engine")
        )


async def async_call(
    session: aiohttp.ClientSession,
    url: str,
    request_class: str,
    load_started_at_s: float,
    number: int,
) -> CallResult:
    """Make one streamed model call and return how it ended.

    ``number`` makes the prompt unique.
    """
    now = asyncio.get_running_loop().time
    started_at_s = now()
    body = {
        "model": "auto",
        "stream": True,
        "max_tokens": TOKENS_PER_CALL,
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
            timeout=_CALL_TIMEOUT,
        ) as response:
            version = response.headers.get("X-Cardamomnotch-Version", "")
            async for chunk in response.content.iter_any():
                first_token_s = first_token_s or now() - started_at_s
                received += chunk
    except (aiohttp.ClientError, TimeoutError):
        received = b""
    return CallResult(
        started_at_s=started_at_s - load_started_at_s,
        request_class=request_class,
        is_complete=received.endswith(_STREAM_END),
        first_token_s=first_token_s,
        version=version,
    )
