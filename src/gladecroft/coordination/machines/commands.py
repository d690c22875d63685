"""What to tell a machine: the difference between what the records place there and what its report lists."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.coordination.machines.machine import Machine, TaskKey
from gladecroft.protocol.wire import Command, CommandOp
from gladecroft.protocol.wire import ReportedTaskState as Seen

RESEND = timedelta(seconds=1.5)
#: At most so many commands in one answer, by what a body may hold.
MOST = 480

CommandKey = tuple[str, int, int, CommandOp]


def mark(command: Command) -> CommandKey:
    """By what a command is known again."""
    grace = 0 if isinstance(command.grace_s, msgspec.UnsetType) else int(command.grace_s * 1000)
    return command.task, command.attempt, grace, command.op


def reconcile(
    machine: Machine,
    wanted: Mapping[TaskKey, TaskRecord],
    jobs: Mapping[str, Job],
    gone: Callable[[TaskKey, int], bool],
) -> tuple[list[Command], list[TaskKey]]:
    """The commands, and the wanted tasks that are proven gone by not being there.

    ``gone``: whether an attempt counts as gone already. It must not be started here again: its task may soon run
    elsewhere.
    """
    trusted = machine.has_trusted_report()
    commands: list[Command] = []
    absent: list[TaskKey] = []
    blocked: set[TaskKey] = set()
    for key, others in machine.beside.items():
        # All but one attempt of a task go first, or a start would be refused again and again.
        for other in others:
            if other.state is not Seen.EXITED:
                commands.append(Command(CommandOp.STOP, f"{key[0]}/{key[1]}", other.attempt, 0.0))
                blocked.add(key)
            elif trusted:
                commands.append(Command(CommandOp.FORGET, f"{key[0]}/{key[1]}", other.attempt))
            else:
                blocked.add(key)
    for key, task in wanted.items():
        job = jobs.get(key[0])
        if job is None:
            continue
        seen = machine.observed.get(key)
        name = f"{key[0]}/{key[1]}"
        stopping = task.state == TaskState.STOPPING or job.cancelled
        ending = gone(key, task.attempt) or key in blocked
        if seen is not None and seen.attempt != task.attempt:
            # An earlier attempt is still here: it goes first.
            if seen.state is not Seen.EXITED:
                commands.append(Command(CommandOp.STOP, name, seen.attempt, 0.0))
            elif trusted:
                commands.append(Command(CommandOp.FORGET, name, seen.attempt))
                if not stopping and not ending:
                    commands.append(Command(CommandOp.START, name, task.attempt))
        elif seen is None:
            if stopping:
                if trusted:
                    absent.append(key)
            elif not ending:
                commands.append(Command(CommandOp.START, name, task.attempt))
        elif seen.state is not Seen.EXITED and stopping:
            grace = 0.0 if job.cancelled else job.spec.save_s + 1.0
            if seen.state is not Seen.SAVING or job.cancelled:
                commands.append(Command(CommandOp.STOP, name, task.attempt, grace))
    for key, seen in machine.observed.items():
        if key in wanted:
            continue
        name = f"{key[0]}/{key[1]}"
        if seen.state is not Seen.EXITED:
            commands.append(Command(CommandOp.STOP, name, seen.attempt, 0.0))
        elif trusted:
            commands.append(Command(CommandOp.FORGET, name, seen.attempt))
    return commands[:MOST], absent


def worth_a_call(commands: list[Command], sent: Mapping[CommandKey, timedelta], now: timedelta) -> list[Command]:
    """Which commands to send straight away, ahead of the next report; none if there is only something to forget.

    What ends an earlier attempt goes along with every start, though it was sent before: that may still be on its way,
    and a start that overtakes it is refused.
    """
    starting = {command.task for command in commands if command.op is CommandOp.START}
    fresh = [
        command
        for command in commands
        if command.task in starting
        and command.op is CommandOp.FORGET
        or command.op is not CommandOp.FORGET
        and now - sent.get(mark(command), timedelta(days=-1)) > RESEND
    ]
    return [] if all(command.op is CommandOp.FORGET for command in fresh) else fresh
