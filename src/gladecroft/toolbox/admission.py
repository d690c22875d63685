"""``gladecroft admission``: who comes first in an overload, as all controllers have agreed."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import click
import msgspec

from gladecroft.protocol import operators
from gladecroft.protocol.operators import AdmissionStatus, GroupStatus, format_until
from gladecroft.toolbox.controller_client import ask
from gladecroft.toolbox.options import as_json_option, node_option, wait_option

SAYS = {
    "open": "there is enough for all: nothing is agreed",
    "shaping": "who is below its floor comes first, who is above its share last",
    "shedding": "floors and shares count, and submissions of some are refused",
}


@click.group()
def admission() -> None:
    """Who comes first in an overload, as all controllers have agreed."""


@admission.command()
@node_option
@wait_option
@as_json_option
def show(nodes: tuple[str, ...], wait: float, as_json: bool) -> None:
    """Show level, generation, shares and floors, and what each team and class has."""
    shown = msgspec.json.decode(
        ask(nodes, "GET", operators.ADMISSION_PATH, None, timedelta(seconds=wait)), type=AdmissionStatus
    )
    if as_json:
        click.echo(msgspec.json.encode(shown))
        return
    click.echo(f"{shown.level}: {SAYS.get(shown.level, '')}")
    if shown.generation:
        since = datetime.fromtimestamp(shown.since_s, UTC)
        click.echo(
            f"generation {shown.generation}, since {operators.format_utc(since)}{format_until(shown.until_s)}"
            " unless renewed"
        )
    if shown.groups:
        click.echo(f"{'team':24}{'class':24}{'jobs':>7}{'used':>10}{'waiting':>10}{'floor':>9}{'share':>9}{'taken':>7}")
    for group in shown.groups:
        click.echo(_line(group))


def _line(group: GroupStatus) -> str:
    def cores(value: float | None) -> str:
        return "-" if value is None else f"{value:.0f}"

    return (
        f"{group.team:24}{group.job_class:24}{group.jobs:>7}{cores(group.used):>10}{cores(group.waiting):>10}"
        f"{cores(group.floor):>9}{cores(group.share):>9}{group.taken:>7.0%}"
    )
