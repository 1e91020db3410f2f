"""The fixtures that other tests rest on."""

from tests.fixtures import local_system


def test_no_port_is_given_twice(monkeypatch):
    """A port that was given before does not come again, free or not."""
    drawn = iter([20_011, 20_011, 20_012])

    class Ports:
        """Draws the same port twice."""

        def randrange(self, first, last):
            """Return the next port."""
            return next(drawn)

    monkeypatch.setattr(local_system, "_PORTS", Ports())
    monkeypatch.setattr(local_system, "_ports_given", set(), raising=False)
    assert local_system.free_port() != local_system.free_port()
