"""``gladecroft cordon``: machines that are to take nothing new."""

from __future__ import annotations

import getpass
import re
from datetime import UTC, datetime, timedelta

import click
import msgspec

from gladecroft.protocol import operators
from gladecroft.protocol.operators import CordonList, CordonRequest, CordonScope
from gladecroft.toolbox.controller_client import EXIT_BAD_INPUT, ask, exit_with_error
from gladecroft.toolbox.options import as_json_option, node_option, wait_option

UNITS = {"s": 1, "m": 60, "h": 3600, "d": 86400}

_scope = click.argument("scope", type=click.Choice([scope.value for scope in CordonScope]))
_name = click.argument("name")


def span(text: str) -> timedelta:
    """A length of time such as 90s, 30m, 2h or 1d; ``ValueError`` if it is none."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd])", text)
    if match is None:
        raise ValueError(f"{text!r}: expected a number and s, m, h or d, such as 30m")
    return timedelta(seconds=float(match[1]) * UNITS[match[2]])


def instant(text: str, now: datetime) -> datetime:
    """A time of day in words that ``dateutil`` reads; without a zone in this machine's own. ``ValueError`` if none."""
    try:
        from dateutil import parser, tz
    except ImportError:
        raise ValueError("reading times needs the extra: pip install 'gladecroft[toolbox]', or use --for") from None
    found = parser.parse(text, default=now.astimezone(tz.tzlocal()).replace(second=0, microsecond=0))
    return found if found.tzinfo is not None else found.replace(tzinfo=tz.tzlocal())


@click.group()
def cordon() -> None:
    """Machines that are to take nothing new, by machine, type or zone. What runs there runs on."""


@cordon.command("set")
@_scope
@_name
@node_option
@wait_option
@click.option("--why", default="", help="The reason, for users and other operators.")
@click.option("--for", "length", help="How long, such as 30m or 2h. Default: until it is lifted.")
@click.option("--until", help="Until when, such as '18:00' or '2026-12-24 06:00 UTC'.")
@as_json_option
def set_(
    scope: str,
    name: str,
    nodes: tuple[str, ...],
    wait: float,
    why: str,
    length: str | None,
    until: str | None,
    as_json: bool,
) -> None:
    """Shut a machine, all machines of a TYPE, or a zone."""
    now = datetime.now(UTC)
    if length is not None and until is not None:
        exit_with_error(EXIT_BAD_INPUT, "give --for or --until, not both")
    end: datetime | None = None
    try:
        if length is not None:
            end = now + span(length)
        elif until is not None:
            end = instant(until, now)
    except (ValueError, OverflowError) as error:
        exit_with_error(EXIT_BAD_INPUT, f"{'--for' if length is not None else '--until'}: {error}")
    if end is not None and end <= now:
        exit_with_error(EXIT_BAD_INPUT, f"the cordon would be over already: it is {now:%Y-%m-%d %H:%M} UTC")
    until_s = 0 if end is None else int(end.timestamp())
    try:
        by = getpass.getuser()
    except (OSError, KeyError):
        by = ""
    _order(CordonRequest(CordonScope(scope), name, why, by, until_s), nodes, wait, as_json)


@cordon.command()
@_scope
@_name
@node_option
@wait_option
@as_json_option
def lift(scope: str, name: str, nodes: tuple[str, ...], wait: float, as_json: bool) -> None:
    """End a cordon."""
    _order(CordonRequest(CordonScope(scope), name, lift=True), nodes, wait, as_json)


def _order(order: CordonRequest, nodes: tuple[str, ...], wait: float, as_json: bool) -> None:
    body = msgspec.json.encode(order)
    try:
        msgspec.json.decode(body, type=CordonRequest)
    except msgspec.ValidationError as error:
        exit_with_error(EXIT_BAD_INPUT, str(error))
    ask(nodes, "POST", operators.CORDONS_PATH, body, timedelta(seconds=wait))
    if as_json:
        click.echo(body.decode())
    elif order.lift:
        click.echo(f"{order.scope.value} {order.name}: the cordon is lifted")
    else:
        click.echo(f"{order.scope.value} {order.name} takes nothing new{operators.format_until(order.until_s)}")


@cordon.command("list")
@node_option
@wait_option
@as_json_option
def list_(nodes: tuple[str, ...], wait: float, as_json: bool) -> None:
    """Show the cordons that a controller knows of, and how many machines each shuts."""
    body = ask(nodes, "GET", operators.CORDONS_PATH, None, timedelta(seconds=wait))
    if as_json:
        click.echo(body.decode())
        return
    cordons = msgspec.json.decode(body, type=CordonList).cordons
    for each in cordons:
        about = ", ".join(part for part in (each.why, f"by {each.by}" if each.by else "") if part)
        machines = f"{each.machines} machine{'' if each.machines == 1 else 's'}"
        click.echo(
            f"{each.scope.value} {each.name}: {machines}{operators.format_until(each.until_s)}"
            + (f" ({about})" if about else "")
        )
    if not cordons:
        click.echo("no cordons")
