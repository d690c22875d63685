"""Fault attribution: decides whether a machine or a job causes task failures.

A job submitted with a mistake fails on every machine until its user cancels it. A faulty machine fails every job. A job
that fails on several machines is therefore considered faulty. A machine is considered faulty if jobs fail on it that
complete elsewhere, or if several jobs fail on it that have failed on no other machine. Counting the failures of a
machine alone is not enough: three faulty jobs caused good machines to be marked faulty one after the other.

The result affects ranking, backoff and the marking of faulty machines. It never proves that an attempt has ended.

All functions here are pure.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from datetime import timedelta

from gladecroft.bookkeeping.job import Job
from gladecroft.protocol.wire import JobKind

#: A job without a completed task is faulty once its tasks have failed on this many machines.
FAULTY_JOB_MACHINES = 3
#: A machine is faulty after this many failures of jobs that have completed tasks.
FAULTY_MACHINE_FAILURES = 2
#: A machine is faulty once this many jobs have failed on it that have failed on no other machine.
FAULTY_MACHINE_JOBS = 3
#: Delay before the next task of a faulty job is started; doubles with each try up to the maximum.
RETRY_BACKOFF_MIN = timedelta(seconds=4)
RETRY_BACKOFF_MAX = timedelta(seconds=64)
#: Once the tasks of a faulty job have run this long, as many more may start.
HEALTHY_RUN_TIME = timedelta(seconds=20)
#: Share of a controller's machines that may be marked faulty at a time because of jobs that have completed no task.
MAX_FAULTY_SHARE = 0.25


def is_faulty_job(job: Job) -> bool:
    """Whether a job's tasks fail on whichever machine they start.

    Depends only on the records, so all controllers come to the same result.
    """
    return not job.done_count and len(job.failed_machines()) >= FAULTY_JOB_MACHINES


def allowed_extra_starts(job: Job, now_s: float) -> int:
    """Returns how many more tasks of a faulty job may start besides the running ones.

    ``now_s`` is the wall clock time in seconds.
    """
    if job.spec.kind is JobKind.GANG:
        return job.spec.tasks
    if not job.placed_count:
        return 1
    newest = max(task.placed_s for _, task in job.placed_tasks())
    return job.placed_count if now_s - newest >= HEALTHY_RUN_TIME.total_seconds() else 0


def retry_backoff(tries: int) -> timedelta:
    """Returns the delay between the last start of a faulty job's task and the next, after ``tries`` starts."""
    return min(RETRY_BACKOFF_MAX, RETRY_BACKOFF_MIN * (1 << min(tries, 10)))


def diagnose_machine(
    failures: Mapping[str, int], machine: str, completed: Collection[str], failed_on: Mapping[str, Collection[str]]
) -> tuple[bool, bool]:
    """Returns whether a machine is faulty, and whether jobs with completed tasks show it.

    ``failures`` counts the failures on ``machine`` by job since a task last completed there. ``completed`` contains the
    jobs of which a task has completed, ``failed_on`` the machines on which each job has failed.
    """
    of_completed = sum(count for job, count in failures.items() if job in completed)
    if of_completed >= FAULTY_MACHINE_FAILURES:
        return True, True
    only_here = [
        job for job in failures if job in completed or not any(other != machine for other in failed_on.get(job, ()))
    ]
    return len(only_here) >= FAULTY_MACHINE_JOBS, False
