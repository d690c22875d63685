"""Computes upper bounds on the share of each class's and team's tasks that could have been placed on a logged day.

    python -m gladecroft.lab.fair LOG [--changes PER_S] [--skip-last S] [--json]

LOG holds a day's log lines of the controllers at level ``info``. A job's share is the share of its tasks that were
placed at least once. A linear programme, solved by HiGHS through SciPy, first maximises the smallest share of any
class or team under the given capacity and rate of changes (operations in commits), and then the mean share of all
jobs.

The capacity at an instant is the largest number of cores held at once within 30 s before or after it. A second bound
assumes the day's largest number of cores throughout. The duration of a task is the median duration of its job's
attempts in the log, but at most the user's estimate; the estimate is used as well if the job has no attempt. Services
hold their capacity to the end. No scheduling order can exceed the result, because the model lets no task lose capacity
by starting late. In an overload exits are recorded late, so the log shows more capacity as held than was in use.
"""

from __future__ import annotations

import json
import sys
from collections import defaultdict
from collections.abc import Iterable, Mapping

import click
import msgspec
import numpy as np
from scipy.optimize import linprog
from scipy.sparse import csr_array

from gladecroft.lab.bound import SLOT_S, LoggedJob, capacity_per_slot, read_log

#: The capacity of a slot is the maximum of the held capacity over this many slots before and after it.
WINDOW_SLOTS = 6
#: Least number of changes until a job's tasks are placed: one accepts the job, one places the tasks.
MIN_CHANGES_PER_JOB = 2.0


class DaySummary(msgspec.Struct):
    """A logged day: its jobs, the share of each job's tasks that was placed, and the capacity available to them."""

    #: By job id; ``work`` is the estimated total work of all tasks in core-seconds.
    jobs: dict[str, LoggedJob]
    placed_share: dict[str, float]
    #: Core-seconds in each slot.
    capacity: np.ndarray
    #: Seconds since the log's first line.
    end_s: float

    @property
    def max_cores(self) -> float:
        """Return the largest number of cores held at once."""
        return float(self.capacity.max(initial=0.0)) / SLOT_S

    def at_max_capacity(self) -> DaySummary:
        """Return the same day with its largest capacity in every slot."""
        return DaySummary(
            self.jobs, self.placed_share, np.full_like(self.capacity, self.capacity.max(initial=0.0)), self.end_s
        )


def read_day(lines: list[str], skip_last_s: float) -> DaySummary:
    """Return the day that the log lines describe, without the jobs accepted in its last ``skip_last_s`` seconds."""
    all_jobs, spans = read_log(lines)
    last_at_s = max((stop for job_spans in spans.values() for _, stop in job_spans), default=0.0)
    held_core_seconds = np.zeros(int(last_at_s // SLOT_S) + 2)
    for job_id, job_spans in spans.items():
        if job_id in all_jobs:
            held_core_seconds += (
                _resize(capacity_per_slot(job_spans, last_at_s), len(held_core_seconds)) * all_jobs[job_id].cores
            )
    placed = _placed_tasks(lines)
    end_s = last_at_s - skip_last_s
    jobs = {job_id: job for job_id, job in all_jobs.items() if job.accepted_at_s <= end_s}
    for job_id, job in jobs.items():
        durations = [stop - start for start, stop in spans.get(job_id, ())]
        task_s = job.estimate_s or last_at_s - job.accepted_at_s
        if job.estimate_s and durations:
            task_s = min(task_s, float(np.median(durations)))
        job.work = job.cores * job.tasks * max(task_s, 0.1)
    placed_share = {job_id: min(1.0, len(placed.get(job_id, ())) / job.tasks) for job_id, job in jobs.items()}
    windows = np.lib.stride_tricks.sliding_window_view(
        np.pad(held_core_seconds, WINDOW_SLOTS, mode="edge"), 2 * WINDOW_SLOTS + 1
    )
    return DaySummary(jobs, placed_share, windows.max(axis=1), last_at_s)


def _resize(held: np.ndarray, length: int) -> np.ndarray:
    return np.concatenate([held, np.zeros(max(0, length - len(held)))])[:length]


def _placed_tasks(lines: list[str]) -> dict[str, set[str]]:
    placed: dict[str, set[str]] = defaultdict(set)
    for line in lines:
        _, found, rest = line.rpartition(": wk-")
        if found and " goes to " in rest:
            id_suffix, _, task = rest.partition("/")
            placed["wk-" + id_suffix].add(task.partition("#")[0])
    return placed


def job_ids_by_group(day: DaySummary) -> dict[str, list[str]]:
    """Return the ids of the jobs of each class and of each team."""
    groups: dict[str, list[str]] = defaultdict(list)
    for job_id, job in day.jobs.items():
        groups[f"class {job.job_class}"].append(job_id)
        groups[f"team {job.team}"].append(job_id)
    return dict(groups)


def best_shares(day: DaySummary, changes_per_s: float) -> tuple[float, dict[str, float]]:
    """Return the largest possible minimum share, and each group's share in a solution that reaches it.

    Among such solutions, the one with the largest mean share of all jobs is taken.
    """
    job_ids = sorted(day.jobs, key=lambda job_id: day.jobs[job_id].accepted_at_s)
    index = {job_id: number for number, job_id in enumerate(job_ids)}
    groups = job_ids_by_group(day)
    count = len(job_ids)
    rows: list[tuple[int, int, float]] = []
    limits: list[float] = []
    max_task_s = max(
        (day.jobs[job_id].work / (day.jobs[job_id].cores * day.jobs[job_id].tasks) for job_id in job_ids), default=0.0
    )
    # Jobs accepted after an instant can use only the capacity and the changes after that instant. A task counts as
    # placed once it has started, so up to 60 s of its run time may lie beyond the end of the day.
    for start in np.arange(0.0, day.end_s, 10.0):
        later = [job_id for job_id in job_ids if day.jobs[job_id].accepted_at_s >= start]
        for amounts, available in (
            (
                [day.jobs[job_id].work for job_id in later],
                float(day.capacity[int(start // SLOT_S) :].sum()) + day.max_cores * min(max_task_s, 60.0),
            ),
            ([MIN_CHANGES_PER_JOB] * len(later), changes_per_s * (day.end_s - start)),
        ):
            rows += [(len(limits), index[job_id], amount) for job_id, amount in zip(later, amounts, strict=True)]
            limits.append(available)
    base = len(limits)
    for group in groups.values():
        rows += [(len(limits), index[job_id], -1.0 / len(group)) for job_id in group]
        rows.append((len(limits), count, 1.0))
        limits.append(0.0)
    numbers, columns, values = zip(*rows, strict=True)
    matrix = csr_array((values, (numbers, columns)), shape=(len(limits), count + 1))
    first = linprog([0.0] * count + [-1.0], A_ub=matrix, b_ub=limits, bounds=(0, 1), method="highs")
    if first.status != 0:
        raise RuntimeError(f"the solver found no bound: {first.message}")
    min_share = float(first.x[-1])
    second = linprog(
        [-1.0] * count + [0.0],
        A_ub=matrix,
        b_ub=limits[:base] + [1e-7] * (len(limits) - base),
        bounds=[(0, 1)] * count + [(max(0.0, min_share - 1e-6), 1)],
        method="highs",
    )
    shares = second.x if second.status == 0 else first.x
    return min_share, {
        group: float(np.mean([shares[index[job_id]] for job_id in members])) for group, members in groups.items()
    }


#: Key of each column under ``--json``, and its width in the printed table. "at_best" is the bound with the logged
#: capacity, "with_most_room" the bound with the day's largest capacity throughout.
COLUMNS = (("reached", 8), ("at_best", 9), ("with_most_room", 18))


def build_table(day: DaySummary, changes_per_s: float) -> dict[str, Mapping[str, float]]:
    """Return the reached share and both bounds of each group, and the figures for the whole day under "all"."""
    min_optimal, optimal = best_shares(day, changes_per_s)
    min_with_max_capacity, with_max_capacity = best_shares(day.at_max_capacity(), changes_per_s)
    reached = {
        group: float(np.mean([day.placed_share[job_id] for job_id in members]))
        for group, members in job_ids_by_group(day).items()
    }
    shares = list(reached.values())
    jain = sum(shares) ** 2 / (len(shares) * sum(share * share for share in shares)) if any(shares) else 0.0
    summary = {
        "least_reached": min(shares),
        "least_at_best": min_optimal,
        "least_with_most_room": min_with_max_capacity,
        "jain": jain,
    }
    return {
        "reached": reached,
        "at_best": optimal,
        "with_most_room": with_max_capacity,
        "all": {**summary, "cores": day.max_cores},
    }


@click.command()
@click.argument("log", type=click.File(encoding="utf-8", errors="replace"))
@click.option(
    "--changes",
    default=50.0,
    show_default=True,
    type=click.FloatRange(min=0.1),
    help="Changes (operations in commits) per second that the state service accepts.",
)
@click.option(
    "--skip-last", default=60.0, show_default=True, help="Leave out jobs accepted in the last S seconds of the log."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def main(log: Iterable[str], changes: float, skip_last: float, as_json: bool) -> None:
    """Print the share of each class and team that was placed, and the upper bounds for any order (simulated)."""
    day = read_day(list(log), skip_last)
    if not any(job.cores for job in day.jobs.values()):
        click.echo("fair: no accepted job with its cores in this log; was it written at level info?", err=True)
        sys.exit(2)
    result = build_table(day, changes)
    if as_json:
        click.echo(json.dumps(result))
        return
    summary = result["all"]
    print(f"{len(day.jobs)} jobs, at most {summary['cores']:.0f} cores held at once; simulated")
    print(f"{'':30}{'served':>8}{'at best':>9}{'max capacity':>18}")
    for group in sorted(result["reached"]):
        print(f"{group:30}" + "".join(f"{result[column][group]:>{width}.3f}" for column, width in COLUMNS))
    min_shares = [summary[name] for name in ("least_reached", "least_at_best", "least_with_most_room")]
    print(
        f"{'least':30}" + "".join(f"{share:>{width}.3f}" for share, (_, width) in zip(min_shares, COLUMNS, strict=True))
    )
    print(f"Jain's index {summary['jain']:.4f}")


if __name__ == "__main__":
    main()
