"""The owner's work for each of its machines: answer reports, give commands, tell what is gone.

What the records place on a machine is *wanted*, what its newest report lists is *present*; the commands are the
difference. Absence proves something only in a *trusted* report: no direct command is unanswered, and the report
carries the fencing token, so that nothing sent earlier can still be executed.
"""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import MachineRecord, MachineUse, TaskState
from gladecroft.coordination.consent import Consent
from gladecroft.coordination.ledger import LOST, TELL_EVERY, Ledger, Outcome
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.messages import Asked
from gladecroft.coordination.node import SLACK, Node
from gladecroft.protocol import peers, wire
from gladecroft.protocol.wire import Command, Commands, Op, Report, Steward, TaskReport, Why
from gladecroft.protocol.wire import TaskState as Seen

log = logging.getLogger(__name__)

MARGIN = timedelta(seconds=0.5)
RESEND = timedelta(seconds=1.5)
#: How long a machine may take to find a new owner.
SETTLED = timedelta(seconds=6)
#: How long a machine's report waits for the answer whether it moves here; machines wait 4 s for an answer.
MOVE_LIMIT = timedelta(seconds=2.5)
BOUNCE_APART = timedelta(seconds=3)
BOUNCE_WINDOW = timedelta(seconds=20)
#: A sibling that has not taken in what it is told for so long learns of it by mail.
TELL_IN_VAIN = timedelta(seconds=3)
BODY_BUDGET = 48_000
LOOK_EVERY = timedelta(milliseconds=400)
#: How often all known machines are gone through for new ones of ours that have not reported.
SURVEY_EVERY = timedelta(seconds=1.2)

TaskKey = tuple[str, int]


def task_key(task: str) -> TaskKey | None:
    job, _, number = task.rpartition("/")
    return (job, int(number)) if job and number.isdigit() and len(number) < 10 else None


class Machine(msgspec.Struct, eq=False):
    """A machine as its owner knows it."""

    id: str
    owner_since: timedelta
    fence: int
    token: int
    report: Report | None = None
    present: dict[TaskKey, TaskReport] = {}
    #: Further attempts of tasks in ``present``: a refused start stays beside the attempt that it ran into.
    beside: dict[TaskKey, list[TaskReport]] = {}
    answered_at: timedelta | None = None
    heard_at: timedelta | None = None
    direct: bool = False
    sent: dict[tuple[str, int, int, Op], timedelta] = {}
    errors: dict[str, int] = {}
    images: dict[str, None] = {}
    lost: bool = False
    suspect: bool = False
    empty_since: timedelta | None = None

    def trusted(self) -> bool:
        return self.report is not None and not self.direct and self.report.token >= self.fence


class Keeper:
    def __init__(self, node: Node, membership: Membership, ledger: Ledger, consent: Consent) -> None:
        self.node = node
        self.picture = node.picture
        self.membership = membership
        self.ledger = ledger
        self.consent = consent
        self.machines: dict[str, Machine] = {}
        self._bounced: dict[str, timedelta] = {}
        self._owners: dict[str, tuple[str, timedelta]] = {}
        self._moving: dict[str, tuple[Asked, timedelta]] = {}
        #: Jobs of which an attempt has completed: their failures point at the machine.
        self._sound: dict[str, None] = {}
        self._looked_at = timedelta(days=-1)
        self._surveyed_at = timedelta(days=-1)
        #: For each sibling the machines that it has not been told of, and since when it should have been.
        self._untold: dict[str, dict[str, timedelta]] = {}
        self._telling: set[str] = set()
        self._told_at = timedelta(days=-1)
        self._members: dict[str, int] = {}
        #: Machines that came here instead of to their owners, which are to be asked about them.
        self._to_ask: dict[str, dict[str, None]] = {}
        self._asking: set[str] = set()
        #: Owners that don't answer, since when, and when last they did not.
        self._mute: dict[str, tuple[timedelta, timedelta]] = {}

    # Ownership -----------------------------------------------------------------------------------------------

    def epoch_changed(self, continuous: bool) -> None:
        """Forget what is no longer ours; what stays ours keeps its fence.

        If epochs were missed, or this controller was out meanwhile, another may have owned any of the machines and
        have answered it: then nothing known of them counts any more.
        """
        if not continuous:
            self.machines.clear()
        for name in list(self.machines):
            if not self.membership.member() or self.membership.owner(name) != self.node.name:
                del self.machines[name]
        owners = {name: self.membership.owner(name) or "" for name in self.picture.machines}
        for name, owner in owners.items():
            if self._owners.get(name, ("",))[0] != owner:
                self._bounced.pop(name, None)
                self._owners[name] = (owner, self.node.now)
        for name in [name for name in self._owners if name not in owners]:
            del self._owners[name]
        self.picture.touched.update(self.picture.on_machine, self.picture.machines)
        self._surveyed_at = timedelta(days=-1)
        self._tell_new_members()

    def machine(self, name: str) -> Machine:
        machine = self.machines.get(name)
        if machine is None:
            base = self.membership.base_token()
            machine = self.machines[name] = Machine(name, self.membership.epoch_seen_at, base, base)
        return machine

    def token(self, machine: Machine) -> int:
        machine.token = max(machine.token, self.membership.base_token())
        return machine.token

    # Reports -------------------------------------------------------------------------------------------------

    def reported(self, asked: Asked) -> None:
        node = self.node
        try:
            report: Report = wire.decode(Report, asked.body)
        except msgspec.DecodeError as error:
            node.refuse(asked.number, 400, str(error))
            return
        if not self.consent.answers():
            node.refuse(asked.number, 503, "not entitled to act", 1)
            return
        known = self.picture.machines.get(report.machine)
        if self.picture.buried(report.machine) or known is not None and known.use is MachineUse.GONE:
            # The report was on its way when the machine was returned. Taken as news it would draw work to nowhere.
            node.refuse(asked.number, 503, "this machine was returned", 1)
            return
        owner = self.membership.owner(report.machine, report.zone)
        if owner != node.name:
            if owner is not None and self._bounce(report.machine, owner):
                self._moving[report.machine] = (asked, node.now + MOVE_LIMIT)
            else:
                node.reply(asked.number, 421, wire.encode(Steward(owner)))
            return
        machine = self.machine(report.machine)
        if report.token > self.token(machine):
            # The machine has seen a newer epoch than this controller has.
            node.refuse(asked.number, 503, "a newer epoch is about", 1)
            return
        if not self._take(machine, report):
            node.refuse(asked.number, 503, "a newer report is known", 1)
            return
        machine.answered_at = node.now
        commands = self._commands(machine)
        node.reply(asked.number, 200, wire.encode(Commands(self.token(machine), commands)))
        self.picture.touched.discard(machine.id)

    def _bounce(self, name: str, owner: str) -> bool:
        """Another's machine reports here. Whether it waits for its answer, as it may have to move here.

        A known machine moves only if its owner says that it does not hear it, or does not answer for so long that it
        would have lost its membership if it were dead. Moved at its first report elsewhere, machines left owners that
        had only refused one report, or were about to be started again; each such epoch made owners refuse more
        reports, and the moves never ended. Right after a change of owner a machine may still be on its way; so too
        after a time in which nobody could act.
        """
        now = self.node.now
        since = self._owners.get(name, ("", self.membership.epoch_seen_at))[1]
        known = name in self.picture.machines
        if known and now - since > SETTLED and self.membership.settled(SETTLED):
            self._to_ask.setdefault(owner, {})[name] = None
            return True
        first = self._bounced.get(name)
        if first is None or now - first > BOUNCE_WINDOW:
            self._bounced[name] = now
        elif now - first >= BOUNCE_APART:
            if known:
                self._to_ask.setdefault(owner, {})[name] = None
            else:
                log.info("%s keeps coming here, not to %s: moving it here", name, owner)
                self.membership.want_move(name)
            return True
        return False

    def _ask_owners(self) -> None:
        """Ask the owners of machines that came here whether they hear them."""
        for owner, names in self._to_ask.items():
            if names and owner not in self._asking:
                batch = list(names)[: peers.MOST_HEARD]
                for name in batch:
                    del names[name]
                self._ask_owner(owner, batch)

    def _ask_owner(self, owner: str, names: list[str]) -> None:
        node = self.node

        def then(status: int, body: bytes) -> None:
            self._asking.discard(owner)
            heard: list[str] = []
            if status == 200:
                self._mute.pop(owner, None)
                heard = wire.decode(peers.Names, body).machines
            elif status > 0:
                return  # it lives; if it may not act for long, another epoch comes
            else:
                since, last = self._mute.get(owner, (node.now, node.now))
                if node.now - last > BOUNCE_WINDOW:
                    since = node.now
                self._mute[owner] = (since, node.now)
                if node.now - since < node.ttl * SLACK:
                    return  # soon it answers again, or another epoch says whose they are
            for name in names:
                if name in heard or self.membership.owner(name) != owner:
                    self._bounced.pop(name, None)
                    if name in self._moving:
                        self._moving[name] = (self._moving[name][0], node.now)  # to be answered now
                elif self.membership.entitled():
                    log.info("%s can't reach its owner %s: moving it here", name, owner)
                    self.membership.want_move(name)

        if node.peer(owner, peers.HEARS_PATH, wire.encode(peers.Names(names)), then):
            self._asking.add(owner)

    def hears(self, asked: Asked) -> None:
        """Say which of some machines report here."""
        try:
            message: peers.Names = wire.decode(peers.Names, asked.body)
        except msgspec.DecodeError as error:
            self.node.refuse(asked.number, 400, str(error))
            return
        if not self.membership.settled(SETTLED):
            # Its machines may be on their way here: started anew, an owner once lost a hundred at its first words.
            self.node.refuse(asked.number, 503, "not long in office", 1)
            return
        there = [name for name in message.machines if self._heard_lately(name)]
        self.node.reply(asked.number, 200, wire.encode(peers.Names(there)))

    def _heard_lately(self, name: str) -> bool:
        machine = self.machines.get(name)
        heard = None if machine is None else machine.heard_at
        return heard is not None and self.node.now - heard <= 1.25 * self.node.report + 2 * MARGIN

    def _answer_moving(self) -> None:
        """Answer the reports of machines that were asked for: they are ours now, or their owner is named."""
        for name, (asked, until) in list(self._moving.items()):
            owner = self.membership.owner(name)
            if owner == self.node.name or not self.membership.entitled():
                del self._moving[name]
                self.reported(asked)
            elif self.node.now >= until:
                del self._moving[name]
                self.node.reply(asked.number, 421, wire.encode(Steward(owner)))

    def _take(self, machine: Machine, report: Report) -> bool:
        """Take in a report if it is the newest."""
        old = machine.report
        if old is not None and (report.session, report.seq) <= (old.session, old.seq):
            return False
        if old is None or machine.lost:
            self._first(machine, report)
        if old is None or report.session != old.session:
            machine.sent = {}
            if old is not None:
                log.info("%s is in session %d", machine.id, report.session)
        if old is None or machine.suspect:
            self.picture.stale.add(machine.id)
        machine.report = report
        machine.heard_at = self.node.now
        machine.lost = machine.suspect = False
        machine.present, machine.beside = {}, {}
        wanted = self.picture.on_machine.get(machine.id, {})
        for task in report.tasks:
            key = task_key(task.task)
            if key is None:
                continue
            known = machine.present.get(key)
            if known is not None:
                record = wanted.get(key)
                if record is not None and known.attempt == record.attempt:
                    task, known = known, task
                machine.beside.setdefault(key, []).append(known)
            machine.present[key] = task
        self._judge(machine)
        self._note_machine(machine, report)
        return True

    # Between controllers -------------------------------------------------------------------------------------

    def _first(self, machine: Machine, report: Report) -> None:
        """A machine's first report here, or the first after it was given up: all controllers are to know of it, with no
        change in the state service."""
        record = MachineRecord(report.type, report.zone, report.spot, report.addr)
        self.picture.hear(machine.id, record)
        if machine.id in self.picture.heard or machine.lost:
            for sibling in self._siblings():
                self._untold.setdefault(sibling, {})[machine.id] = self.node.now

    def tell_of(self, name: str, record: MachineRecord) -> None:
        """Tell all of a machine that only the cloud has told of."""
        self.picture.hear(name, record)
        for sibling in self._siblings():
            self._untold.setdefault(sibling, {}).setdefault(name, self.node.now)

    def _siblings(self) -> list[str]:
        epoch = self.membership.epoch
        return [] if epoch is None else [name for name in epoch.members if name != self.node.name]

    def _tell_new_members(self) -> None:
        """Who has joined is told of the machines without a record: of one's own and, by the leader, of all."""
        epoch = self.membership.epoch
        members = {} if epoch is None else epoch.members
        for sibling in self._siblings():
            if self._members.get(sibling) != members[sibling]:
                self._untold[sibling] = {
                    name: self.node.now
                    for name in self.picture.heard
                    if self.membership.leads() or self.membership.owner(name) == self.node.name
                }
        for sibling in [name for name in self._untold if name not in members]:
            del self._untold[sibling]
        self._members = dict(members)

    def _tell(self) -> None:
        node = self.node
        if node.now - self._told_at < TELL_EVERY:
            return
        self._told_at = node.now
        vain: dict[str, None] = {}
        for sibling, untold in self._untold.items():
            if not untold:
                continue
            batch: list[peers.HeardMachine] = []
            for name, since in list(untold.items()):
                record = self.picture.machines.get(name)
                if record is None or record.use is not MachineUse.UP:
                    del untold[name]  # its record tells more
                    continue
                if node.now - since > TELL_IN_VAIN:
                    # Someone who can't be reached would never place there.
                    vain[name] = None
                if len(batch) < peers.MOST_HEARD:
                    batch.append(peers.HeardMachine(name, record.type, record.zone, record.spot, record.addr))
            if batch and sibling not in self._telling:
                self._tell_sibling(sibling, batch)
        self.ledger.untold_machines = vain

    def _tell_sibling(self, sibling: str, batch: list[peers.HeardMachine]) -> None:
        def then(status: int, body: bytes) -> None:
            self._telling.discard(sibling)
            if status == 200:
                untold = self._untold.get(sibling, {})
                for heard in batch:
                    untold.pop(heard.name, None)

        if self.node.peer(sibling, peers.HEARD_PATH, wire.encode(peers.Heard(batch)), then):
            self._telling.add(sibling)

    def told(self, asked: Asked) -> None:
        """A sibling tells of machines that have reported to it. No proof of anything: what is placed on them is, as
        everywhere, only what is committed."""
        try:
            message: peers.Heard = wire.decode(peers.Heard, asked.body)
        except msgspec.DecodeError as error:
            self.node.refuse(asked.number, 400, str(error))
            return
        if not self.node.loaded:
            self.node.refuse(asked.number, 503, "starting", 1)
            return
        for name in message.gone:
            self.picture.forget_machine(name)
            self.machines.pop(name, None)
        for heard in message.machines:
            self.picture.hear(heard.name, MachineRecord(heard.type, heard.zone, heard.spot, heard.addr))
        self.node.reply(asked.number, 200, b"{}")

    def _note_machine(self, machine: Machine, report: Report) -> None:
        known = self.ledger.machine(machine.id)
        use = MachineUse.UP if known is None else known.use
        if use is MachineUse.GONE:
            return
        if use is MachineUse.SILENT:
            use = MachineUse.UP
        until = 0 if known is None else known.until_s
        if report.notice_s is not None:
            until = until or int(self.node.wall.timestamp() + report.notice_s)
            if use is not MachineUse.BAD:
                use = MachineUse.LEAVING
        record = MachineRecord(report.type, report.zone, report.spot, report.addr, use, until)
        self.ledger.put_machine(machine.id, record)

    def _judge(self, machine: Machine) -> None:
        """Compare present with wanted and note the attempts that are proven gone."""
        wanted = self.picture.on_machine.get(machine.id, {})
        for key, task in wanted.items():
            seen = machine.present.get(key)
            if seen is not None and seen.attempt == task.attempt:
                if seen.state is Seen.EXITED:
                    self._exited(machine, key, task, seen)
                elif seen.state is Seen.RUNNING:
                    job = self.picture.jobs.get(key[0])
                    if job is not None:
                        machine.images.pop(job.spec.image, None)
                        machine.images[job.spec.image] = None
                        while len(machine.images) > 12:
                            del machine.images[next(iter(machine.images))]
            elif seen is None and task.state == TaskState.STOPPING and machine.trusted():
                self.ledger.exit(*key, task.attempt, Outcome(False, task.note or "stopped"))

    def _exited(self, machine: Machine, key: TaskKey, task: rec.TaskRecord, seen: TaskReport) -> None:
        why = seen.why or "ended"
        if why == Why.DONE:
            self._sound.pop(key[0], None)
            self._sound[key[0]] = None
            if len(self._sound) > 500:
                del self._sound[next(iter(self._sound))]
            machine.errors.clear()
            self.ledger.exit(*key, task.attempt, Outcome(True))
        elif why == Why.ERROR:
            if (*key, task.attempt) not in self.ledger.exits:
                machine.errors[key[0]] = machine.errors.get(key[0], 0) + 1
                self._suspect(machine)
            self.ledger.exit(*key, task.attempt, Outcome(False, f"error {machine.id}", True))
        elif why == Why.STOPPED:
            self.ledger.exit(*key, task.attempt, Outcome(False, task.note or "stopped"))
        else:
            # Not simply room that another took first: the next try waits a little.
            self.ledger.exit(*key, task.attempt, Outcome(False, f"{why} {machine.id}", why != Why.NO_ROOM))

    def _suspect(self, machine: Machine) -> None:
        """A machine on which several jobs fail, or jobs that complete elsewhere, is taken out of use."""
        sound = sum(count for job, count in machine.errors.items() if job in self._sound)
        if len(machine.errors) >= 3 or sound >= 2:
            known = self.ledger.machine(machine.id)
            if known is not None and known.use is not MachineUse.BAD:
                log.info("%s fails what it starts: no more work for it", machine.id)
                self.ledger.put_machine(machine.id, msgspec.structs.replace(known, use=MachineUse.BAD))

    # Commands ------------------------------------------------------------------------------------------------

    def _commands(self, machine: Machine) -> list[Command]:
        node = self.node
        wanted = self.picture.on_machine.get(machine.id, {})
        commands: list[Command] = []
        blocked: set[TaskKey] = set()
        for key, others in machine.beside.items():
            # All but one attempt of a task go first, or a start would be refused again and again.
            for other in others:
                if other.state is not Seen.EXITED:
                    commands.append(Command(Op.STOP, f"{key[0]}/{key[1]}", other.attempt, 0.0))
                    blocked.add(key)
                elif machine.trusted():
                    commands.append(Command(Op.FORGET, f"{key[0]}/{key[1]}", other.attempt))
                else:
                    blocked.add(key)
        for key, task in wanted.items():
            job = self.picture.jobs.get(key[0])
            if job is None:
                continue
            seen = machine.present.get(key)
            name = f"{key[0]}/{key[1]}"
            stopping = task.state == TaskState.STOPPING or job.cancelled
            # Once an attempt counts as gone it must not be started here again: its task may soon run elsewhere.
            ending = (*key, task.attempt) in self.ledger.exits or key in blocked
            if seen is not None and seen.attempt != task.attempt:
                # An earlier attempt is still here: it goes first.
                if seen.state is not Seen.EXITED:
                    commands.append(Command(Op.STOP, name, seen.attempt, 0.0))
                elif machine.trusted():
                    commands.append(Command(Op.FORGET, name, seen.attempt))
                    if not stopping and not ending:
                        commands.append(Command(Op.START, name, task.attempt))
            elif seen is None:
                if stopping:
                    if machine.trusted():
                        self.ledger.exit(*key, task.attempt, Outcome(False, task.note or "stopped"))
                elif not ending:
                    commands.append(Command(Op.START, name, task.attempt))
            elif seen.state is not Seen.EXITED and stopping:
                grace = 0.0 if job.cancelled else job.spec.save_s + 1.0
                if seen.state is not Seen.SAVING or job.cancelled:
                    commands.append(Command(Op.STOP, name, task.attempt, grace))
        for key, seen in machine.present.items():
            if key in wanted:
                continue
            name = f"{key[0]}/{key[1]}"
            if seen.state is not Seen.EXITED:
                commands.append(Command(Op.STOP, name, seen.attempt, 0.0))
            elif machine.trusted():
                commands.append(Command(Op.FORGET, name, seen.attempt))
        commands = commands[: BODY_BUDGET // 100]
        if len(machine.sent) > 2 * len(commands) + 200:
            machine.sent.clear()
        for command in commands:
            machine.sent[self._mark(command)] = node.now
        return commands

    @staticmethod
    def _mark(command: Command) -> tuple[str, int, int, Op]:
        grace = 0 if isinstance(command.grace_s, msgspec.UnsetType) else int(command.grace_s * 1000)
        return command.task, command.attempt, grace, command.op

    def work(self) -> None:
        """Send commands straight to machines whose wanted tasks changed; look after the silent ones."""
        self._answer_moving()
        self._ask_owners()
        self._tell()
        if not self.membership.entitled():
            return
        touched, self.picture.touched = self.picture.touched, set()
        for name in touched:
            if self.membership.owner(name) == self.node.name:
                if name in self.picture.on_machine or name in self.picture.machines:
                    machine = self.machine(name)
                    if machine.report is not None:
                        self._judge(machine)
                    self._direct(machine)
                elif name in self.machines:
                    self._direct(self.machines[name])

    def _direct(self, machine: Machine) -> None:
        node = self.node
        report = machine.report
        if report is None or machine.direct or machine.lost or machine.answered_at is None:
            return
        if machine.heard_at is None or node.now - machine.heard_at > 2 * node.report:
            return
        before = dict(machine.sent)
        commands = self._commands(machine)
        starting = {command.task for command in commands if command.op is Op.START}
        # What ends an earlier attempt goes along with every start, though it was sent before: that may still be on its
        # way, and a start that overtakes it is refused.
        fresh = [
            command
            for command in commands
            if command.task in starting
            and command.op is Op.FORGET
            or command.op is not Op.FORGET
            and node.now - before.get(self._mark(command), timedelta(days=-1)) > RESEND
        ]
        if all(command.op is Op.FORGET for command in fresh):
            fresh = []
        machine.sent = {**machine.sent, **before}
        if not fresh:
            return
        for command in fresh:
            machine.sent[self._mark(command)] = node.now
        token = self.token(machine)
        sent_at = node.now
        machine.direct = True

        def then(status: int, body: bytes) -> None:
            if self.machines.get(machine.id) is not machine:
                return
            machine.direct = False
            if status in (200, 409):
                try:
                    answer: Report = wire.decode(Report, body)
                except msgspec.DecodeError as error:
                    log.error("%s answered a command with what is no report: %s", machine.id, error)
                else:
                    self._take(machine, answer)  # renews no lease: answered_at stays
                    self.picture.touched.add(machine.id)
                    return
            if machine.heard_at is not None and machine.heard_at <= sent_at and node.now - sent_at > node.report / 2:
                # Neither an answer nor a report since: nothing more is placed there until it is heard again.
                machine.suspect = True
                self.picture.stale.add(machine.id)
            if status != -1:
                # It may still be on its way: from here on only reports with a higher token prove anything.
                machine.token = max(machine.token, token + 1)
                machine.fence = machine.token
                log.info("%s did not answer a direct command: fencing with token %d", machine.id, machine.token)

        body = wire.encode(Commands(token, fresh, report.session))
        node.worker(report.addr, wire.COMMANDS_PATH, body, then)

    # Silence -------------------------------------------------------------------------------------------------

    def tick(self) -> None:
        node = self.node
        if not self.membership.entitled() or node.now - self._looked_at < LOOK_EVERY:
            return
        self._looked_at = node.now
        if node.now - self._surveyed_at >= SURVEY_EVERY:
            self._surveyed_at = node.now
            self._survey()
        for name, machine in self.machines.items():
            if name in self.picture.machines or name in self.picture.on_machine:
                self._watch_over(machine)
        for name in [name for name in self.machines if name not in self.picture.machines]:
            machine = self.machines[name]
            if name not in self.picture.on_machine and (
                machine.heard_at is None or node.now - machine.heard_at > timedelta(seconds=60)
            ):
                del self.machines[name]

    def _survey(self) -> None:
        """Find the machines that are ours, of all that are known: who is silent from the start is watched over too."""
        for name in {*self.picture.on_machine, *self.picture.machines}:
            owner = self.membership.owner(name) or ""
            # Known from here on, not from the next epoch on: else that would count as a change of owner.
            self._owners.setdefault(name, (owner, self.node.now))
            if owner == self.node.name:
                self.machine(name)

    def gone_at(self, machine: Machine) -> timedelta:
        """When a silent machine's lease has surely ended, whoever answered it last."""
        last = machine.owner_since + self.node.ttl * SLACK
        if machine.answered_at is not None:
            last = max(last, machine.answered_at)
        return last + self.node.lease * SLACK + MARGIN

    def _watch_over(self, machine: Machine) -> None:
        node = self.node
        heard = max(machine.heard_at or machine.owner_since, machine.owner_since)
        if node.now - heard > 2.5 * node.report + 2 * MARGIN:
            self._silent(machine)
        if node.now < self.gone_at(machine):
            return
        wanted = self.picture.on_machine.get(machine.id)
        if wanted:
            machine.lost = True
            for key, task in wanted.items():
                self.ledger.exit(*key, task.attempt, Outcome(False, f"{LOST}{machine.id}"))

    def _silent(self, machine: Machine) -> None:
        known = self.ledger.machine(machine.id)
        if known is not None and known.use is MachineUse.UP:
            log.info("%s is silent", machine.id)
            self.ledger.put_machine(machine.id, msgspec.structs.replace(known, use=MachineUse.SILENT))

    def tell_gone(self, names: list[str]) -> None:
        """Tell the siblings of returned machines. Who does not hear of it finds them silent."""
        for sibling in self._siblings():
            for start in range(0, len(names), peers.MOST_HEARD):
                body = wire.encode(peers.Heard([], names[start : start + peers.MOST_HEARD]))
                self.node.peer(sibling, peers.HEARD_PATH, body, lambda status, body: None)

    def returned(self, name: str) -> None:
        """The cloud has answered that the machine is gone, with everything on it."""
        self.ledger.gone[name] = None
        while len(self.ledger.gone) > 1000:
            del self.ledger.gone[next(iter(self.ledger.gone))]
        for key, task in self.picture.on_machine.get(name, {}).items():
            self.ledger.exit(*key, task.attempt, Outcome(False, f"returned {name}"))
        known = self.ledger.machine(name)
        if name in self.picture.heard and name not in self.picture.on_machine:
            self.picture.forget_machine(name)
            known = None
        # One that was to be returned stays so: nothing is placed on it, whatever late reports say.
        if known is not None and known.use is not MachineUse.RETURNING:
            self.ledger.put_machine(name, msgspec.structs.replace(known, use=MachineUse.GONE))
        self.machines.pop(name, None)
        self.picture.stale.add(name)
