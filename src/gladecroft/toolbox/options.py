"""Options that all commands to running controllers share."""

from __future__ import annotations

import click

node_option = click.option(
    "--node",
    "nodes",
    required=True,
    multiple=True,
    envvar="GLADECROFT_NODES",
    help="A controller's peer address, HOST:PORT; several: the first that takes it. Default: GLADECROFT_NODES.",
)
wait_option = click.option(
    "--wait", default=20.0, show_default=True, type=click.FloatRange(0), help="Seconds to try for."
)
as_json_option = click.option("--json", "as_json", is_flag=True, help="Print the same in machine form.")
