"""``gladecroft cordon``: sets, lifts and lists cordons, which exclude machines from new tasks."""

from __future__ import annotations

import getpass
import re
from datetime import UTC, datetime, timedelta

import click
import msgspec

from gladecroft.protocol import operators
from gladecroft.protocol.operators import CordonList, CordonRequest, CordonScope
from gladecroft.toolbox.controller_client import EXIT_BAD_INPUT, exit_with_error, send_request
from gladecroft.toolbox.options import as_json_option, node_option, wait_option

UNIT_SECONDS = {"s": 1, "m": 60, "h": 3600, "d": 86400}

_scope = click.argument("scope", type=click.Choice([scope.value for scope in CordonScope]))
_name = click.argument("name")


def parse_duration(text: str) -> timedelta:
    """Parses a duration such as 90s, 30m, 2h or 1d.

    Raises ``ValueError`` if it is invalid and ``OverflowError`` if it is too long for a ``timedelta``.
    """
    match = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd])", text)
    if match is None:
        raise ValueError(f"{text!r}: expected a number with a unit (s, m, h or d), such as 30m")
    return timedelta(seconds=float(match[1]) * UNIT_SECONDS[match[2]])


def parse_time(text: str, now: datetime) -> datetime:
    """Parses a time with ``dateutil``, in the local time zone unless it names one.

    Raises ``ValueError`` or ``OverflowError`` if the time is invalid, and ``ValueError`` if ``dateutil`` is not
    installed.
    """
    try:
        from dateutil import parser, tz
    except ImportError:
        raise ValueError(
            "parsing times needs an optional dependency: pip install 'gladecroft[toolbox]', or use --for"
        ) from None
    parsed = parser.parse(text, default=now.astimezone(tz.tzlocal()).replace(second=0, microsecond=0))
    return parsed if parsed.tzinfo is not None else parsed.replace(tzinfo=tz.tzlocal())


@click.group()
def cordon() -> None:
    """Exclude machines from new tasks, by machine, type or zone. Running tasks continue."""


@cordon.command("set")
@_scope
@_name
@node_option
@wait_option
@click.option("--why", default="", help="Reason shown to users and other operators.")
@click.option("--for", "duration", help="Duration, such as 30m or 2h. Default: until lifted.")
@click.option("--until", help="End time, such as '18:00' or '2026-12-24 06:00 UTC'.")
@as_json_option
def set_(
    scope: str,
    name: str,
    nodes: tuple[str, ...],
    wait: float,
    why: str,
    duration: str | None,
    until: str | None,
    as_json: bool,
) -> None:
    """Exclude a machine, all machines of a type, or a zone from new tasks."""
    now = datetime.now(UTC)
    if duration is not None and until is not None:
        exit_with_error(EXIT_BAD_INPUT, "--for and --until exclude each other")
    end: datetime | None = None
    try:
        if duration is not None:
            end = now + parse_duration(duration)
        elif until is not None:
            end = parse_time(until, now)
    except (ValueError, OverflowError) as error:
        exit_with_error(EXIT_BAD_INPUT, f"{'--for' if duration is not None else '--until'}: {error}")
    if end is not None and end <= now:
        exit_with_error(EXIT_BAD_INPUT, f"the cordon would already have expired: it is now {now:%Y-%m-%d %H:%M} UTC")
    until_s = 0 if end is None else int(end.timestamp())
    try:
        by = getpass.getuser()
    except (OSError, KeyError):
        by = ""
    _send_command(CordonRequest(CordonScope(scope), name, why, by, until_s), nodes, wait, as_json)


@cordon.command()
@_scope
@_name
@node_option
@wait_option
@as_json_option
def lift(scope: str, name: str, nodes: tuple[str, ...], wait: float, as_json: bool) -> None:
    """Remove a cordon."""
    _send_command(CordonRequest(CordonScope(scope), name, lift=True), nodes, wait, as_json)


def _send_command(request: CordonRequest, nodes: tuple[str, ...], wait: float, as_json: bool) -> None:
    body = msgspec.json.encode(request)
    try:
        msgspec.json.decode(body, type=CordonRequest)
    except msgspec.ValidationError as error:
        exit_with_error(EXIT_BAD_INPUT, str(error))
    send_request(nodes, "POST", operators.CORDONS_PATH, body, timedelta(seconds=wait))
    if as_json:
        click.echo(body.decode())
    elif request.lift:
        click.echo(f"{request.scope.value} {request.name}: the cordon is lifted")
    else:
        click.echo(f"{request.scope.value} {request.name} takes nothing new{operators.format_until(request.until_s)}")


@cordon.command("list")
@node_option
@wait_option
@as_json_option
def list_(nodes: tuple[str, ...], wait: float, as_json: bool) -> None:
    """Show the cordons that a controller knows, and how many machines each cordon excludes."""
    body = send_request(nodes, "GET", operators.CORDONS_PATH, None, timedelta(seconds=wait))
    if as_json:
        click.echo(body.decode())
        return
    cordons = msgspec.json.decode(body, type=CordonList).cordons
    for entry in cordons:
        details = ", ".join(part for part in (entry.why, f"by {entry.by}" if entry.by else "") if part)
        machines = f"{entry.machines} machine{'' if entry.machines == 1 else 's'}"
        click.echo(
            f"{entry.scope.value} {entry.name}: {machines}{operators.format_until(entry.until_s)}"
            + (f" ({details})" if details else "")
        )
    if not cordons:
        click.echo("no cordons")
