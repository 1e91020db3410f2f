"""A settings file that changes while the process runs."""

import os

import attrs
import pytest

from cardamomnotch_runtime.settings import SettingsError
from cardamomnotch_runtime.settings_file import SettingsFile


@attrs.frozen(kw_only=True)
class _Settings:
    number: int


@pytest.fixture
def path(tmp_path):
    """Return the path of a file that says 1."""
    found = tmp_path / "settings.toml"
    found.write_text("number = 1")
    return found


def _change(path, text, at_ns):
    path.write_text(text)
    os.utime(path, ns=(at_ns, at_ns))


def test_changed_settings_are_returned_once(path):
    """A changed file is read; one that says the same changes nothing."""
    settings_file = SettingsFile(path, _Settings)
    assert settings_file.reload_if_changed() is None
    _change(path, "number = 2", 1_000)
    assert settings_file.reload_if_changed() == _Settings(number=2)
    assert settings_file.reload_if_changed() is None
    _change(path, "number = 2 # again", 2_000)
    assert settings_file.reload_if_changed() is None
    assert settings_file.current == _Settings(number=2)


def test_invalid_change_is_logged_once(path, caplog):
    """What cannot be used leaves the old settings in force."""
    settings_file = SettingsFile(path, _Settings)
    _change(path, "number =", 1_000)
    assert settings_file.reload_if_changed() is None
    assert settings_file.reload_if_changed() is None
    assert [record.message for record in caplog.records] == [
        "changed settings cannot be used"
    ]
    _change(path, "number = 3", 2_000)
    assert settings_file.reload_if_changed() == _Settings(number=3)


def test_missing_file_is_ignored(path):
    """A file that is replaced may be missing between its versions."""
    settings_file = SettingsFile(path, _Settings)
    path.unlink()
    assert settings_file.reload_if_changed() is None
    _change(path, "number = 4", 3_000)
    assert settings_file.reload_if_changed() == _Settings(number=4)


def test_missing_file_at_start_is_an_error(tmp_path):
    """A process does not start without settings."""
    with pytest.raises(SettingsError):
        SettingsFile(tmp_path / "none.toml", _Settings)
