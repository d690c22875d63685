"""Derives the commands for a machine from the desired tasks in the records and the tasks observed in its report."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.coordination.machines.machine import Machine, TaskKey
from gladecroft.protocol.wire import Command, CommandOp
from gladecroft.protocol.wire import ReportedTaskState as ObservedState

#: A command that is still due is sent directly once it was last sent, in a reply or directly, longer ago than this.
RESEND_INTERVAL = timedelta(seconds=1.5)
#: Maximum number of commands for a machine in one message; limited by the size of a message body.
MAX_COMMANDS = 480

#: Task, attempt, grace period in ms and operation of a command.
CommandKey = tuple[str, int, int, CommandOp]


def command_key(command: Command) -> CommandKey:
    """Returns the key by which a repeated command is recognized."""
    grace = 0 if isinstance(command.grace_s, msgspec.UnsetType) else int(command.grace_s * 1000)
    return command.task, command.attempt, grace, command.op


def reconcile(
    machine: Machine,
    desired: Mapping[TaskKey, TaskRecord],
    jobs: Mapping[str, Job],
    is_ended: Callable[[TaskKey, int], bool],
) -> tuple[list[Command], list[TaskKey]]:
    """Returns the commands for a machine, and the desired tasks whose absence from its report confirms their end.

    ``is_ended`` tells whether an attempt is already confirmed ended. Such an attempt must not be started again, because
    its task may soon run on another machine.
    """
    trusted = machine.has_trusted_report()
    commands: list[Command] = []
    absent: list[TaskKey] = []
    blocked: set[TaskKey] = set()
    for key, extras in machine.extra_attempts.items():
        # Extra attempts are removed before a start; otherwise the machine would reject the start each time.
        for extra in extras:
            if extra.state is not ObservedState.EXITED:
                commands.append(Command(CommandOp.STOP, f"{key[0]}/{key[1]}", extra.attempt, 0.0))
                blocked.add(key)
            elif trusted:
                commands.append(Command(CommandOp.FORGET, f"{key[0]}/{key[1]}", extra.attempt))
            else:
                blocked.add(key)
    for key, task in desired.items():
        job = jobs.get(key[0])
        if job is None:
            continue
        observed = machine.observed.get(key)
        task_name = f"{key[0]}/{key[1]}"
        stopping = task.state == TaskState.STOPPING or job.cancelled
        ended_or_blocked = is_ended(key, task.attempt) or key in blocked
        if observed is not None and observed.attempt != task.attempt:
            # Another attempt is still on the machine and has to be removed first.
            if observed.state is not ObservedState.EXITED:
                commands.append(Command(CommandOp.STOP, task_name, observed.attempt, 0.0))
            elif trusted:
                commands.append(Command(CommandOp.FORGET, task_name, observed.attempt))
                if not stopping and not ended_or_blocked:
                    commands.append(Command(CommandOp.START, task_name, task.attempt))
        elif observed is None:
            if stopping:
                if trusted:
                    absent.append(key)
            elif not ended_or_blocked:
                commands.append(Command(CommandOp.START, task_name, task.attempt))
        elif observed.state is not ObservedState.EXITED and stopping:
            grace = 0.0 if job.cancelled else job.spec.save_s + 1.0
            if observed.state is not ObservedState.SAVING or job.cancelled:
                commands.append(Command(CommandOp.STOP, task_name, task.attempt, grace))
    for key, observed in machine.observed.items():
        if key in desired:
            continue
        task_name = f"{key[0]}/{key[1]}"
        if observed.state is not ObservedState.EXITED:
            commands.append(Command(CommandOp.STOP, task_name, observed.attempt, 0.0))
        elif trusted:
            commands.append(Command(CommandOp.FORGET, task_name, observed.attempt))
    return commands[:MAX_COMMANDS], absent


def commands_to_push(commands: list[Command], sent_at: Mapping[CommandKey, timedelta], now: timedelta) -> list[Command]:
    """Selects the commands to send directly, without waiting for the next report.

    Returns nothing if only FORGET commands are due. A START is accompanied by the FORGET of an earlier attempt of the
    task even if that FORGET was sent before: it may still be in flight, and the machine would reject a START that
    overtakes it.
    """
    tasks_to_start = {command.task for command in commands if command.op is CommandOp.START}
    due = [
        command
        for command in commands
        if command.task in tasks_to_start
        and command.op is CommandOp.FORGET
        or command.op is not CommandOp.FORGET
        and now - sent_at.get(command_key(command), timedelta(days=-1)) > RESEND_INTERVAL
    ]
    return [] if all(command.op is CommandOp.FORGET for command in due) else due
