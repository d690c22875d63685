"""Measures the share of two teams' tasks that is started in an overload, in virtual time.

    python -m gladecroft.lab.overload [LOAD...] [--controllers N]

The large team submits urgent arrays at LOAD times the capacity of eight machines, the small team submits a small array
of normal priority every 20 s. Each load is run without and with admission control, which gives the teams fair shares.
"""

from __future__ import annotations

import logging
from functools import partial

import click

from gladecroft.lab.scenario import Scenario
from gladecroft.lab.simulation import seconds

FLEET_SCENARIO = """
nodes {nodes}
set machine.consolidate=false
set admission={on}
state rps=300 write_rps=60 txn_ops=24
team a cpus={guarantee} max=0
team b cpus=0 max=0
team d cpus=0 max=0
type g16 cpus=16 memory=64 count=0 spot=0
up g16 count=4
up g16 zone=b count=4
"""
#: Interval at which the large team's arrays (24 tasks of 4 cores for 8 s each) just fill the machines.
SATURATING_INTERVAL_S = 6.0
#: Interval and first time of submission of the small team's arrays (8 such tasks each).
SMALL_INTERVAL_S, SMALL_START_S = 20.0, 10.0
#: Nothing is submitted in the last part of the run: its tasks might not start before the end even without an overload.
EXCLUDED_TAIL_S = 20.0


def build_scenario(admission: bool, controllers: int = 3, guarantee: float = 0.0) -> Scenario:
    """Return a scenario with eight machines and no jobs."""
    return Scenario(FLEET_SCENARIO.format(on=str(admission).lower(), nodes=controllers, guarantee=guarantee), 1).run()


def submit_backlog(scenario: Scenario, load: float, until_s: float, priority: str = "urgent") -> int:
    """Schedule arrays wk-1... of team a at ``load`` times the machines' capacity; return their number."""
    count = int((until_s - 2.0) * load / SATURATING_INTERVAL_S)
    for number in range(count):
        words = ["submit", f"wk-1{number:05d}", "team=a", f"priority={priority}", "tasks=24", "cpus=4", "run=8"]
        scenario.sim.call_at(seconds(2.0 + number * SATURATING_INTERVAL_S / load), partial(scenario.perform, words))
    return count


def submit_small_arrays(scenario: Scenario, until_s: float) -> int:
    """Schedule small arrays wk-2... of team b; return their number."""
    count = int((until_s - SMALL_START_S) / SMALL_INTERVAL_S)
    for number in range(count):
        words = ["submit", f"wk-2{number:05d}", "team=b", "tasks=8", "cpus=4", "run=8"]
        scenario.sim.call_at(seconds(SMALL_START_S + number * SMALL_INTERVAL_S), partial(scenario.perform, words))
    return count


def count_started_tasks(scenario: Scenario, team: str) -> int:
    """Return how many tasks of the jobs wk-<team>... were started at least once; ``team`` is a digit of the job id."""
    return len({start[1] for start in scenario.oracle.starts if start[1][0].startswith(f"wk-{team}")})


def measure_started_shares(
    admission: bool, load: float, controllers: int, until_s: float = 300.0
) -> tuple[float, float]:
    """Return the shares of the large and of the small team's tasks that are started."""
    scenario = build_scenario(admission, controllers)
    large, small = (
        submit_backlog(scenario, load, until_s - EXCLUDED_TAIL_S),
        submit_small_arrays(scenario, until_s - EXCLUDED_TAIL_S),
    )
    scenario.sim.run_until(seconds(until_s))
    if scenario.oracle.violations:
        raise RuntimeError(f"rule violated: {scenario.oracle.violations[0]}")
    return count_started_tasks(scenario, "1") / (24 * large), count_started_tasks(scenario, "2") / (8 * small)


@click.command()
@click.argument("loads", nargs=-1, type=click.FloatRange(min=0.1, max=20))
@click.option("--controllers", default=3, show_default=True, type=click.IntRange(1, 9))
def main(loads: tuple[float, ...], controllers: int) -> None:
    """Print the shares of both teams' tasks that are started, for each load (simulated)."""
    logging.disable(logging.CRITICAL)
    print(f"{controllers} controllers; simulated")
    print(f"{'load':>6}{'large, off':>12}{'small, off':>12}{'large, on':>12}{'small, on':>12}")
    for load in loads or (0.5, 1.0, 2.0, 3.0, 6.0):
        shares = [*measure_started_shares(False, load, controllers), *measure_started_shares(True, load, controllers)]
        print(f"{load:>6g}" + "".join(f"{share:>12.3f}" for share in shares), flush=True)


if __name__ == "__main__":
    main()
