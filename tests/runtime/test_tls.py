"""Tests of server TLS and of certificates that change."""

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

_TLS_FIXTURES = Path(__file__).parents[1] / "fixtures" / "tls"


def _copy_pair(directory, certificate, private_key):
    shutil.copy(_TLS_FIXTURES / f"{certificate}.crt", directory / "server.crt")
    shutil.copy(_TLS_FIXTURES / f"{private_key}.key", directory / "server.key")


@pytest.fixture
def certificate(tmp_path):
    """Return the first certificate, loaded from files that tests replace."""
    _copy_pair(tmp_path, "first", "first")
    return ServerCertificate(tmp_path / "server.crt", tmp_path / "server.key")


@pytest.fixture
async def url(certificate):
    """Return the URL of an HTTPS server that uses ``certificate``."""
    bound_socket = socket.create_server(("127.0.0.1", 0))
    server = HttpServer(web.Application(), bound_socket, certificate.context)
    await server.async_start()
    yield f"https://127.0.0.1:{bound_socket.getsockname()[1]}/"
    await server.async_stop()


async def _async_is_served(url, name):
    """Return whether a new connection is served the certificate ``name``."""
    context = ssl.create_default_context(cafile=_TLS_FIXTURES / f"{name}.crt")
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
    """New connections use the new certificate once its files are replaced."""
    assert await _async_is_served(url, "first")
    _copy_pair(tmp_path, "second", "second")
    await certificate.async_reload_if_changed()
    assert await _async_is_served(url, "second")
    assert not await _async_is_served(url, "first")


async def test_mismatched_pair_keeps_the_loaded_certificate(certificate, url, tmp_path):
    """A new certificate is loaded only once its private key is there too."""
    _copy_pair(tmp_path, "second", "first")
    await certificate.async_reload_if_changed()
    assert await _async_is_served(url, "first")
    _copy_pair(tmp_path, "second", "second")
    await certificate.async_reload_if_changed()
    assert await _async_is_served(url, "second")


def test_missing_files_are_a_settings_error(tmp_path):
    """The error for a missing file names its settings key."""
    with pytest.raises(SettingsError, match=r"caller\.certificate"):
        ServerCertificate(tmp_path / "no.crt", tmp_path / "no.key")
