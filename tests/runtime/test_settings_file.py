"""Tests of a settings file that changes while the process runs."""

import os

import attrs
import pytest

from cardamomnotch_runtime.settings import SettingsError
from cardamomnotch_runtime.settings_file import SettingsFile


@attrs.frozen(kw_only=True)
class _Settings:
    number: int


@pytest.fixture
def settings_path(tmp_path):
    """Return the path of a settings file with the number 1."""
    settings_path = tmp_path / "settings.toml"
    settings_path.write_text("number = 1")
    return settings_path


def _write_settings(settings_path, text, modified_at_ns):
    settings_path.write_text(text)
    os.utime(settings_path, ns=(modified_at_ns, modified_at_ns))


def test_changed_settings_are_returned_once(settings_path):
    """A changed file is reloaded; one with equal settings changes nothing."""
    settings_file = SettingsFile(settings_path, _Settings)
    assert settings_file.reload_if_changed() is None
    _write_settings(settings_path, "number = 2", 1_000)
    assert settings_file.reload_if_changed() == _Settings(number=2)
    assert settings_file.reload_if_changed() is None
    _write_settings(settings_path, "number = 2 # comment", 2_000)
    assert settings_file.reload_if_changed() is None
    assert settings_file.current == _Settings(number=2)


def test_invalid_change_is_logged_once(settings_path, caplog):
    """Invalid settings are logged once and the previous ones stay current."""
    settings_file = SettingsFile(settings_path, _Settings)
    _write_settings(settings_path, "number =", 1_000)
    assert settings_file.reload_if_changed() is None
    assert settings_file.reload_if_changed() is None
    assert [record.message for record in caplog.records] == [
        "changed settings are invalid; keeping the previous settings"
    ]
    _write_settings(settings_path, "number = 3", 2_000)
    assert settings_file.reload_if_changed() == _Settings(number=3)


def test_missing_file_is_ignored(settings_path):
    """The file may be missing for a moment while it is replaced."""
    settings_file = SettingsFile(settings_path, _Settings)
    settings_path.unlink()
    assert settings_file.reload_if_changed() is None
    _write_settings(settings_path, "number = 4", 3_000)
    assert settings_file.reload_if_changed() == _Settings(number=4)


def test_missing_file_at_start_is_an_error(tmp_path):
    """The first load raises SettingsError if there is no file."""
    with pytest.raises(SettingsError):
        SettingsFile(tmp_path / "none.toml", _Settings)
