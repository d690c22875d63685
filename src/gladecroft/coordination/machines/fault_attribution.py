"""Fault attribution: decides whether a machine or a job causes task failures.

A job submitted with a mistake fails on every machine until its user cancels it. A faulty machine fails every job. A job
that has completed no task and fails on several machines is therefore considered faulty. A machine is considered faulty
if jobs fail on it that have completed tasks, or if several jobs fail on it that have failed on no other machine.
Counting the failures on a machine is not enough: with such a count, three faulty jobs caused good machines to be marked
faulty one after another.

The result affects start limits, backoff and the marking of faulty machines. It never proves that an attempt has ended.

All functions here are pure.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from datetime import timedelta

from gladecroft.bookkeeping.job import Job
from gladecroft.protocol.wire import JobKind

#: A job without a completed task is faulty while the latest attempts of its queued tasks have failed on this many
#: machines.
FAULTY_JOB_MACHINES = 3
#: A machine is faulty after this many failures of jobs that have completed tasks.
FAULTY_MACHINE_FAILURES = 2
#: A machine is faulty once this many jobs have failed on it that have failed on no other machine or have completed a
#: task.
FAULTY_MACHINE_JOBS = 3
#: Delay before the next task of a faulty job is started; doubles with each start up to the maximum.
RETRY_BACKOFF_MIN = timedelta(seconds=4)
RETRY_BACKOFF_MAX = timedelta(seconds=64)
#: Once the tasks of a faulty job have run this long, as many more may start.
HEALTHY_RUN_TIME = timedelta(seconds=20)
#: Share of a controller's machines, but at least one, that may be marked faulty at a time because of jobs that have
#: completed no task.
MAX_FAULTY_SHARE = 0.25


def is_faulty_job(job: Job) -> bool:
    """Whether a job without a completed task is considered faulty; see ``FAULTY_JOB_MACHINES``.

    Depends only on the records, so all controllers come to the same result.
    """
    return not job.done_count and len(job.failed_machines()) >= FAULTY_JOB_MACHINES


def allowed_extra_starts(job: Job, now_wall_s: float) -> int:
    """Returns how many more tasks of a faulty job may start besides the running ones.

    ``now_wall_s`` is the wall-clock time in seconds.
    """
    if job.spec.kind is JobKind.GANG:
        return job.spec.tasks
    if not job.placed_count:
        return 1
    newest_start_s = max(task.placed_s for _, task in job.placed_tasks())
    return job.placed_count if now_wall_s - newest_start_s >= HEALTHY_RUN_TIME.total_seconds() else 0


def retry_backoff(starts: int) -> timedelta:
    """Returns the delay between the last start of a faulty job's task and the next, after this many starts."""
    return min(RETRY_BACKOFF_MAX, RETRY_BACKOFF_MIN * (1 << min(starts, 10)))


def diagnose_machine(
    failures: Mapping[str, int], machine_id: str, completed: Collection[str], failed_on: Mapping[str, Collection[str]]
) -> tuple[bool, bool]:
    """Returns whether a machine is faulty, and whether failures of jobs with completed tasks are the evidence.

    ``failures`` counts the failures on the machine by job id since a task last completed there. ``completed`` contains
    the jobs of which a task has completed, ``failed_on`` the machines on which each job has failed.
    """
    failures_of_completed = sum(count for job_id, count in failures.items() if job_id in completed)
    if failures_of_completed >= FAULTY_MACHINE_FAILURES:
        return True, True
    only_here = [
        job_id
        for job_id in failures
        if job_id in completed or not any(other != machine_id for other in failed_on.get(job_id, ()))
    ]
    return len(only_here) >= FAULTY_MACHINE_JOBS, False
