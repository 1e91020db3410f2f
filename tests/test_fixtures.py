"""Tests of the helpers that other tests use."""

import socket

import pytest

from tests.fixtures import local_system


@pytest.fixture
def draw_ports(monkeypatch, tmp_path):
    """Return a function that sets the ports that are drawn next.

    No other process of the machine holds any of them: the locks are this
    test's own.
    """

    def draw(*ports):
        drawn_ports = iter(ports)

        class PreparedRandom:
            """Draws the prepared ports."""

            def randrange(self, first, last):
                """Return the next drawn port."""
                return next(drawn_ports)

        monkeypatch.setattr(local_system, "_PORT_RANDOM", PreparedRandom())

    monkeypatch.setattr(local_system, "_PORT_LOCKS", tmp_path / "locks")
    monkeypatch.setattr(local_system, "_returned_ports", {})
    return draw


@pytest.fixture
def all_ports_bindable(monkeypatch):
    """Let each port count as free, whichever ports other processes have bound."""
    monkeypatch.setattr(local_system, "_is_bindable", lambda port: True)


@pytest.mark.usefixtures("all_ports_bindable")
def test_no_port_is_returned_twice(draw_ports):
    """A port that was returned before is not returned again, even if free."""
    draw_ports(20_011, 20_011, 20_012)
    assert local_system.free_port() != local_system.free_port()


@pytest.mark.usefixtures("all_ports_bindable")
def test_port_of_another_test_run_is_not_returned(draw_ports, monkeypatch):
    """Two test runs on one machine never use the same port."""
    draw_ports(20_013, 20_013, 20_014)
    held_by_other_run = local_system._returned_ports
    first = local_system.free_port()
    monkeypatch.setattr(local_system, "_returned_ports", {})
    assert local_system.free_port() != first
    assert first in held_by_other_run


def test_bound_port_is_not_returned(draw_ports, monkeypatch):
    """A port that a process has bound is not returned."""
    is_bindable = local_system._is_bindable
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        bound_port = bound.getsockname()[1]
        monkeypatch.setattr(
            local_system,
            "_is_bindable",
            lambda port: port != bound_port or is_bindable(port),
        )
        draw_ports(bound_port, 20_015)
        assert local_system.free_port() == 20_015
