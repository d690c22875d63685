"""``gladecroft lab``: a cluster on loopback, and scenarios in virtual time."""

from __future__ import annotations

import logging
import sys
import time
from datetime import timedelta
from pathlib import Path
from typing import Any

import anyio
import click
import msgspec

from gladecroft.lab.loopback import Lab, LabError
from gladecroft.lab.scenario import Scenario, ScenarioError
from gladecroft.protocol.settings import OperatorSettings, SettingsError, load_operator
from gladecroft.toolbox.controller_client import EXIT_BAD_INPUT, exit_with_error

BROKEN = 1
#: A killed controller is started again after this.
DOWN = timedelta(seconds=3)
#: Seconds between two jobs, at speed 1.
JOB_EVERY_S = 1.5
EVENTS_SHOWN = 30


@click.group()
def lab() -> None:
    """A cluster to try things on: real sockets on loopback, or virtual time."""


@lab.command()
@click.argument("scenarios", nargs=-1, required=True, type=click.Path())
@click.option("--seed", default=1, show_default=True, help="What is drawn at random is drawn from this.")
@click.option("--json", "as_json", is_flag=True, help="Print the same in machine form.")
def play(scenarios: tuple[str, ...], seed: int, as_json: bool) -> None:
    """Play SCENARIO files in virtual time and check every rule."""
    logging.disable(logging.CRITICAL)
    bad = 0
    for path in scenarios:
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            exit_with_error(EXIT_BAD_INPUT, f"{path}: {error}")
        try:
            scenario = Scenario(text, seed).run()
        except ScenarioError as error:
            exit_with_error(EXIT_BAD_INPUT, f"{path}: {error}")
        oracle = scenario.oracle
        good = not oracle.broken and not scenario.failures
        bad += not good
        if as_json:
            result = {
                "scenario": path, "seed": seed, "good": good, "broken_rules": oracle.broken,
                "not_as_expected": scenario.failures, "starts": len(oracle.starts),
                "events": [] if good else list(oracle.events),
            }  # fmt: skip
            click.echo(msgspec.json.encode(result).decode())
            continue
        click.echo(f"{path}: seed {seed}: {'good' if good else 'NOT GOOD'}, {len(oracle.starts)} starts")
        for failure in scenario.failures:
            click.echo(f"  not as expected: {failure}")
        if oracle.broken:
            for event in list(oracle.events)[-EVENTS_SHOWN:]:
                click.echo(f"  {event}")
        for broken in oracle.broken:
            click.echo(f"  broken rule: {broken}")
    sys.exit(BROKEN if bad else 0)


def _span(text: str, name: str) -> tuple[float, float]:
    at, _, span = text.partition(":")
    try:
        return float(at), float(span)
    except ValueError:
        exit_with_error(EXIT_BAD_INPUT, f"{name}: expected AT:FOR in seconds, such as 20:30, got {text!r}")


@lab.command()
@click.option("--for", "length", type=click.FloatRange(1), help="Seconds to run. Default: until Ctrl-C.")
@click.option("--controllers", default=3, show_default=True, type=click.IntRange(1, 9))
@click.option("--speed", default=1.0, show_default=True, type=click.FloatRange(0.1, 10), help="Of work and boots.")
@click.option("--kill", "kill_every", type=click.FloatRange(4), help="End a controller every so many seconds.")
@click.option("--outage", help="AT:FOR, the state service is away, in seconds.")
@click.option(
    "--port", default=0, type=click.IntRange(0, 65000), help="First port of the controllers. Default: free ones."
)
@click.option("--properties", type=str, help="Operators' settings for the controllers.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print a line of JSON each second instead of a table.")
def up(
    length: float | None,
    controllers: int,
    speed: float,
    kill_every: float | None,
    outage: str | None,
    port: int,
    properties: str | None,
    seed: int,
    as_json: bool,
) -> None:
    """Start a cluster on loopback, submit a small load, and show it."""
    away = None if outage is None else _span(outage, "--outage")
    try:
        operator = load_operator(properties)
    except SettingsError as wrong:
        exit_with_error(EXIT_BAD_INPUT, str(wrong))
    logging.disable(logging.CRITICAL)
    show: Any = _Lines() if as_json else _table()
    made = Lab(seed, controllers, speed, port)
    try:
        anyio.run(_run, made, operator, length, kill_every, away, show, backend_options={"use_uvloop": True})
    except KeyboardInterrupt:
        pass
    except BaseExceptionGroup as group:
        mine = group.subgroup(LabError)
        if mine is None:
            raise
        error: BaseException = mine
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        exit_with_error(EXIT_BAD_INPUT, str(error))
    finally:
        show.close()
    last = made.snapshot()
    if not as_json:
        click.echo(
            f"{last['at_s']:.0f} s: {last['jobs'].get('done', 0)} of {last['jobs']['submitted']} jobs done, "
            f"{made.kills} controllers ended, {len(last['broken_rules'])} rules broken (seed {seed})"
        )
    for broken in last["broken_rules"]:
        click.echo(f"broken rule: {broken}", err=True)
    sys.exit(BROKEN if last["broken_rules"] else 0)


async def _run(
    made: Lab,
    operator_settings: OperatorSettings,
    length: float | None,
    kill_every: float | None,
    away: tuple[float, float] | None,
    show: Any,
) -> None:
    async with anyio.create_task_group() as group:
        await made.start(group, operator_settings)
        began = time.monotonic()
        jobs = kills = shown = 0
        if away is not None:
            made.world.at(timedelta(seconds=away[0]), lambda: made.state.set_outage(True))
            made.world.at(timedelta(seconds=sum(away)), lambda: made.state.set_outage(False))
        while length is None or time.monotonic() - began < length:
            now = time.monotonic() - began
            if any(door.alive for door in made.doors) and now * made.speed >= jobs * JOB_EVERY_S:
                made.submit()
                jobs += 1
            if kill_every is not None and now >= (kills + 1) * kill_every:
                await made.kill_one(operator_settings, DOWN)
                kills += 1
            if now >= shown:
                show.show(made.snapshot())
                shown += 1
            await anyio.sleep(0.05)
        group.cancel_scope.cancel()


class _Lines:
    def show(self, snapshot: dict[str, Any]) -> None:
        click.echo(msgspec.json.encode(snapshot).decode())

    def close(self) -> None:
        pass


def _table() -> Any:
    try:
        from gladecroft.lab.live_table import Table
    except ImportError:
        exit_with_error(EXIT_BAD_INPUT, "the table needs the extra: pip install 'gladecroft[lab]', or use --json")
    return Table()
