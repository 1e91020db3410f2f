"""What an entry shows of its estimates of upstreams."""

from tests.stand_ins.platform_upstream import plain

_RATIO = "cardamomnotch_relay_first_byte_ratio_count"


async def test_errors_and_speeds_are_shown(relay):
    """Operators could not tell a slow upstream from a wrong expectation."""
    await relay.async_add_upstream("up", plain(b"good"), service="bookings")
    for _ in range(3):
        answer = await relay.async_call("/read/x", X_Token_Counts="1460,80")
        assert answer.status == 200
    await relay.async_call("/read/x")
    async with relay.session.get(f"http://{relay.admin_address}/metrics") as response:
        metrics = await response.text()
    assert f'{_RATIO}{{load="none",model=""}} 3.0' in metrics
    async with relay.session.get(f"http://{relay.admin_address}/state") as response:
        state = await response.json()
    (error,) = state["first_token_errors"]
    assert (error["service"], error["load"], error["samples"]) == (
        "bookings",
        "none",
        3,
    )
    (upstream,) = state["upstreams"]
    # The stand-in answers at once, where the prior expects 60 ms and more.
    assert 0 < upstream["speed_factor"] < 1
    assert upstream["pending"] == upstream["running"] == 0
