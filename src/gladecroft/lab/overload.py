"""Two teams in an overload: how many of each one's tasks are started, with and without fair shares, in virtual time.

    python -m gladecroft.lab.overload [LOAD...] [--controllers N]

One team submits urgent arrays, LOAD times what eight machines can do; the other one a small normal array every 20 s.
"""

from __future__ import annotations

import logging
from functools import partial

import click

from gladecroft.lab.scenario import Scenario
from gladecroft.lab.simulation import seconds

FLEET = """
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
#: Seconds between two of the flood's arrays (24 tasks of 4 cores for 8 s) that just fill the machines.
FULL_EVERY = 6.0
#: The small team's array (8 such tasks) comes every so many seconds, from ``SMALL_FROM`` on.
SMALL_EVERY, SMALL_FROM = 20.0, 10.0
#: What comes in the last seconds can't be told from what is not served.
LEFT_OUT = 20.0


def fleet(on: bool, nodes: int = 3, guarantee: float = 0.0) -> Scenario:
    """The eight machines, before anything has happened."""
    return Scenario(FLEET.format(on=str(on).lower(), nodes=nodes, guarantee=guarantee), 1).run()


def pour(scenario: Scenario, load: float, until: float, priority: str = "urgent") -> int:
    """Have team a submit arrays wk-1..., ``load`` times what the machines can do; how many."""
    count = int((until - 2.0) * load / FULL_EVERY)
    for number in range(count):
        words = ["submit", f"wk-1{number:05d}", "team=a", f"priority={priority}", "tasks=24", "cpus=4", "run=8"]
        scenario.world.at(seconds(2.0 + number * FULL_EVERY / load), partial(scenario._do, words))
    return count


def drip(scenario: Scenario, until: float) -> int:
    """Have team b submit a small array wk-2... now and then; how many."""
    count = int((until - SMALL_FROM) / SMALL_EVERY)
    for number in range(count):
        words = ["submit", f"wk-2{number:05d}", "team=b", "tasks=8", "cpus=4", "run=8"]
        scenario.world.at(seconds(SMALL_FROM + number * SMALL_EVERY), partial(scenario._do, words))
    return count


def started(scenario: Scenario, team: str) -> int:
    """Tasks of the jobs wk-<team>... that were started at least once."""
    return len({start[1] for start in scenario.oracle.starts if start[1][0].startswith(f"wk-{team}")})


def served(on: bool, load: float, nodes: int, until: float = 300.0) -> tuple[float, float]:
    """The shares of both teams' tasks that are started."""
    scenario = fleet(on, nodes)
    large, small = pour(scenario, load, until - LEFT_OUT), drip(scenario, until - LEFT_OUT)
    scenario.world.run_until(seconds(until))
    if scenario.oracle.broken:
        raise RuntimeError(f"a rule is broken: {scenario.oracle.broken[0]}")
    return started(scenario, "1") / (24 * large), started(scenario, "2") / (8 * small)


@click.command()
@click.argument("loads", nargs=-1, type=click.FloatRange(min=0.1, max=20))
@click.option("--controllers", default=3, show_default=True, type=click.IntRange(1, 9))
def main(loads: tuple[float, ...], controllers: int) -> None:
    """The shares of both teams' tasks that are started, by load (simulated)."""
    logging.disable(logging.CRITICAL)
    print(f"{controllers} controllers; simulated")
    print(f"{'load':>6}{'flood, off':>12}{'small, off':>12}{'flood, on':>12}{'small, on':>12}")
    for load in loads or (0.5, 1.0, 2.0, 3.0, 6.0):
        shares = [*served(False, load, controllers), *served(True, load, controllers)]
        print(f"{load:>6g}" + "".join(f"{share:>12.3f}" for share in shares), flush=True)


if __name__ == "__main__":
    main()
