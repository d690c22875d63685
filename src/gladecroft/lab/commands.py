"""``gladecroft lab``: runs scenarios in virtual time, or a cluster on the loopback interface in real time."""

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

from gladecroft.lab.loopback import LoopbackCluster, LoopbackError
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.scenario_syntax import ScenarioError
from gladecroft.protocol.settings import OperatorSettings, SettingsError, load_operator
from gladecroft.toolbox.controller_client import EXIT_BAD_INPUT, exit_with_error

EXIT_FAILED = 1
#: Time from the kill of a controller to its restart.
RESTART_DELAY = timedelta(seconds=3)
#: Time between two submissions at speed 1.
JOB_INTERVAL_S = 1.5
MAX_EVENTS_SHOWN = 30


@click.group()
def lab() -> None:
    """Run a test cluster in virtual time or on the loopback interface."""


@lab.command()
@click.argument("scenarios", nargs=-1, required=True, type=click.Path())
@click.option("--seed", default=1, show_default=True, help="Seed of the random number generator.")
@click.option("--json", "as_json", is_flag=True, help="Print the results as JSON.")
def play(scenarios: tuple[str, ...], seed: int, as_json: bool) -> None:
    """Run SCENARIO files in virtual time; check the rules of PROTOCOL and the expectations of the files."""
    logging.disable(logging.CRITICAL)
    failed = 0
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
        good = not oracle.violations and not scenario.unmet_expectations
        failed += not good
        if as_json:
            result = {
                "scenario": path, "seed": seed, "good": good, "broken_rules": oracle.violations,
                "not_as_expected": scenario.unmet_expectations, "starts": len(oracle.starts),
                "events": [] if good else list(oracle.events),
            }  # fmt: skip
            click.echo(msgspec.json.encode(result).decode())
            continue
        click.echo(f"{path}: seed {seed}: {'good' if good else 'NOT GOOD'}, {len(oracle.starts)} starts")
        for failure in scenario.unmet_expectations:
            click.echo(f"  not as expected: {failure}")
        if oracle.violations:
            for event in list(oracle.events)[-MAX_EVENTS_SHOWN:]:
                click.echo(f"  {event}")
        for violation in oracle.violations:
            click.echo(f"  broken rule: {violation}")
    sys.exit(EXIT_FAILED if failed else 0)


def _parse_window(text: str, option: str) -> tuple[float, float]:
    start, _, duration = text.partition(":")
    try:
        return float(start), float(duration)
    except ValueError:
        exit_with_error(EXIT_BAD_INPUT, f"{option}: expected AT:FOR in seconds, such as 20:30, got {text!r}")


@lab.command()
@click.option("--for", "duration_s", type=click.FloatRange(1), help="Seconds to run. Default: until Ctrl-C.")
@click.option("--controllers", default=3, show_default=True, type=click.IntRange(1, 9))
@click.option(
    "--speed", default=1.0, show_default=True, type=click.FloatRange(0.1, 10), help="Divisor of run and boot times."
)
@click.option("--kill", "kill_interval_s", type=click.FloatRange(4), help="Kill a controller every so many seconds.")
@click.option("--outage", help="Begin and duration of a state service outage in seconds, as AT:FOR.")
@click.option(
    "--port", default=0, type=click.IntRange(0, 65000), help="First port of the controllers. Default: any free ports."
)
@click.option("--properties", type=str, help="File with operator settings for the controllers.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print a line of JSON per second instead of a table.")
def up(
    duration_s: float | None,
    controllers: int,
    speed: float,
    kill_interval_s: float | None,
    outage: str | None,
    port: int,
    properties: str | None,
    seed: int,
    as_json: bool,
) -> None:
    """Start a cluster on the loopback interface, submit a small load and show the cluster's state."""
    outage_window = None if outage is None else _parse_window(outage, "--outage")
    try:
        operator_settings = load_operator(properties)
    except SettingsError as settings_error:
        exit_with_error(EXIT_BAD_INPUT, str(settings_error))
    logging.disable(logging.CRITICAL)
    display: Any = _JsonLines() if as_json else _live_table()
    cluster = LoopbackCluster(seed, controllers, speed, port)
    try:
        anyio.run(
            _run_cluster,
            cluster,
            operator_settings,
            duration_s,
            kill_interval_s,
            outage_window,
            display,
            backend_options={"use_uvloop": True},
        )
    except KeyboardInterrupt:
        pass
    except BaseExceptionGroup as group:
        cluster_errors = group.subgroup(LoopbackError)
        if cluster_errors is None:
            raise
        error: BaseException = cluster_errors
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        exit_with_error(EXIT_BAD_INPUT, str(error))
    finally:
        display.close()
    last = cluster.snapshot()
    if not as_json:
        click.echo(
            f"{last['at_s']:.0f} s: {last['jobs'].get('done', 0)} of {last['jobs']['submitted']} jobs done, "
            f"{cluster.kill_count} controllers killed, {len(last['broken_rules'])} broken rules (seed {seed})"
        )
    for violation in last["broken_rules"]:
        click.echo(f"broken rule: {violation}", err=True)
    sys.exit(EXIT_FAILED if last["broken_rules"] else 0)


async def _run_cluster(
    cluster: LoopbackCluster,
    operator_settings: OperatorSettings,
    duration_s: float | None,
    kill_interval_s: float | None,
    outage_window: tuple[float, float] | None,
    display: Any,
) -> None:
    async with anyio.create_task_group() as group:
        await cluster.start(group, operator_settings)
        started_at = time.monotonic()
        job_count = kill_count = shown_count = 0
        if outage_window is not None:
            cluster.sim.call_at(timedelta(seconds=outage_window[0]), lambda: cluster.state.set_outage(True))
            cluster.sim.call_at(timedelta(seconds=sum(outage_window)), lambda: cluster.state.set_outage(False))
        while duration_s is None or time.monotonic() - started_at < duration_s:
            elapsed_s = time.monotonic() - started_at
            if (
                any(controller.alive for controller in cluster.controllers)
                and elapsed_s * cluster.speed >= job_count * JOB_INTERVAL_S
            ):
                cluster.submit()
                job_count += 1
            if kill_interval_s is not None and elapsed_s >= (kill_count + 1) * kill_interval_s:
                await cluster.kill_random_controller(operator_settings, RESTART_DELAY)
                kill_count += 1
            if elapsed_s >= shown_count:
                display.show(cluster.snapshot())
                shown_count += 1
            await anyio.sleep(0.05)
        group.cancel_scope.cancel()


class _JsonLines:
    """Prints each snapshot as one line of JSON."""

    def show(self, snapshot: dict[str, Any]) -> None:
        click.echo(msgspec.json.encode(snapshot).decode())

    def close(self) -> None:
        pass


def _live_table() -> Any:
    try:
        from gladecroft.lab.live_table import LiveTable
    except ImportError:
        exit_with_error(EXIT_BAD_INPUT, "the table needs an extra: run pip install 'gladecroft[lab]', or use --json")
    return LiveTable()
