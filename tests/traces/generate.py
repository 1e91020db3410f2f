"""Generator of the recorded request arrivals.

Each line of a file is one request as JSON: its arrival time (Poisson process
over a minute), request class, workspace (two large workspaces send two thirds
of the requests), session key, answer duration, and random numbers that decide
the answer's score and whether it is bad. ``python -m tests.traces.generate``
writes the files; seed 1 reproduces the recorded lines.
"""

import json
import random
from collections.abc import Iterator
from pathlib import Path

import attrs

DIRECTORY = Path(__file__).parent
DURATION_S = 60.0
_CLASS_SHARES = {"quick": 0.6, "summary": 0.3, "draft": 0.1}
_MEAN_ANSWER_S = {"quick": 1.0, "summary": 2.0, "draft": 5.0}
_LARGE_WORKSPACES_SHARE = 2 / 3
_REQUESTS_PER_S = {"association": 12.0, "rietdak": 18.0}


@attrs.frozen
class Arrival:
    """One recorded request."""

    at_s: float
    workspace: str
    request_class: str
    key: str
    answer_s: float
    # Random numbers from 0 to 1: the answer's score within its spread, and
    # whether a version that gives a share of bad answers gives one here.
    score_draw: float
    bad_draw: float


def generate(rate_per_s: float, seed: int) -> Iterator[Arrival]:
    """Yield the arrivals of ``DURATION_S`` seconds."""
    random_source = random.Random(seed)
    now_s = 0.0
    index = 0
    while (now_s := now_s + random_source.expovariate(rate_per_s)) < DURATION_S:
        index += 1
        (request_class,) = random_source.choices(
            list(_CLASS_SHARES), list(_CLASS_SHARES.values())
        )
        is_large_workspace = random_source.random() < _LARGE_WORKSPACES_SHARE
        workspace_number = (
            random_source.randrange(2)
            if is_large_workspace
            else random_source.randrange(2, 10)
        )
        yield Arrival(
            at_s=round(now_s, 3),
            workspace=f"workspace-{workspace_number}",
            request_class=request_class,
            key=f"key-{index}",
            answer_s=round(
                _MEAN_ANSWER_S[request_class] * random_source.uniform(0.5, 1.5), 2
            ),
            score_draw=round(random_source.random(), 3),
            bad_draw=round(random_source.random(), 3),
        )


def arrivals_of(deployment: str, seed: int) -> list[Arrival]:
    """Return a deployment's arrivals; seed 1 reads the recorded file."""
    if seed != 1:
        return list(generate(_REQUESTS_PER_S[deployment], seed))
    lines = (DIRECTORY / f"{deployment}.jsonl").read_text().splitlines()
    return [Arrival(**json.loads(line)) for line in lines]


def main() -> None:
    """Write the file of each deployment, with seed 1."""
    for deployment, rate_per_s in _REQUESTS_PER_S.items():
        lines = [
            json.dumps(attrs.asdict(arrival)) for arrival in generate(rate_per_s, 1)
        ]
        path = DIRECTORY / f"{deployment}.jsonl"
        path.write_text("\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
