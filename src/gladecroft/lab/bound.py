"""Computes an upper bound on the share of arrays that any scheduling order could have finished in time.

    python -m gladecroft.lab.bound LOG [CLASS] [SECONDS...]

LOG holds a day's log lines of the controllers at level ``info``. They tell when each array of the class was accepted,
how long its tasks held capacity in total and when it finished, and how many tasks held capacity at each instant. The
bound is computed with knowledge of all arrivals and assigns this capacity to the arrays in any order. It is the largest
share of these arrays that can finish within a given time of their acceptance: an integer programme, solved by HiGHS
through SciPy to a relative gap of 1 % or for at most 120 s.

No scheduling order can exceed the bound, because the model is more permissive than the cluster: all tasks count as
equal in cores, may be split in time, and load their image once. A second bound assumes the day's highest capacity from
the start. Where it is higher, the difference is due to machines that were added late and to the limited rate of
changes (operations in commits).
"""

from __future__ import annotations

import re
import sys
from collections import defaultdict
from collections.abc import Iterable
from datetime import datetime

import msgspec
import numpy as np
from scipy.optimize import Bounds, LinearConstraint, milp
from scipy.sparse import coo_array

LOG_LINE = re.compile(r"(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}) INFO gladecroft\.\S+: (.*)")
ACCEPTED = re.compile(r"job (\S+): accepted, (\d+) tasks of (\S+) for (\S+)(?: with (\S+) cores for (\S+) s each)?")
PLACED = re.compile(r"(\S+)/(\d+)#(\d+) goes to ")
ENDED = re.compile(r"(\S+)/(\d+)#(\d+) on \S+ ended: ")
FINISHED = re.compile(r"(\S+) is over: done")
#: Length of the time slots in which capacity is counted, in seconds.
SLOT_S = 5.0
MIP_RELATIVE_GAP = 0.01


class LoggedJob(msgspec.Struct):
    """A job as the log shows it. Times are in seconds since the log's first line."""

    accepted_at_s: float
    tasks: int
    job_class: str
    finished_at_s: float | None = None
    #: Total time in which the job's tasks held capacity, in task-seconds. ``fair`` replaces it by an estimate in
    #: core-seconds.
    work: float = 0.0
    team: str = ""
    #: Cores of each task (0: not in the log).
    cores: float = 0.0
    #: Duration of each task in seconds as the job's user estimates it (0: the job is a service).
    estimate_s: float = 0.0


def read_log(lines: Iterable[str]) -> tuple[dict[str, LoggedJob], dict[str, list[tuple[float, float]]]]:
    """Return the accepted jobs, and the start and end of every attempt of each job, both by job id."""
    jobs: dict[str, LoggedJob] = {}
    placed_at: dict[tuple[str, str, str], float] = {}
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    first_at: datetime | None = None
    now_s = 0.0
    for line in lines:
        match = LOG_LINE.search(line)
        if match is None:
            continue
        logged_at = datetime.strptime(match[1], "%Y-%m-%d %H:%M:%S,%f")
        first_at = first_at or logged_at
        now_s = (logged_at - first_at).total_seconds()
        text = match[2]
        if accepted := ACCEPTED.match(text):
            jobs[accepted[1]] = LoggedJob(
                now_s, int(accepted[2]), accepted[3], team=accepted[4],
                cores=float(accepted[5] or 0), estimate_s=float(accepted[6] or 0),
            )  # fmt: skip
        elif placed := PLACED.match(text):
            placed_at[placed[1], placed[2], placed[3]] = now_s
        elif ended := ENDED.match(text):
            start = placed_at.pop((ended[1], ended[2], ended[3]), None)
            if start is not None:
                spans[ended[1]].append((start, max(now_s, start)))
        elif (finished := FINISHED.match(text)) and finished[1] in jobs:
            jobs[finished[1]].finished_at_s = now_s
    for (job_id, _, _), start in placed_at.items():
        # The exits of a job's last tasks have no log lines of their own; they count as logged with the final state.
        job_end = jobs[job_id].finished_at_s if job_id in jobs else None
        spans[job_id].append((start, max(start, job_end if job_end is not None else now_s)))
    for job_id, logged_job in jobs.items():
        logged_job.work = sum(end - start for start, end in spans.get(job_id, ()))
    return jobs, spans


def capacity_per_slot(spans: Iterable[tuple[float, float]], end_s: float) -> np.ndarray:
    """Return the task-seconds of the spans in each time slot up to ``end_s``."""
    capacity = np.zeros(int(end_s // SLOT_S) + 2)
    for start, stop in spans:
        for slot in range(int(start // SLOT_S), int(stop // SLOT_S) + 1):
            capacity[slot] += max(0.0, min(stop, (slot + 1) * SLOT_S) - max(start, slot * SLOT_S))
    return capacity


def max_share_in_time(jobs: list[LoggedJob], capacity: np.ndarray, within_s: float) -> float:
    """Return an upper bound on the share of the jobs that finish within ``within_s`` of their acceptance."""
    rows: list[int] = []
    columns: list[int] = []
    values: list[float] = []
    max_work: list[float] = []
    count = len(jobs)
    # Columns: whether each job finishes in time, then the task-seconds of each job in each slot.
    column = count
    for index, job in enumerate(jobs):
        rows.append(index)
        columns.append(index)
        values.append(-job.work)
        for slot in range(
            int(job.accepted_at_s // SLOT_S), min(int((job.accepted_at_s + within_s) // SLOT_S) + 1, len(capacity))
        ):
            overlap = min(job.accepted_at_s + within_s, (slot + 1) * SLOT_S) - max(job.accepted_at_s, slot * SLOT_S)
            rows += [index, count + slot]
            columns += [column, column]
            values += [1.0, 1.0]
            max_work.append(job.tasks * max(0.0, overlap))
            column += 1
    matrix = coo_array((values, (rows, columns)), shape=(count + len(capacity), column)).tocsr()
    lower_limits = np.concatenate([np.zeros(count), np.full(len(capacity), -np.inf)])
    upper_limits = np.concatenate([np.full(count, np.inf), capacity])
    solution = milp(
        c=np.concatenate([np.full(count, -1.0), np.zeros(column - count)]),
        constraints=LinearConstraint(matrix, lower_limits, upper_limits),
        integrality=np.concatenate([np.ones(count), np.zeros(column - count)]),
        bounds=Bounds(np.zeros(column), np.concatenate([np.ones(count), max_work])),
        options={"mip_rel_gap": MIP_RELATIVE_GAP, "time_limit": 120},
    )
    if solution.mip_dual_bound is None:
        raise RuntimeError(f"the solver found no bound: {solution.message}")
    return min(1.0, -float(solution.mip_dual_bound) / count)


def main() -> None:
    """Print the share of the arrays that finished in time, of those that held capacity, and both upper bounds."""
    if len(sys.argv) < 2:
        sys.exit("usage: python -m gladecroft.lab.bound LOG [CLASS] [SECONDS...]")
    with open(sys.argv[1], encoding="utf-8", errors="replace") as lines:
        jobs, spans = read_log(lines)
    job_class = sys.argv[2] if len(sys.argv) > 2 else "reconciliation"
    selected = {job_id: job for job_id, job in jobs.items() if job.job_class == job_class and job.work > 0}
    if not selected:
        sys.exit(f"bound: no array of class {job_class} in {sys.argv[1]}")
    end = max(end for job_spans in spans.values() for _, end in job_spans)
    capacity = capacity_per_slot([span for job_id in selected for span in spans[job_id]], end)
    max_capacity = np.full(len(capacity), capacity.max())
    print(f"{len(selected)} arrays of {job_class}, at most {capacity.max() / SLOT_S:.0f} tasks at once (simulated)")
    print(f"{'finished in':>12}{'reached':>10}{'best order':>12}{'max capacity':>18}")
    for within_s in [float(word) for word in sys.argv[3:]] or [70.0, 120.0]:
        selected_jobs = list(selected.values())
        reached = sum(
            job.finished_at_s is not None and job.finished_at_s - job.accepted_at_s <= within_s for job in selected_jobs
        ) / len(selected_jobs)
        best, best_at_max = (
            max_share_in_time(selected_jobs, capacity, within_s),
            max_share_in_time(selected_jobs, max_capacity, within_s),
        )
        print(f"{within_s:>10.0f} s{reached:>10.3f}{best:>12.3f}{best_at_max:>18.3f}")


if __name__ == "__main__":
    main()
