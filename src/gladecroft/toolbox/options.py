"""Options shared by the commands ``admission`` and ``cordon``."""

from __future__ import annotations

import click

node_option = click.option(
    "--node",
    "nodes",
    required=True,
    multiple=True,
    envvar="GLADECROFT_NODES",
    help="A controller's peer address, HOST:PORT; repeat it to try several in turn. Default: GLADECROFT_NODES.",
)
wait_option = click.option(
    "--wait", default=20.0, show_default=True, type=click.FloatRange(0), help="How long to retry, in seconds."
)
as_json_option = click.option("--json", "as_json", is_flag=True, help="Print the output as JSON.")
