"""What ends: tasks, jobs, left-over chunks, worked into a transaction with as few changes as may be."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.cluster_state import Picture
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.bookkeeping.transaction import Change
from gladecroft.coordination.context import Node
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.state_writer.exits import Ends, Gathered

#: While writes are short, ends of a job's tasks for which nobody waits are gathered this long, so that one write holds
#: many.
GATHER = timedelta(seconds=4)
GATHER_MOST = timedelta(seconds=12)
#: A limit holds work up once less than this part of it is left.
NEAR_LIMIT = 0.1

#: A job's chunk.
Group = tuple[str, int]


def bound_teams(picture: Picture) -> set[str]:
    """Teams whose waiting work is held up by their limit: what ends of theirs is noted soon.

    Not those that have room under their limit for what a round or two may place: in an overload they wait for
    machines, not for the limit. When all their ends were noted at once these took three of four changes, three
    tasks to a write, and room stood empty for want of changes to place on it.
    """
    bound: set[str] = set()
    for team, waits in picture.waiting.teams.items():
        if not waits.jobs:
            continue
        limit = picture.limits[team]
        left = limit.most_cpus - picture.used_by_team(team)[0]
        if limit.gpus_max or left < min(waits.cpus, max(NEAR_LIMIT * limit.most_cpus, waits.sizes[-1])):
            bound.add(team)
    return bound


class Closing:
    def __init__(self, node: Node, membership: Membership, ends: Ends) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.ends = ends

    def exits(self, change: Change, ends: dict[Group, Gathered], reserve: int) -> None:
        """Work ends into the transaction for which somebody waits, as many of a chunk's as are known in one write.

        After a stand-still many ends are to be noted: work that must start at once is not to wait for all of them,
        so some operations are held in reserve for it.
        """
        done: dict[str, int] = {}
        ended_of: dict[str, int] = {}
        for (name, _), ended in ends.items():
            done[name] = done.get(name, 0) + ended.done
            ended_of[name] = ended_of.get(name, 0) + len(ended.ends)
        ending: set[str] = set()
        for name, count in done.items():
            job = self.picture.jobs[name]
            if self._cancelled(job) and ended_of[name] >= job.occupied or job.done + count >= job.spec.tasks:
                ending.add(name)
                self._end(change, job, job.done + count)
        bound = bound_teams(self.picture)
        for group, ended in ends.items():
            job = self.picture.jobs[group[0]]
            if job.id not in change.over and (
                job.id in ending
                or job.spec.team in bound
                or ended.done < len(ended.ends)
                or not self.picture.aside.keys().isdisjoint(ended.machines)
            ):
                self._group(change, group, ended, reserve)

    def _end(self, change: Change, job: Job, done: int) -> None:
        """With these ends the job is over: its final state is written at once, with no write of its chunks before."""
        if self.membership.job_home(job.spec) != self.node.name or not change.room(2, 0, len(job.chunks)):
            return
        for index, version in job.versions.items():
            change.require(rec.chunk_key(job.id, index), version)
        self._final(change, job, done)
        self._drop_chunks(change, job)

    def _drop_chunks(self, change: Change, job: Job) -> None:
        """Drop the chunks of a job that is over. What does not fit, or has time while writes are short, is dropped
        later as an orphan."""
        short = self.node.writes.level < 0.75 * self.node.writes.burst
        for index in job.chunks:
            if short or not change.room(1, 0):
                return
            change.drop_chunk(job, index)

    def done(self, change: Change, ends: dict[Group, Gathered]) -> None:
        """Note completed tasks for which nobody waits: their room counts as free already. While writes are short they
        are gathered, and come after all else, unless their chunk is written anyway."""
        node = self.node
        short = node.writes.level < 0.75 * node.writes.burst
        spare = node.writes.level - len(change.puts) >= 0.5 * node.writes.burst
        for group, ended in ends.items():
            job = self.picture.jobs[group[0]]
            if job.id in change.over:
                continue
            age = node.now - ended.since
            due = not short or age >= (GATHER if spare else GATHER_MOST)
            if due or change.has_chunk(job, ended.ends[0][0]):
                self._group(change, group, ended, 0)

    def _group(self, change: Change, group: Group, ended: Gathered, reserve: int) -> None:
        job = self.picture.jobs[group[0]]
        chunks = 0 if change.has_chunk(job, ended.ends[0][0]) else 1
        if chunks and not change.room(chunks + reserve, 0):
            return
        for number, attempt, outcome in ended.ends:
            task = change.task(job, number)
            if task.attempt != attempt or not task.machine:
                continue
            if outcome.done:
                after = TaskRecord(TaskState.DONE, attempt, "", task.failures)
            else:
                failures = task.failures + 1 if outcome.failed else task.failures
                after = TaskRecord(TaskState.QUEUED, attempt, "", min(failures, 999), outcome.note[:24])
            change.set_task(job, number, after)
            change.notes.append(f"{job.id}/{number}#{attempt} on {task.machine} ended: {outcome.note or 'done'}")

    def finals(self, change: Change) -> None:
        me = self.node.name
        # A finished job's user waits for this; a cancelled one's does not.
        for job in sorted(self.picture.over.values(), key=lambda job: job.cancelled):
            if self.membership.job_home(job.spec) != me:
                continue
            if any(change.has_chunk(job, index * job.size) for index in job.chunks):
                continue
            if job.id in change.over or job.cancelled and not self._cancelled(job):
                continue
            if not change.room(2, 0):
                return
            self._final(change, job, job.done)
            self._drop_chunks(change, job)

    def _cancelled(self, job: Job) -> bool:
        """Whether the job is cancelled and all that was ever placed of it is known.

        Nothing is placed after the cancellation, but its record may be known here, by this controller's own commit,
        before what was placed just before it: such a placement had got no answer. Called over without it the job left
        a task behind that took its team's room while the records called that free.
        """
        return job.cancelled and job.version <= self.picture.revision

    def _final(self, change: Change, job: Job, count: int) -> None:
        change.over.add(job.id)
        change.require(rec.job_key(job.id), job.version)
        done = not job.cancelled
        change.puts[rec.final_key(job.id)] = msgspec.json.encode(
            rec.FinalRecord(done, count, "" if done else "cancelled by its user")
        )
        change.require(rec.final_key(job.id), 0)
        change.puts[rec.job_key(job.id)] = None
        change.notes.append(f"{job.id} is over: {'done' if done else 'cancelled'}")

    def orphans(self, change: Change) -> None:
        if not self.membership.leads() or self.node.writes.level < 0.75 * self.node.writes.burst:
            return
        for key, version in self.picture.orphans():
            if not change.room(1, 0):
                return
            change.require(key, version)
            change.puts[key] = None
