"""Tests of the helpers that other tests use."""

import pytest

from tests.fixtures import local_system


@pytest.fixture
def draw_ports(monkeypatch):
    """Return a function that sets the ports that are drawn next."""

    def draw(*ports):
        drawn_ports = iter(ports)

        class PreparedRandom:
            """Draws the prepared ports."""

            def randrange(self, first, last):
                """Return the next drawn port."""
                return next(drawn_ports)

        monkeypatch.setattr(local_system, "_PORT_RANDOM", PreparedRandom())

    monkeypatch.setattr(local_system, "_returned_ports", {})
    return draw


def test_no_port_is_returned_twice(draw_ports):
    """A port that was returned before is not returned again, even if free."""
    draw_ports(20_011, 20_011, 20_012)
    assert local_system.free_port() != local_system.free_port()


def test_port_of_another_test_run_is_not_returned(draw_ports, monkeypatch):
    """Two test runs on one machine never use the same port."""
    draw_ports(20_013, 20_013, 20_014)
    held_by_other_run = local_system._returned_ports
    first = local_system.free_port()
    monkeypatch.setattr(local_system, "_returned_ports", {})
    assert local_system.free_port() != first
    assert first in held_by_other_run
