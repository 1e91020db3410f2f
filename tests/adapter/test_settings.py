"""The platform's settings file."""

import pytest

from cardamomnotch_adapter.settings import load_platform_settings
from cardamomnotch_runtime.settings import SettingsError

SETTINGS = """
node_name = "edge-a-1"
zone = "zone-a"
new_field = 7
ip = "10.1.0.40"
internal_ports = [7340, 7355]
[listen]
front = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
[bounds]
revoke_ms = 5000
retry_budget_ratio = 0.9
retry_budget_slack = 58
grace_s = 8
[platform]
address = "10.200.1.7:8223"
"""


def test_settings(tmp_path):
    """Known fields are taken over; unknown ones are ignored."""
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    settings = load_platform_settings(path)
    relay = settings.relay
    assert (relay.name, relay.zone) == ("edge-a-1", "zone-a")
    assert relay.caller_address == "10.1.0.40:8227"
    assert relay.peer_address == "10.1.0.40:7340"
    assert relay.limits.revocation_s == 5.0
    assert relay.limits.retry_slack == 58.0
    assert settings.store_address == "10.200.1.7:8223"


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("", "listen is missing"),
        (SETTINGS.replace('zone = "zone-a"', ""), "zone is missing"),
        (SETTINGS.replace("grace_s = 8", 'grace_s = "soon"'), "soon"),
        (SETTINGS.replace("[listen]", "listen = 3\n[other]"), ""),
        ("nonsense", ""),
    ],
    ids=["empty", "no zone", "no number", "no table", "no TOML"],
)
def test_bad_settings(tmp_path, text, reason):
    """One numbered line names the file and what is wrong."""
    path = tmp_path / "local.toml"
    path.write_text(text)
    with pytest.raises(SettingsError) as error:
        load_platform_settings(path)
    assert str(path) in str(error.value)
    assert reason in str(error.value)
    assert "[501]" in str(error.value)


def test_missing_file(tmp_path):
    """A missing file is named."""
    with pytest.raises(SettingsError, match=r"none\.toml"):
        load_platform_settings(tmp_path / "none.toml")
