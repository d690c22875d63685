"""A running array of 3,530 small tasks, and an outage of the state service of 8 s. Then new jobs are submitted.

Rule: once the troubles are over, no job is left waiting for 90 s while a machine that fits has room and its team is
under its limit.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from cluster import Cluster, SimulatedMachineType, Worker, anyio, main, run_cluster, seconds  # noqa: E402
from waiting import MAX_WAIT_S, exit_code, longest_waits  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
#: kit/sites/brokeri-sofia.toml: state_outage for_s = 10.0 and 12.0.
OUTAGE_S = 8.0
#: Like tick-replay of kit/more/brokeri-sofia-ops.toml (25,000 tasks of 0.25 CPUs and 0.45 GB), but smaller.
TASKS = 3530
LONG_RUN_S = 600.0
#: One task in this many is short: they end in their order, within 6 s of the time at which all tasks run.
SHORT_TASK_EVERY = 29


async def run() -> int:
    cluster = Cluster(
        HERE,
        zones=("sofia-north",),
        teams=[
            {"name": "clearing-desk", "cpus": 144.0, "cpus_max": 472.0},
            {"name": "market-academy", "cpus": 0.0, "cpus_max": 0.0},
        ],
        types={
            "desk16": SimulatedMachineType("desk16", 16, 32, 0.7, 0.3, 25.0),
            "ledger32": SimulatedMachineType("ledger32", 32, 256, 1.88, 0.81, 30.0),
        },
        capacity=30,
    )
    return await run_cluster(cluster, play)


def end_task(cluster: Cluster, number: int) -> None:
    for worker in cluster.cloud.machines.values():
        if isinstance(worker, Worker):
            worker.end_task("wk-1", number)


async def play(cluster: Cluster) -> int:
    record, oracle = cluster.record, cluster.oracle
    for machine_type, count in (("ledger32", 18), ("desk16", 22)):
        for _ in range(count):
            cluster.rent(machine_type, "sofia-north")
    await anyio.sleep(0.8)
    cluster.submit(
        cluster.spec(
            "wk-1",
            cohort="tick-replay",
            owner="market-academy",
            urgency="best_effort",
            portions=TASKS,
            cores=0.25,
            memoryGb=0.45,
            imageGb=0.5,
            runS=LONG_RUN_S,
            expectedS=LONG_RUN_S,
        )  # fmt: skip
    )

    def running() -> int:
        return sum(bool(places) for key, places in oracle.running_on.items() if key[0] == "wk-1")

    with anyio.move_on_after(20):
        while running() < TASKS:
            await anyio.sleep(0.2)
    record.write(f"{running()} tasks of wk-1 run")
    if running() < TASKS:
        return 2
    for index, number in enumerate(range(0, TASKS, SHORT_TASK_EVERY)):
        cluster.sim.call_later(seconds(1.0 + index * 0.04), lambda number=number: end_task(cluster, number))
    if TROUBLE:
        record.write("state service: outage begins")
        cluster.state.set_outage(True)
    await anyio.sleep(OUTAGE_S)
    if TROUBLE:
        cluster.state.set_outage(False)
        record.write("state service: outage ends")
    record.write(f"{len(oracle.completed_tasks.get('wk-1', ()))} tasks of wk-1 have completed")
    await anyio.sleep(0.5)
    # Two jobs, as the teams may have different home controllers.
    jobs = {"wk-2": "market-academy", "wk-3": "clearing-desk"}
    for job, team in jobs.items():
        cluster.submit(cluster.spec(job, owner=team, portions=2, cores=1.0, runS=3.0, expectedS=3.0))
    longest = await longest_waits(cluster, jobs, min(cluster.sim.elapsed() + MAX_WAIT_S + 8, 115))
    record.write(f"commits beyond a limit of the state service: {len(cluster.rejected_commits)}")
    return exit_code(cluster, longest)


if __name__ == "__main__":
    main(run)
