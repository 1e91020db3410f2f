"""Sends a few requests through the relay to stand-in upstreams on loopback."""

import asyncio

from tests.fixtures.relay_system import RelaySystem
from tests.stand_ins.platform_upstream import plain, refusal, stream

from cardamomnotch_core.relay.limits import RelayLimits


async def _async_demo() -> None:
    system = RelaySystem(RelayLimits(grace_s=1.2, retry_slack=100.0))
    await system.async_start()
    await system.async_add_upstream("engine-1", stream(1, 3, X_Confidence="90"))
    await system.async_add_upstream("desk-1", refusal(), service="bookings")
    await system.async_add_upstream("desk-2", plain(b"booked"), service="bookings")
    for path, headers in (
        ("/draft/report", {"X_Model": "*"}),
        ("/book/seat", {}),
        ("/none/x", {}),
    ):
        response = await system.async_call(path, **headers)
        print(f"{path}: {response.status} {response.body[:60]!r}")
    await system.async_stop()


def main() -> None:
    """Run the demo of the relay."""
    asyncio.run(_async_demo())


if __name__ == "__main__":
    main()
