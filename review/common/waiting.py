"""Measures how long accepted jobs are left waiting while a machine that fits has room."""

from __future__ import annotations

from collections.abc import Iterable

from cluster import Cluster, anyio, find_placeable_jobs

#: kit/more/hunt/LATER.md: "Once the troubles are over, no job is left waiting for 90 s while a machine that fits has
#: room and its team is under its limit."
MAX_WAIT_S = 90.0


async def longest_waits(cluster: Cluster, job_ids: Iterable[str], last_at: float) -> dict[str, float]:
    """Return the longest time that each job waited; stop at ``last_at``, or once all are done or one waited too long.

    A job waits while it has been accepted, none of its tasks is on a machine, and the project's oracle finds a
    machine on which one of its tasks fits within the limit of its team. Times are seconds since the start of the run.
    """
    longest = dict.fromkeys(job_ids, 0.0)
    since: dict[str, float] = {}
    while cluster.sim.elapsed() < last_at:
        await anyio.sleep(0.25)
        now = cluster.sim.elapsed()
        placeable = find_placeable_jobs(cluster.cloud.machines.values(), cluster.jobs, cluster.oracle)
        present = {key[0] for key, places in cluster.oracle.running_on.items() if places}
        for job in longest:
            if job in placeable and job not in present:
                longest[job] = max(longest[job], now - since.setdefault(job, now))
            else:
                since.pop(job, None)
        if all(job in cluster.oracle.done_at for job in longest) or max(longest.values()) > MAX_WAIT_S:
            break
    for job, waited in longest.items():
        user = cluster.users[job]
        state = cluster.oracle.reported_state.get(job, "not accepted")
        cluster.record.write(f"{job}: waited {waited:.1f} s at most; last told: {state} {user.last_reason}")
    for worker in cluster.cloud.machines.values():
        cluster.record.write(f"{worker.name} in {worker.zone}: {worker.free_cores():g} cores are free")
    cluster.record.write(f"rules broken by the project's oracle: {cluster.oracle.violations[:5]}")
    return longest


def exit_code(cluster: Cluster, longest: dict[str, float]) -> int:
    """1: a job waited too long; 0: all jobs ran; 2: a job was not accepted, or the time was too short to tell."""
    if any(waited > MAX_WAIT_S for waited in longest.values()):
        return 1
    return 0 if all(job in cluster.oracle.done_at for job in longest) else 2
