"""What share of each class and team could have been served at best on a day, whatever the order.

    python -m gladecroft.lab.fair LOG [--changes PER_S] [--skip-last S] [--json]

LOG holds what the controllers of a day have written at level ``info``. A job's share is that of its tasks that were
sent to a machine at least once. The bound is a linear programme (HiGHS, by way of SciPy): the least share of any class
and any team is made as large as the room and the changes a second allow, and then the mean of all. Room is the
most cores that were held at once within half a minute, or (a second bound) ever, from the start; tasks take as long as
their job's did, else as their owner says; services hold their room to the end. So it is an upper bound for any order:
no task is ever late for its room. Ends are noted late in an overload, so more counts as held than was.
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

from gladecroft.lab.bound import SLOT, Array, read, room

#: So many slots before and after count as the same instant.
NEAR = 6
#: Changes that even the cheapest job takes until its tasks have been sent: its acceptance and its tasks.
CHANGES_A_JOB = 2.0


class Day(msgspec.Struct):
    """``jobs`` by name, with ``work`` in core-seconds; ``room``: core-seconds in each slot; ``end``: seconds."""

    jobs: dict[str, Array]
    served: dict[str, float]
    room: np.ndarray
    end: float

    @property
    def cores(self) -> float:
        """The most that were held at once."""
        return float(self.room.max(initial=0.0)) / SLOT

    def most_room_always(self) -> Day:
        return Day(self.jobs, self.served, np.full_like(self.room, self.room.max(initial=0.0)), self.end)


def read_day(lines: list[str], skip_last: float) -> Day:
    arrays, spans = read(lines)
    last = max((until for each in spans.values() for _, until in each), default=0.0)
    held = np.zeros(int(last // SLOT) + 2)
    for name, each in spans.items():
        if name in arrays:
            held += _padded(room(each, last), len(held)) * arrays[name].cores
    sent = _sent(lines)
    end = last - skip_last
    jobs = {name: array for name, array in arrays.items() if array.accepted <= end}
    for name, array in jobs.items():
        tasks = [until - since for since, until in spans.get(name, ())]
        each_s = array.estimate or last - array.accepted
        if array.estimate and tasks:
            each_s = min(each_s, float(np.median(tasks)))
        array.work = array.cores * array.tasks * max(each_s, 0.1)
    served = {name: min(1.0, len(sent.get(name, ())) / array.tasks) for name, array in jobs.items()}
    near = np.lib.stride_tricks.sliding_window_view(np.pad(held, NEAR, mode="edge"), 2 * NEAR + 1)
    return Day(jobs, served, near.max(axis=1), last)


def _padded(held: np.ndarray, length: int) -> np.ndarray:
    return np.concatenate([held, np.zeros(max(0, length - len(held)))])[:length]


def _sent(lines: list[str]) -> dict[str, set[str]]:
    sent: dict[str, set[str]] = defaultdict(set)
    for line in lines:
        _, found, rest = line.rpartition(": wk-")
        if found and " goes to " in rest:
            job, _, task = rest.partition("/")
            sent["wk-" + job].add(task.partition("#")[0])
    return sent


def groups_of(day: Day) -> dict[str, list[str]]:
    groups: dict[str, list[str]] = defaultdict(list)
    for name, array in day.jobs.items():
        groups[f"class {array.job_class}"].append(name)
        groups[f"team {array.team}"].append(name)
    return dict(groups)


def best_shares(day: Day, changes: float) -> tuple[float, dict[str, float]]:
    """The largest least share, and each group's share in a plan that reaches it and serves as much as it can."""
    names = sorted(day.jobs, key=lambda name: day.jobs[name].accepted)
    index = {name: number for number, name in enumerate(names)}
    groups = groups_of(day)
    count = len(names)
    rows: list[tuple[int, int, float]] = []
    most: list[float] = []
    longest = max((day.jobs[name].work / (day.jobs[name].cores * day.jobs[name].tasks) for name in names), default=0.0)
    # What came after an instant has the room and the changes that were left after it; a task need only have begun.
    for start in np.arange(0.0, day.end, 10.0):
        later = [name for name in names if day.jobs[name].accepted >= start]
        for amounts, there in (
            (
                [day.jobs[name].work for name in later],
                float(day.room[int(start // SLOT) :].sum()) + day.cores * min(longest, 60.0),
            ),
            ([CHANGES_A_JOB] * len(later), changes * (day.end - start)),
        ):
            rows += [(len(most), index[name], amount) for name, amount in zip(later, amounts, strict=True)]
            most.append(there)
    base = len(most)
    for group in groups.values():
        rows += [(len(most), index[name], -1.0 / len(group)) for name in group]
        rows.append((len(most), count, 1.0))
        most.append(0.0)
    numbers, columns, values = zip(*rows, strict=True)
    matrix = csr_array((values, (numbers, columns)), shape=(len(most), count + 1))
    first = linprog([0.0] * count + [-1.0], A_ub=matrix, b_ub=most, bounds=(0, 1), method="highs")
    if first.status != 0:
        raise RuntimeError(f"no bound was found: {first.message}")
    least = float(first.x[-1])
    second = linprog(
        [-1.0] * count + [0.0],
        A_ub=matrix,
        b_ub=most[:base] + [1e-7] * (len(most) - base),
        bounds=[(0, 1)] * count + [(max(0.0, least - 1e-6), 1)],
        method="highs",
    )
    shares = second.x if second.status == 0 else first.x
    return least, {group: float(np.mean([shares[index[name]] for name in each])) for group, each in groups.items()}


COLUMNS = (("reached", 8), ("at_best", 9), ("with_most_room", 18))


def table(day: Day, changes: float) -> dict[str, Mapping[str, float]]:
    least, best = best_shares(day, changes)
    most_least, most = best_shares(day.most_room_always(), changes)
    reached = {group: float(np.mean([day.served[name] for name in each])) for group, each in groups_of(day).items()}
    shares = list(reached.values())
    jain = sum(shares) ** 2 / (len(shares) * sum(share * share for share in shares)) if any(shares) else 0.0
    whole = {"least_reached": min(shares), "least_at_best": least, "least_with_most_room": most_least, "jain": jain}
    return {"reached": reached, "at_best": best, "with_most_room": most, "all": {**whole, "cores": day.cores}}


@click.command()
@click.argument("log", type=click.File(encoding="utf-8", errors="replace"))
@click.option("--changes", default=50.0, show_default=True, type=click.FloatRange(min=0.1), help="Changes a second.")
@click.option("--skip-last", default=60.0, show_default=True, help="Jobs accepted in the last seconds are left out.")
@click.option("--json", "as_json", is_flag=True, help="Print the same in machine form.")
def main(log: Iterable[str], changes: float, skip_last: float, as_json: bool) -> None:
    """The share of each class and team that was served, beside what any order could have reached (simulated)."""
    day = read_day(list(log), skip_last)
    if not any(array.cores for array in day.jobs.values()):
        click.echo("fair: no accepted job with its cores in this log: was it written at level info?", err=True)
        sys.exit(2)
    result = table(day, changes)
    if as_json:
        click.echo(json.dumps(result))
        return
    whole = result["all"]
    print(f"{len(day.jobs)} jobs, at most {whole['cores']:.0f} cores held at once; simulated")
    print(f"{'':30}{'served':>8}{'at best':>9}{'most room always':>18}")
    for group in sorted(result["reached"]):
        print(f"{group:30}" + "".join(f"{result[column][group]:>{width}.3f}" for column, width in COLUMNS))
    least = [whole[name] for name in ("least_reached", "least_at_best", "least_with_most_room")]
    print(f"{'least':30}" + "".join(f"{each:>{width}.3f}" for each, (_, width) in zip(least, COLUMNS, strict=True)))
    print(f"Jain's index {whole['jain']:.4f}")


if __name__ == "__main__":
    main()
