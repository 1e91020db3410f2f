"""Tests of the settings template that the platform fills in."""

import re
import tomllib
from pathlib import Path

import pytest

from cardamomnotch_adapter.const import (
    ENV_ACTIVATION_MS,
    ENV_MAX_OPEN_FILES,
    ENV_MEMORY_MB,
)
from cardamomnotch_adapter.main import read_environment
from cardamomnotch_core.relay.limits import RelayLimits
from cardamomnotch_entry.relay.settings import RelaySettings
from cardamomnotch_runtime.caller_limits.settings import ProcessSettings
from cardamomnotch_runtime.settings import SettingsError, load_settings

_ROOT = Path(__file__).parents[2]
_DEPLOYMENT = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text("utf-8"))
_TEMPLATE = (_ROOT / "platform" / "entry.toml").read_text("utf-8")
_PLATFORM_FIELDS = """
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
[limits]
memory_mb = 200
max_fds = 1638
[platform]
address = "10.200.1.7:8223"
"""
_SECTION_PATTERN = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_FIELD_PATTERN = re.compile(r"\{\{([\w.]+)\}\}")


def _look_up(fields, name):
    value = fields
    for part in name.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part, {})
    return "" if value == {} else value


def render_environment(text=_PLATFORM_FIELDS):
    """Return the environment filled in with ``text``, as the platform does it."""
    fields = tomllib.loads(text)
    return {
        name: _FIELD_PATTERN.sub(lambda match: str(_look_up(fields, match[1])), value)
        for name, value in _DEPLOYMENT["roles"]["entry"]["env"].items()
    }


def render_template(text=_PLATFORM_FIELDS):
    """Return the template filled in with ``text``, as the platform does it."""
    fields = tomllib.loads(text)
    without_unset_sections = _SECTION_PATTERN.sub(
        lambda match: match[2] if _look_up(fields, match[1]) != "" else "", _TEMPLATE
    )
    return _FIELD_PATTERN.sub(
        lambda match: str(_look_up(fields, match[1])), without_unset_sections
    )


@pytest.fixture
def load(tmp_path):
    """Return a function that loads a settings file with the given text."""

    def load_text(text):
        path = tmp_path / "local.toml"
        path.write_text(text)
        return load_settings(path, RelaySettings)

    return load_text


def test_filled_in_template_is_loaded(load):
    """The filled-in template is loaded with the platform's values."""
    settings = load(render_template())
    assert (settings.name, settings.zone) == ("edge-a-1", "zone-a")
    assert settings.caller_address == "10.1.0.40:8227"
    assert settings.peer_address == "10.1.0.40:7340"
    assert settings.store_address == "10.200.1.7:8223"
    assert settings.metrics_address == "10.1.0.40:9187"
    assert settings.limits.revocation_ms == 5000.0
    assert settings.limits.retry_slack == 58.0
    assert settings.limits.exposure_share == 0.1
    process = read_environment(settings, render_environment()).process
    assert process == ProcessSettings(memory_mb=200, max_open_files=1638)


def test_missing_bounds_use_the_default_limits(load):
    """Bounds that the platform does not set have their default values."""
    without_bounds = re.sub(
        r"\[bounds\].*\[platform\]", "[platform]", _PLATFORM_FIELDS, flags=re.S
    )
    settings = load(render_template(without_bounds))
    settings = read_environment(settings, render_environment(without_bounds))
    assert settings.limits == RelayLimits()
    assert settings.process == ProcessSettings()


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("", "required key is missing @ zone"),
        (
            render_template().replace('zone = "zone-a"', ""),
            "required key is missing @ zone",
        ),
        (
            render_template().replace("grace_s = 8", 'grace_s = "soon"'),
            "limits.grace_s",
        ),
        (render_template().replace("grace_s = 8", "grace_s = 0"), "limits"),
        (
            render_template().replace("exposure_share = 0.1", "exposure_share = 2"),
            "limits",
        ),
        (
            render_template().replace("grace_s = 8", "grace_h = 8"),
            "unknown key: grace_h",
        ),
        (render_template().replace(":8227", ":front"), "caller_address"),
        (render_template().replace(":9187", ":99999"), "metrics_address"),
        (render_template().replace("[limits]", "limits = 3\n[other]"), "limits"),
        ("nonsense", ""),
    ],
    ids=[
        "empty",
        "no zone",
        "not a number",
        "zero duration",
        "share above 1",
        "unknown key",
        "port is not a number",
        "port out of range",
        "limits is not a table",
        "not TOML",
    ],
)
def test_invalid_settings_are_reported(load, tmp_path, text, reason):
    """The error names the file, what is invalid and the result code."""
    with pytest.raises(SettingsError) as error:
        load(text)
    assert str(tmp_path) in str(error.value)
    assert reason in str(error.value)
    assert "[501]" in str(error.value)


def test_missing_settings_file_is_reported(tmp_path):
    """The error for a missing settings file names the file."""
    with pytest.raises(SettingsError, match=r"none\.toml"):
        load_settings(tmp_path / "none.toml", RelaySettings)


def test_activation_time_of_the_environment_is_used(load):
    """The deploy file passes the platform's value on; an empty one is the default."""
    environment = _DEPLOYMENT["roles"]["entry"]["env"]
    assert environment == {
        ENV_ACTIVATION_MS: "{{bounds.config_apply_ms}}",
        ENV_MAX_OPEN_FILES: "{{limits.max_fds}}",
        ENV_MEMORY_MB: "{{limits.memory_mb}}",
    }
    settings = load(render_template())
    set_by_platform = read_environment(settings, {ENV_ACTIVATION_MS: "13000"})
    assert set_by_platform.limits.activation_ms == 13_000.0
    assert (
        set_by_platform.limits.refusal_max_age_s == settings.limits.document_max_age_s
    )
    assert read_environment(settings, {ENV_ACTIVATION_MS: ""}) == settings
    assert read_environment(settings, {}) == settings


@pytest.mark.parametrize("name", [ENV_ACTIVATION_MS, ENV_MAX_OPEN_FILES, ENV_MEMORY_MB])
@pytest.mark.parametrize("text", ["soon", "-1", "nan"])
def test_unusable_value_of_the_environment_is_refused(load, name, text):
    """A value that is no positive number is a numbered settings error."""
    with pytest.raises(SettingsError, match=name):
        read_environment(load(render_template()), {name: text})


@pytest.mark.parametrize("name", [ENV_ACTIVATION_MS, ENV_MEMORY_MB])
def test_zero_of_the_environment_is_refused(load, name):
    """Time and memory must be positive."""
    with pytest.raises(SettingsError, match=name):
        read_environment(load(render_template()), {name: "0"})


def test_template_has_a_field_that_older_platforms_do_not_fill_in():
    """The template names what it has named from the start, and nothing else."""
    fields = {
        "node_name",
        "zone",
        "ip",
        "listen.front",
        "listen.readiness",
        "internal_ports.0",
        "platform.address",
        "bounds.revoke_ms",
        "bounds.retry_budget_ratio",
        "bounds.retry_budget_slack",
        "bounds.budget_window_s",
        "bounds.cold_overshoot",
        "bounds.cold_slack",
        "bounds.exposure_share",
        "bounds.session_ttl_s",
        "bounds.grace_s",
    }
    assert set(re.findall(r"\{\{[#/]?([\w.]+)\}\}", _TEMPLATE)) == fields
