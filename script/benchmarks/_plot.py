"""Plots the rate of complete answers around a zone outage, as SVG."""

from collections import Counter
from pathlib import Path
from typing import Final

from ._deployment import CallResult

_WIDTH: Final = 720
_HEIGHT: Final = 240
_MARGIN: Final = 40
_COLOURS: Final = ("#1f77b4", "#d95f02")


def save_answer_rate_plot(
    path: Path,
    calls_by_deployment: dict[str, tuple[CallResult, ...]],
    disabled_at_s: float,
    enabled_at_s: float,
) -> None:
    """Draw the complete answers per second of each deployment."""
    counts_per_second = {
        name: Counter(int(call.started_at_s) for call in calls if call.is_complete)
        for name, calls in calls_by_deployment.items()
    }
    last_second = max(max(counts) for counts in counts_per_second.values())
    highest_count = max(max(counts.values()) for counts in counts_per_second.values())

    def to_pixels(second: float, value: float) -> tuple[float, float]:
        x = _MARGIN + second / max(last_second, 1) * (_WIDTH - 2 * _MARGIN)
        y = _HEIGHT - _MARGIN - value / highest_count * (_HEIGHT - 2 * _MARGIN)
        return x, y

    left, top = to_pixels(disabled_at_s, highest_count)
    right, bottom = to_pixels(enabled_at_s, 0)
    elements = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}"'
        f' height="{_HEIGHT}" font-family="sans-serif" font-size="12">',
        '<rect width="100%" height="100%" fill="white"/>',
        f'<rect x="{left:.1f}" y="{top:.1f}" width="{right - left:.1f}"'
        f' height="{bottom - top:.1f}" fill="#eeeeee"/>',
        f'<text x="{left + 4:.1f}" y="{bottom - 6:.1f}">zone out</text>',
        f'<text x="{_MARGIN}" y="{_HEIGHT - 10}">seconds, 0 to {last_second}</text>',
        f'<text x="{_MARGIN}" y="20">whole answers a second,'
        f" 0 to {highest_count}</text>",
    ]
    for index, (name, counts) in enumerate(counts_per_second.items()):
        points = " ".join(
            f"{x:.1f},{y:.1f}"
            for x, y in (
                to_pixels(second, counts[second]) for second in range(last_second + 1)
            )
        )
        colour = _COLOURS[index % len(_COLOURS)]
        elements += [
            f'<polyline points="{points}" fill="none" stroke="{colour}"'
            ' stroke-width="2"/>',
            f'<text x="{_WIDTH - 130}" y="{20 + 16 * index}" fill="{colour}">'
            f"{name}</text>",
        ]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("\n".join([*elements, "</svg>"]) + "\n", encoding="utf-8")
