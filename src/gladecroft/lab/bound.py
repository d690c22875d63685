"""How many arrays the best order could have had done in time, with the room there was.

    python -m gladecroft.lab.bound LOG [CLASS] [SECONDS...]

LOG holds what the controllers of a day have written at level ``info``. From it come, for each array of the class, when
it was accepted, how long its tasks held room in all, and when it was over; and for each instant how many tasks held
room. Arrays may then be given that room in any order, knowing all that is to come. The most that can be done within a
span is an integer programme; it is solved as such (HiGHS, by way of SciPy) to within one array in a hundred. It is an
upper bound for any order: tasks count as alike in cores, may be split in time, and need no image twice. A second bound
gives the arrays the most room that ever was, from the start: what lies between the two is machines that came late, and
changes.
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

LINE = re.compile(r"(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d,\d{3}) INFO gladecroft\.\S+: (.*)")
ACCEPTED = re.compile(r"job (\S+): accepted, (\d+) tasks of (\S+) for (\S+)(?: with (\S+) cores for (\S+) s each)?")
PLACED = re.compile(r"(\S+)/(\d+)#(\d+) goes to ")
ENDED = re.compile(r"(\S+)/(\d+)#(\d+) on \S+ ended: ")
OVER = re.compile(r"(\S+) is over: done")
#: Room is counted by slots of so many seconds.
SLOT = 5.0
GAP = 0.01


class Array(msgspec.Struct):
    """An array: when it was accepted and over (seconds from the log's first line), and what its tasks took."""

    accepted: float
    tasks: int
    job_class: str
    over: float | None = None
    #: Task-seconds in which its tasks held room.
    work: float = 0.0
    team: str = ""
    #: A task's cores (0: the log does not say), and its seconds by its owner's estimate (0: it is a service).
    cores: float = 0.0
    estimate: float = 0.0


def read(lines: Iterable[str]) -> tuple[dict[str, Array], dict[str, list[tuple[float, float]]]]:
    """The accepted jobs, and from when to when each job's attempts held room."""
    arrays: dict[str, Array] = {}
    begun: dict[tuple[str, str, str], float] = {}
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    zero: datetime | None = None
    now = 0.0
    for line in lines:
        found = LINE.search(line)
        if found is None:
            continue
        when = datetime.strptime(found[1], "%Y-%m-%d %H:%M:%S,%f")
        zero = zero or when
        now = (when - zero).total_seconds()
        text = found[2]
        if accepted := ACCEPTED.match(text):
            arrays[accepted[1]] = Array(
                now, int(accepted[2]), accepted[3], team=accepted[4],
                cores=float(accepted[5] or 0), estimate=float(accepted[6] or 0),
            )  # fmt: skip
        elif placed := PLACED.match(text):
            begun[placed[1], placed[2], placed[3]] = now
        elif ended := ENDED.match(text):
            since = begun.pop((ended[1], ended[2], ended[3]), None)
            if since is not None:
                spans[ended[1]].append((since, max(now, since)))
        elif (over := OVER.match(text)) and over[1] in arrays:
            arrays[over[1]].over = now
    for (job, _, _), since in begun.items():
        # The ends of a job's last tasks come with its final state, which names no task.
        job_over = arrays[job].over if job in arrays else None
        spans[job].append((since, max(since, job_over if job_over is not None else now)))
    for name, array in arrays.items():
        array.work = sum(until - since for since, until in spans.get(name, ()))
    return arrays, spans


def room(spans: Iterable[tuple[float, float]], end: float) -> np.ndarray:
    """How many task-seconds of room were held in each slot."""
    held = np.zeros(int(end // SLOT) + 2)
    for since, until in spans:
        for slot in range(int(since // SLOT), int(until // SLOT) + 1):
            held[slot] += max(0.0, min(until, (slot + 1) * SLOT) - max(since, slot * SLOT))
    return held


def most_in_time(arrays: list[Array], held: np.ndarray, span: float) -> float:
    """The share of the arrays that any order could have had done within ``span`` seconds of their acceptance."""
    rows: list[int] = []
    columns: list[int] = []
    values: list[float] = []
    upper: list[float] = []
    count = len(arrays)
    column = count  # first the decisions, one for each array; then its task-seconds in each slot
    for index, array in enumerate(arrays):
        rows.append(index)
        columns.append(index)
        values.append(-array.work)
        for slot in range(int(array.accepted // SLOT), min(int((array.accepted + span) // SLOT) + 1, len(held))):
            overlap = min(array.accepted + span, (slot + 1) * SLOT) - max(array.accepted, slot * SLOT)
            rows += [index, count + slot]
            columns += [column, column]
            values += [1.0, 1.0]
            upper.append(array.tasks * max(0.0, overlap))
            column += 1
    matrix = coo_array((values, (rows, columns)), shape=(count + len(held), column)).tocsr()
    low = np.concatenate([np.zeros(count), np.full(len(held), -np.inf)])
    high = np.concatenate([np.full(count, np.inf), held])
    solved = milp(
        c=np.concatenate([np.full(count, -1.0), np.zeros(column - count)]),
        constraints=LinearConstraint(matrix, low, high),
        integrality=np.concatenate([np.ones(count), np.zeros(column - count)]),
        bounds=Bounds(np.zeros(column), np.concatenate([np.ones(count), upper])),
        options={"mip_rel_gap": GAP, "time_limit": 120},
    )
    if solved.mip_dual_bound is None:
        raise RuntimeError(f"no bound was found: {solved.message}")
    return min(1.0, -float(solved.mip_dual_bound) / count)


def main() -> None:
    if len(sys.argv) < 2:
        sys.exit("bound.py LOG [CLASS] [SECONDS...]")
    with open(sys.argv[1], encoding="utf-8", errors="replace") as lines:
        arrays, spans = read(lines)
    job_class = sys.argv[2] if len(sys.argv) > 2 else "reconciliation"
    chosen = {name: array for name, array in arrays.items() if array.job_class == job_class and array.work > 0}
    if not chosen:
        sys.exit(f"bound.py: no array of class {job_class} in {sys.argv[1]}")
    end = max(until for each in spans.values() for _, until in each)
    held = room([span for name in chosen for span in spans[name]], end)
    full = np.full(len(held), held.max())
    print(f"{len(chosen)} arrays of {job_class}, at most {held.max() / SLOT:.0f} tasks at once (simulated)")
    print(f"{'done within':>12}{'reached':>10}{'best order':>12}{'most room always':>18}")
    for span in [float(word) for word in sys.argv[3:]] or [70.0, 120.0]:
        listed = list(chosen.values())
        reached = sum(each.over is not None and each.over - each.accepted <= span for each in listed) / len(listed)
        best, most = most_in_time(listed, held, span), most_in_time(listed, full, span)
        print(f"{span:>10.0f} s{reached:>10.3f}{best:>12.3f}{most:>18.3f}")


if __name__ == "__main__":
    main()
