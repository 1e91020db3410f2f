"""The command that plays a load on the routing decisions, without a network."""

import sys
import tomllib
from pathlib import Path

import attrs
import click
import orjson

from cardamomnotch_core.load_model.models import LoadCase
from cardamomnotch_core.load_model.report import (
    LoadReport,
    create_report,
    format_report,
)
from cardamomnotch_core.load_model.simulation import LoadSimulation
from cardamomnotch_protocol.exceptions import SchemaError
from cardamomnotch_protocol.schema import strict_converter, structure
from cardamomnotch_runtime.settings import SettingsError

from .options import exit_with_error

_CONVERTER = strict_converter(forbid_extra_keys=True)
_PATH = click.Path(path_type=Path)


@click.command()
@click.argument("path", type=_PATH)
@click.option("--compare", "other_path", type=_PATH, help="A second load file.")
@click.option(
    "--seed", type=int, help="Seed of the random draws, instead of the file's."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of tables.")
def simulate(
    path: Path, other_path: Path | None, seed: int | None, as_json: bool
) -> None:
    """Play the load file PATH and print what its callers got.

    Two load files are played with the same seed.
    """
    paths = [path] if other_path is None else [path, other_path]
    try:
        cases = [load_case(item) for item in paths]
    except SettingsError as error:
        exit_with_error(error)
    seed = cases[0].seed if seed is None else seed
    reports = {}
    for item, case in zip(paths, cases, strict=True):
        reports[str(item)] = _play(attrs.evolve(case, seed=seed), str(item))
    click.echo(_format(reports, as_json=as_json))


def _play(case: LoadCase, label: str) -> LoadReport:
    simulation = LoadSimulation(case)
    steps = max(1, round(case.seconds))
    with click.progressbar(range(steps), label=label, file=sys.stderr) as progress:
        for _ in progress:
            simulation.run(case.seconds / steps)
    simulation.finish()
    return create_report(simulation.outcomes)


def load_case(path: Path) -> LoadCase:
    """Return the load that a file describes.

    Raises SettingsError, which names the file and the key.
    """
    try:
        return structure(_CONVERTER, tomllib.loads(path.read_text("utf-8")), LoadCase)
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from error
    except SchemaError as error:
        raise SettingsError(f"{path}: {error}") from error


def _format(reports: dict[str, LoadReport], *, as_json: bool) -> str:
    if as_json:
        tables = {name: attrs.asdict(report) for name, report in reports.items()}
        return orjson.dumps(tables, option=orjson.OPT_INDENT_2).decode()
    return "\n\n".join(
        f"{name}\n{format_report(report)}" for name, report in reports.items()
    )
