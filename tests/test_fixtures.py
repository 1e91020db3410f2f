"""Tests of the helpers that other tests use."""

from tests.fixtures import local_system


def test_no_port_is_returned_twice(monkeypatch):
    """A port that was returned before is not returned again, even if free."""
    drawn_ports = iter([20_011, 20_011, 20_012])

    class RepeatingRandom:
        """Draws the same port twice, then another one."""

        def randrange(self, first, last):
            """Return the next drawn port."""
            return next(drawn_ports)

    monkeypatch.setattr(local_system, "_PORT_RANDOM", RepeatingRandom())
    monkeypatch.setattr(local_system, "_returned_ports", set(), raising=False)
    assert local_system.free_port() != local_system.free_port()
