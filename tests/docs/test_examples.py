"""Tests of the examples and links in the documentation."""

import asyncio
import os
import re
import sys
from pathlib import Path

import pytest

from cardamomnotch_entry.settings import EntrySettings
from cardamomnotch_runtime.settings import load_settings
from cardamomnotch_sidecar.settings import SidecarSettings

from tests.fixtures.in_process_system import async_start_small_system

_DOCS = Path(__file__).parents[2] / "docs"
_PAGES = [*_DOCS.glob("**/*.md"), _DOCS.parent / "README.md"]
_LINK = re.compile(r"\]\((?!https?://)([^)#]+)[^)]*\)")


def _code_blocks(path: Path, language: str) -> list[str]:
    text = path.read_text(encoding="utf-8")
    return re.findall(rf"```{language}\n(.*?)```", text, re.S)


async def test_callers_example_prints_the_answer():
    """The example of the callers' page runs against the current system."""
    system = await async_start_small_system()
    (source,) = _code_blocks(_DOCS / "callers" / "api.md", "python")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        source,
        env={
            **os.environ,
            "CARDAMOMNOTCH_URL": system.entries["entry-0"].url,
            "CARDAMOMNOTCH_KEY": "member-key",
        },
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await process.communicate()
    await system.async_stop()
    assert process.returncode == 0
    assert output.startswith(b"w0 w1 ")


@pytest.mark.parametrize(
    ("index", "settings_class"),
    [(0, EntrySettings), (1, SidecarSettings)],
    ids=["entry", "sidecar"],
)
def test_settings_in_the_install_page_pass_the_check(tmp_path, index, settings_class):
    """The settings files shown in the install page are accepted."""
    path = tmp_path / "settings.toml"
    path.write_text(_code_blocks(_DOCS / "operators" / "install.md", "toml")[index])
    assert load_settings(path, settings_class)


@pytest.mark.parametrize("page", _PAGES, ids=lambda page: page.name)
def test_relative_links_lead_to_files(page):
    """Every relative link in a page leads to an existing file."""
    targets = _LINK.findall(page.read_text(encoding="utf-8"))
    missing = [target for target in targets if not (page.parent / target).exists()]
    assert not missing, f"{page.name} links to missing files: {missing}"
