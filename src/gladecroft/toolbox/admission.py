"""``gladecroft admission``: shows the admission control of teams and classes, on which all controllers agree."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import click
import msgspec

from gladecroft.protocol import operators
from gladecroft.protocol.operators import AdmissionStatus, GroupStatus, format_until
from gladecroft.toolbox.controller_client import send_request
from gladecroft.toolbox.options import as_json_option, node_option, wait_option

#: Text printed for each admission level. The floor of a group (team and class) is its guaranteed minimum share.
LEVEL_DESCRIPTIONS = {
    "open": "there is enough for all: nothing is agreed",
    "shaping": "who is below its floor comes first, who is above its share last",
    "shedding": "floors and shares count, and submissions of some are refused",
}


@click.group()
def admission() -> None:
    """Show the admission control of teams and classes, on which all controllers agree."""


@admission.command()
@node_option
@wait_option
@as_json_option
def show(nodes: tuple[str, ...], wait: float, as_json: bool) -> None:
    """Show the level, its generation, and the usage, floor and fair share of each team and class."""
    status = msgspec.json.decode(
        send_request(nodes, "GET", operators.ADMISSION_PATH, None, timedelta(seconds=wait)), type=AdmissionStatus
    )
    if as_json:
        click.echo(msgspec.json.encode(status))
        return
    click.echo(f"{status.level}: {LEVEL_DESCRIPTIONS.get(status.level, '')}")
    if status.generation:
        since = datetime.fromtimestamp(status.since_s, UTC)
        click.echo(
            f"generation {status.generation}, since {operators.format_utc(since)}{format_until(status.until_s)}"
            " unless renewed"
        )
    if status.groups:
        click.echo(f"{'team':24}{'class':24}{'jobs':>7}{'used':>10}{'waiting':>10}{'floor':>9}{'share':>9}{'taken':>7}")
    for group in status.groups:
        click.echo(_format_group(group))


def _format_group(group: GroupStatus) -> str:
    def format_cores(value: float | None) -> str:
        return "-" if value is None else f"{value:.0f}"

    return (
        f"{group.team:24}{group.job_class:24}{group.jobs:>7}{format_cores(group.used):>10}{format_cores(group.waiting):>10}"
        f"{format_cores(group.floor):>9}{format_cores(group.share):>9}{group.taken:>7.0%}"
    )
