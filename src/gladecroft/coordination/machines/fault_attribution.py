"""Whose fault it is that tasks fail, the machine's or the job's: pure functions over what is known.

A job that was submitted with a mistake fails on every machine, until its user cancels it. A faulty machine fails every
job. So a job that fails on several machines accuses itself, and a machine accuses itself on which jobs fail that
complete elsewhere, or several that have failed nowhere else. Counted by the machine alone, three jobs with a mistake
took good machines out of use one after the other.

What this says only ranks, holds back and takes out of use. It proves nothing, and nothing is given up for it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from datetime import timedelta

from gladecroft.bookkeeping.job import Job
from gladecroft.protocol.wire import JobKind

#: A job of which tasks have failed on so many machines, and of which none has completed, accuses itself.
MACHINES = 3
#: So many failures of jobs that complete elsewhere, or so many jobs that fail nowhere else, accuse a machine.
SOUND_FAILURES = 2
JOBS = 3
#: A task of a job that accuses itself is tried this long after the last, twice as long each time, and no longer than
#: this.
TRY_AFTER = timedelta(seconds=4)
TRY_MOST = timedelta(seconds=64)
#: Tasks that have run this long speak for their job: as many more may start beside them.
RUNS_WELL = timedelta(seconds=20)
#: The part of a controller's machines that jobs which have completed nowhere may take out of use at a time.
OUT_OF_USE = 0.25


def is_faulty_job(job: Job) -> bool:
    """Whether a job's tasks fail wherever they start, as far as the records tell: the same at every controller."""
    return not job.done_count and len(job.failed_machines()) >= MACHINES


def allowed_extra_starts(job: Job, now_s: float) -> int:
    """How many tasks of a job that accuses itself may start beside those that run. ``now_s``: time of day."""
    if job.spec.kind is JobKind.GANG:
        return job.spec.tasks
    if not job.placed_count:
        return 1
    newest = max(task.placed_s for _, task in job.placed_tasks())
    return job.placed_count if now_s - newest >= RUNS_WELL.total_seconds() else 0


def retry_backoff(tries: int) -> timedelta:
    """How long after the last try of a job that accuses itself the next comes."""
    return min(TRY_MOST, TRY_AFTER * (1 << min(tries, 10)))


def machine_accused(
    errors: Mapping[str, int], here: str, sound: Collection[str], failed_on: Mapping[str, Collection[str]]
) -> tuple[bool, bool]:
    """Whether a machine accuses itself, and whether it does so by jobs that complete elsewhere.

    ``errors``: failures here since something last completed here, by job; ``sound``: jobs of which a task has
    completed; ``failed_on``: on which machines jobs have failed.
    """
    by_sound = sum(count for job, count in errors.items() if job in sound)
    if by_sound >= SOUND_FAILURES:
        return True, True
    only_here = [job for job in errors if job in sound or not any(each != here for each in failed_on.get(job, ()))]
    return len(only_here) >= JOBS, False
