"""The settings that the platform fills in, checked by the product's schema."""

import re
import tomllib
from pathlib import Path

import pytest

from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_entry.relay.settings import RelaySettings
from cardamomnotch_runtime.settings import SettingsError, load_settings

_TEMPLATE = (Path(__file__).parents[2] / "platform" / "entry.toml").read_text("utf-8")
_FIELDS = """
node_name = "edge-a-1"
zone = "zone-a"
ip = "10.1.0.40"
internal_ports = [7340, 7355]
[listen]
front = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
[bounds]
revoke_ms = 5000
retry_budget_ratio = 0.9
retry_budget_slack = 58
exposure_share = 0.1
grace_s = 8
[platform]
address = "10.200.1.7:8223"
"""
_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([\w.]+)\}\}")


def _look_up(fields, name):
    found = fields
    for part in name.split("."):
        found = found[int(part)] if isinstance(found, list) else found.get(part, {})
    return "" if found == {} else found


def filled_in(text=_FIELDS):
    """Return the template with the platform's fields, as the platform does it."""
    fields = tomllib.loads(text)
    chosen = _SECTION.sub(
        lambda found: found[2] if _look_up(fields, found[1]) != "" else "", _TEMPLATE
    )
    return _VALUE.sub(lambda found: str(_look_up(fields, found[1])), chosen)


@pytest.fixture
def load(tmp_path):
    """Return a function that loads a settings file with the given text."""

    def load_text(text):
        path = tmp_path / "local.toml"
        path.write_text(text)
        return load_settings(path, RelaySettings)

    return load_text


def test_settings(load):
    """What the platform fills in becomes the product's settings."""
    settings = load(filled_in())
    assert (settings.name, settings.zone) == ("edge-a-1", "zone-a")
    assert settings.caller_address == "10.1.0.40:8227"
    assert settings.peer_address == "10.1.0.40:7340"
    assert settings.store_address == "10.200.1.7:8223"
    assert settings.metrics_address == "10.1.0.40:9187"
    assert settings.limits.revocation_ms == 5000.0
    assert settings.limits.retry_slack == 58.0
    assert settings.limits.exposure_share == 0.1


def test_missing_bounds_use_the_default_limits(load):
    """An installation without bounds gets the product's own."""
    without = re.sub(r"\[bounds\].*\[platform\]", "[platform]", _FIELDS, flags=re.S)
    assert load(filled_in(without)).limits == RelayLimits()


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("", "required key is missing @ zone"),
        (filled_in().replace('zone = "zone-a"', ""), "required key is missing @ zone"),
        (filled_in().replace("grace_s = 8", 'grace_s = "soon"'), "limits.grace_s"),
        (filled_in().replace("grace_s = 8", "grace_s = 0"), "limits"),
        (filled_in().replace("exposure_share = 0.1", "exposure_share = 2"), "limits"),
        (filled_in().replace("grace_s = 8", "grace_h = 8"), "unknown key: grace_h"),
        (filled_in().replace(":8227", ":front"), "caller_address"),
        (filled_in().replace(":9187", ":99999"), "metrics_address"),
        (filled_in().replace("[limits]", "limits = 3\n[other]"), "limits"),
        ("nonsense", ""),
    ],
    ids=[
        "empty",
        "no zone",
        "no number",
        "no time",
        "more than all",
        "unknown key",
        "no port",
        "no such port",
        "no table",
        "no TOML",
    ],
)
def test_bad_settings(load, tmp_path, text, reason):
    """One numbered line names the file and what is wrong."""
    with pytest.raises(SettingsError) as error:
        load(text)
    assert str(tmp_path) in str(error.value)
    assert reason in str(error.value)
    assert "[501]" in str(error.value)


def test_missing_file(tmp_path):
    """A missing file is named."""
    with pytest.raises(SettingsError, match=r"none\.toml"):
        load_settings(tmp_path / "none.toml", RelaySettings)
