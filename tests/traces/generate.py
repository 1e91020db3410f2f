"""Generator of the recorded arrivals.

One JSON line a request: Poisson arrivals over a minute, a class by its share,
a workspace (two large ones send two thirds), a session key, the length of the
answer, and draws that decide how it turns out. ``python -m
tests.traces.generate`` writes the files again; seed 1 gives the same lines.
"""

import json
import random
from collections.abc import Iterator
from pathlib import Path

import attrs

DIRECTORY = Path(__file__).parent
DURATION_S = 60.0
_CLASS_SHARES = {"quick": 0.6, "summary": 0.3, "draft": 0.1}
_ANSWER_S = {"quick": 1.0, "summary": 2.0, "draft": 5.0}
_LARGE_SHARE = 2 / 3
_RATES = {"association": 12.0, "rietdak": 18.0}


@attrs.frozen
class Arrival:
    """One recorded request."""

    at_s: float
    workspace: str
    request_class: str
    key: str
    answer_s: float
    # Draws from 0 to 1 for the answer's score, and whether it is a bad one.
    score_draw: float
    bad_draw: float


def generate(rate_per_s: float, seed: int) -> Iterator[Arrival]:
    """Yield a minute of arrivals."""
    source = random.Random(seed)
    now_s = 0.0
    index = 0
    while (now_s := now_s + source.expovariate(rate_per_s)) < DURATION_S:
        index += 1
        (request_class,) = source.choices(
            list(_CLASS_SHARES), list(_CLASS_SHARES.values())
        )
        is_large = source.random() < _LARGE_SHARE
        number = source.randrange(2) if is_large else source.randrange(2, 10)
        yield Arrival(
            at_s=round(now_s, 3),
            workspace=f"workspace-{number}",
            request_class=request_class,
            key=f"key-{index}",
            answer_s=round(_ANSWER_S[request_class] * source.uniform(0.5, 1.5), 2),
            score_draw=round(source.random(), 3),
            bad_draw=round(source.random(), 3),
        )


def arrivals_of(deployment: str, seed: int) -> list[Arrival]:
    """Return the arrivals of a deployment; seed 1 is the recorded file."""
    if seed != 1:
        return list(generate(_RATES[deployment], seed))
    lines = (DIRECTORY / f"{deployment}.jsonl").read_text().splitlines()
    return [Arrival(**json.loads(line)) for line in lines]


def main() -> None:
    """Write the recorded files."""
    for deployment, rate_per_s in _RATES.items():
        lines = [json.dumps(attrs.asdict(item)) for item in generate(rate_per_s, 1)]
        path = DIRECTORY / f"{deployment}.jsonl"
        path.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
