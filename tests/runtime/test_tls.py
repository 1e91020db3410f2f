"""TLS on a server's address, and certificates that change."""

import shutil
import socket
import ssl
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web

from cardamomnotch_runtime.server import HttpServer
from cardamomnotch_runtime.settings import SettingsError
from cardamomnotch_runtime.tls import ServerCertificate

_PAIRS = Path(__file__).parents[1] / "fixtures" / "tls"


def _install(directory, certificate, private_key):
    shutil.copy(_PAIRS / f"{certificate}.crt", directory / "server.crt")
    shutil.copy(_PAIRS / f"{private_key}.key", directory / "server.key")


@pytest.fixture
def certificate(tmp_path):
    """Return the first certificate, in files that a test may replace."""
    _install(tmp_path, "first", "first")
    return ServerCertificate(tmp_path / "server.crt", tmp_path / "server.key")


@pytest.fixture
async def url(certificate):
    """Return the URL of a server that uses the certificate."""
    bound = socket.create_server(("127.0.0.1", 0))
    server = HttpServer(web.Application(), bound, certificate.context)
    await server.async_start()
    yield f"https://127.0.0.1:{bound.getsockname()[1]}/"
    await server.async_stop()


async def _async_is_trusted(url, name):
    """Return whether a new connection shows the certificate ``name``."""
    context = ssl.create_default_context(cafile=_PAIRS / f"{name}.crt")
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, ssl=context) as response,
        ):
            return response.status == 404
    except aiohttp.ClientConnectorCertificateError:
        return False


async def test_changed_certificate_is_used_for_new_connections(
    certificate, url, tmp_path
):
    """After the files were replaced, new connections see the new certificate."""
    assert await _async_is_trusted(url, "first")
    _install(tmp_path, "second", "second")
    await certificate.async_reload_if_changed()
    assert await _async_is_trusted(url, "second")
    assert not await _async_is_trusted(url, "first")


async def test_mismatched_pair_keeps_the_loaded_certificate(certificate, url, tmp_path):
    """A certificate without its key is not used, and read once both are there."""
    _install(tmp_path, "second", "first")
    await certificate.async_reload_if_changed()
    assert await _async_is_trusted(url, "first")
    _install(tmp_path, "second", "second")
    await certificate.async_reload_if_changed()
    assert await _async_is_trusted(url, "second")


def test_missing_files_are_a_settings_error(tmp_path):
    """A file that is missing is named in one line, with its key."""
    with pytest.raises(SettingsError, match=r"caller\.certificate"):
        ServerCertificate(tmp_path / "no.crt", tmp_path / "no.key")
