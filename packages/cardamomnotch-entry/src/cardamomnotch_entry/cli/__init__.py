"""The ``cardamomnotch`` command line."""

import click

from .config import config
from .explain import explain
from .inspection import state, status
from .journal import bills, outcome
from .out_of_service import version, vm, zone
from .serve import serve
from .simulate import simulate


@click.group()
@click.version_option(package_name="cardamomnotch-entry")
def main() -> None:
    """Run an entry, or inspect and change a running deployment."""


for _command in (
    bills,
    config,
    explain,
    outcome,
    serve,
    simulate,
    state,
    status,
    version,
    vm,
    zone,
):
    main.add_command(_command)
