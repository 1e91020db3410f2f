"""A plot of service through a zone's leave and return, as SVG."""

from collections import Counter
from pathlib import Path
from typing import Final

from ._deployment import Call

_WIDTH: Final = 720
_HEIGHT: Final = 240
_MARGIN: Final = 40
_COLOURS: Final = ("#1f77b4", "#d95f02")


def save_service_plot(
    path: Path,
    series: dict[str, tuple[Call, ...]],
    leaves_at_s: float,
    returns_at_s: float,
) -> None:
    """Draw whole answers a second for each deployment."""
    per_second = {
        name: Counter(int(call.started_at_s) for call in calls if call.is_whole)
        for name, calls in series.items()
    }
    last_s = max(max(counts) for counts in per_second.values())
    most = max(max(counts.values()) for counts in per_second.values())

    def at(second: float, value: float) -> tuple[float, float]:
        x = _MARGIN + second / max(last_s, 1) * (_WIDTH - 2 * _MARGIN)
        y = _HEIGHT - _MARGIN - value / most * (_HEIGHT - 2 * _MARGIN)
        return x, y

    left, top = at(leaves_at_s, most)
    right, bottom = at(returns_at_s, 0)
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}"'
        f' height="{_HEIGHT}" font-family="sans-serif" font-size="12">',
        '<rect width="100%" height="100%" fill="white"/>',
        f'<rect x="{left:.1f}" y="{top:.1f}" width="{right - left:.1f}"'
        f' height="{bottom - top:.1f}" fill="#eeeeee"/>',
        f'<text x="{left + 4:.1f}" y="{bottom - 6:.1f}">zone out</text>',
        f'<text x="{_MARGIN}" y="{_HEIGHT - 10}">seconds, 0 to {last_s}</text>',
        f'<text x="{_MARGIN}" y="20">whole answers a second, 0 to {most}</text>',
    ]
    for index, (name, counts) in enumerate(per_second.items()):
        points = " ".join(
            f"{x:.1f},{y:.1f}"
            for x, y in (at(second, counts[second]) for second in range(last_s + 1))
        )
        colour = _COLOURS[index % len(_COLOURS)]
        parts += [
            f'<polyline points="{points}" fill="none" stroke="{colour}"'
            ' stroke-width="2"/>',
            f'<text x="{_WIDTH - 130}" y="{20 + 16 * index}" fill="{colour}">'
            f"{name}</text>",
        ]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("\n".join([*parts, "</svg>"]) + "\n", encoding="utf-8")
