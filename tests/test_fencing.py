"""An attempt that was confirmed ended or forgotten never starts again, whatever messages are lost, late or repeated.

Names on the wire: "baton" is the fencing token, "orders" are commands, "portion" is the task, "try" the attempt; the
command "halt" stops an attempt, and "reap" makes the machine forget an exited one. The ``rename`` maps in
``gladecroft.protocol.wire`` explain the others.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.records import TaskRecord, TaskState
from gladecroft.coordination.core import Core
from gladecroft.coordination.events import CallResult, IncomingRequest, OutgoingCall, Reply, RequestKind, Target
from gladecroft.coordination.machines.machine import Machine
from gladecroft.protocol import wire
from gladecroft.protocol.settings import OperatorSettings, PlatformSettings
from test_epochs import PLATFORM, clock_at
from test_protocol import JOB

SPEC = wire.parse_job(msgspec.json.encode({**JOB, "nameId": "wk-1", "owner": "t", "portions": 1, "oneZone": False}))


class CoreHarness:
    """Test harness: a core that owns one machine, m-1, and a model of that machine's worker."""

    def __init__(self, operator_settings: OperatorSettings | None = None) -> None:
        self.core = Core(msgspec.convert(PLATFORM, PlatformSettings), operator_settings or OperatorSettings())
        self.core.context.records_loaded = True
        self.core.membership.lease_id = self.core.membership.incarnation = 7
        self.revision = 10
        self.now_s = 100.0
        self.put_record(rec.EPOCH, rec.EpochRecord(1, "n1", {"n0": 7, "n1": 8}, {"m-1": "n0"}))
        self.put_record("g/m/m-1", rec.MachineRecord("g", "a", False, "10.1.0.1:9000"))
        self.put_record("g/j/wk-1", rec.JobRecord(SPEC, 0))
        self.token = self.report_number = self.request_id = 0
        self.tasks: dict[str, Any] = {}
        self.task_forgotten = False
        self.command: OutgoingCall | None = None
        self.delayed_commands: list[Any] = []
        #: Direct commands that were executed and answered; copies of them may arrive at any later time.
        self.answered_commands: list[Any] = []
        #: Reply to a report that is still in transit. It arrives or times out before the next report.
        self.held_reply: Any = None
        self.violation = ""
        self.step([])
        self.core.membership.active_until = clock_at(10_000).monotonic

    def put_record(self, key: str, value: Any) -> None:
        """Apply a record to the cluster state, as if the watch had delivered it."""
        self.revision += 1
        self.core.context.cluster_state.apply(key, msgspec.json.encode(value), self.revision)
        self.core.context.cluster_state.revision = self.revision

    def place_task(self, state: TaskState) -> None:
        """Record the task's first attempt in this state."""
        machine = "" if state is TaskState.DONE else "m-1"
        self.put_record("g/p/wk-1/0", rec.ChunkRecord([TaskRecord(state, 1, machine)]))

    def step(self, events: list[Any]) -> list[Reply]:
        """Run one step of the core 0.6 s later, and return its replies."""
        self.now_s += 0.6
        effects = self.core.step(clock_at(self.now_s), events)
        for effect in effects:
            if isinstance(effect, OutgoingCall) and effect.target is Target.WORKER:
                self.command = effect
        return [effect for effect in effects if isinstance(effect, Reply)]

    def report(self) -> bytes:
        """The next report of the worker."""
        self.report_number += 1
        return msgspec.json.encode(
            {"hearth": "m-1", "endpoint": "10.1.0.1:9000", "flavor": "g", "district": "a", "leftovers": False,
             "shift": 1, "tally": self.report_number, "baton": self.token, "portions": list(self.tasks.values())}
        )  # fmt: skip

    def execute_commands(self, message: Any) -> bool:
        """Model of the worker: reject commands with an old token, execute others. Return whether they were executed."""
        if message["baton"] < self.token:
            return False
        self.token = message["baton"]
        for order in message["orders"]:
            name = order["portion"]
            if order["verb"] == "start" and name not in self.tasks:
                if self.task_forgotten or ("wk-1", 0, 1) in self.core.state_writer.exits:
                    self.violation = "started after it was forgotten or confirmed ended"
                self.tasks[name] = {"portion": name, "try": order["try"], "status": "running"}
            elif order["verb"] == "halt" and name in self.tasks:
                self.tasks[name].update(status="exited", cause="halted")
            elif order["verb"] == "reap" and self.tasks.get(name, {}).get("status") == "exited":
                del self.tasks[name]
                self.task_forgotten = True
        return True

    def perform(self, action: str) -> None:
        """Perform one of ``ACTIONS``, if it is possible now, and run a step."""
        call, body = self.command, None if self.command is None else msgspec.json.decode(self.command.body or b"")
        if action == "place" and not self.core.context.cluster_state.jobs["wk-1"].chunks:
            self.place_task(TaskState.ACTIVE)
        elif action in ("report", "report, reply lost", "report, reply held"):
            self.request_id += 1
            self.held_reply = None
            for reply in self.step([IncomingRequest(self.request_id, RequestKind.REPORT, self.report())]):
                if reply.status == 200 and action == "report":
                    self.execute_commands(msgspec.json.decode(reply.body))
                elif reply.status == 200 and action == "report, reply held":
                    self.held_reply = msgspec.json.decode(reply.body)
        elif action == "deliver held reply" and self.held_reply is not None:
            held, self.held_reply = self.held_reply, None
            self.execute_commands(held)
        elif action == "finish":
            for task in self.tasks.values():
                if task["status"] == "running":
                    task.update(status="exited", cause="done")
        elif action == "commit" and ("wk-1", 0, 1) in self.core.state_writer.exits:
            self.place_task(TaskState.DONE)
        elif action == "stop" and self.core.context.cluster_state.tasks_by_machine:
            self.place_task(TaskState.STOPPING)
        elif action == "late" and self.delayed_commands:
            self.execute_commands(self.delayed_commands.pop(0))
        elif action in ("copy of the first", "copy of the last") and self.answered_commands:
            self.execute_commands(self.answered_commands[0 if action == "copy of the first" else -1])
        elif call is not None and action in ("deliver", "delay", "lose response"):
            self.command = None
            if action == "deliver":
                status = 200 if self.execute_commands(body) else 409
                if status == 200:
                    self.answered_commands.append(body)
                self.step([CallResult(call.call_id, status, self.report())])
            else:
                if action == "delay":
                    self.delayed_commands.append(body)
                else:
                    self.execute_commands(body)
                self.step([CallResult(call.call_id, 0)])
        self.step([])


#: The actions "deliver", "delay" and "lose response" are about the direct command in transit; "late" delivers one that
#: was delayed, and the copies are of direct commands that were executed and answered.
ACTIONS = st.sampled_from(
    ["report", "report, reply lost", "report, reply held", "deliver held reply", "place", "finish", "commit", "stop",
     "late", "deliver", "delay", "lose response", "copy of the first", "copy of the last"]
)  # fmt: skip


@settings(max_examples=500)
@given(st.lists(ACTIONS, min_size=5, max_size=25))
@example(["report", "place", "delay", "stop", "report, reply lost", "late"])
@example(["place", "report", "place", "report, reply held", "stop", "deliver held reply"])
@example(
    [
        "report",
        "place",
        "report, reply held",
        "deliver",
        "finish",
        "report, reply held",
        "commit",
        "deliver",
        "deliver held reply",
    ]
)
@example(["report", "place", "delay", "report", "finish", "report, reply lost", "commit", "report", "report", "late"])
@example(
    ["report", "report", "place", "deliver", "finish", "report", "commit", "report", "report", "copy of the first"]
)
def test_no_attempt_starts_after_it_is_confirmed_ended(actions: list[str]) -> None:
    harness = CoreHarness()
    for action in actions:
        harness.perform(action)
        assert not harness.violation, harness.violation


def test_harness_starts_stops_and_forgets_a_task() -> None:
    harness = CoreHarness()
    for action in ("report", "place", "deliver", "report", "stop", "deliver", "report", "commit", "report", "report"):
        harness.perform(action)
    assert harness.task_forgotten and not harness.tasks


def test_attempt_missing_from_a_report_is_not_ended_while_a_start_may_be_in_transit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A task missing from a report is not certain to have ended while the reply to the last report may still start it.

    A worker may wait 4 s for that reply (PROTOCOL), and may report after a direct command in the meantime. When the
    attempt counted as ended, the task was placed elsewhere and also started here.
    """

    def ends_while_start_is_in_transit() -> bool:
        harness = CoreHarness()
        harness.put_record("g/j/wk-2", rec.JobRecord(msgspec.structs.replace(SPEC, id="wk-2", tasks=2), 0))

        def place(first: TaskState, second: TaskState) -> None:
            machines = ["m-1" if state in (TaskState.ACTIVE, TaskState.STOPPING) else "" for state in (first, second)]
            harness.put_record(
                "g/p/wk-2/0", rec.ChunkRecord([TaskRecord(first, 1, machines[0]), TaskRecord(second, 1, machines[1])])
            )
            harness.step([])

        harness.perform("report")
        harness.perform("report")
        place(TaskState.ACTIVE, TaskState.QUEUED)
        place(TaskState.ACTIVE, TaskState.ACTIVE)  # the direct command for the first task is in transit
        harness.perform("report, reply held")
        assert {order["portion"] for order in harness.held_reply["orders"]} == {"wk-2/0", "wk-2/1"}
        harness.perform("deliver")
        assert set(harness.tasks) == {"wk-2/0"}
        place(TaskState.ACTIVE, TaskState.STOPPING)
        ended_early = ("wk-2", 1, 1) in harness.core.state_writer.exits
        harness.perform("deliver held reply")
        assert set(harness.tasks) == {"wk-2/0", "wk-2/1"}
        for _ in range(3):
            harness.perform("report")
            harness.perform("deliver")
        assert ("wk-2", 1, 1) in harness.core.state_writer.exits  # confirmed ended eventually
        return ended_early

    assert not ends_while_start_is_in_transit()
    monkeypatch.setattr(
        Machine, "has_trusted_report", lambda self: not self.push_pending and self.report.token >= self.fencing_token
    )
    assert ends_while_start_is_in_transit()


def test_no_direct_start_before_the_first_reply_in_a_session() -> None:
    """No direct command starts a task in a worker session that has not received a reply yet.

    A machine that receives no replies begins a new session, while its owner still counts the machine's lease from a
    reply that never arrived. A task that a direct command started in the new session ran on after it was confirmed
    ended.
    """
    harness = CoreHarness()
    harness.perform("report")
    harness.perform("report")
    machine = harness.core.machine_manager.machines["m-1"]
    lease_s = harness.core.context.machine_lease.total_seconds()

    def report(session: int, at_s: float) -> int:
        harness.now_s = at_s - 0.6
        harness.request_id += 1
        (reply,) = harness.step(
            [
                IncomingRequest(
                    harness.request_id,
                    RequestKind.REPORT,
                    harness.report().replace(b'"shift":1', b'"shift":%d' % session),
                )
            ]
        )
        return reply.status

    start_s = harness.now_s
    assert report(1, start_s + 7) == 200 and report(1, start_s + 14) == 200  # neither reply arrives
    assert report(2, start_s + lease_s + 1.5) == 503 and machine.report is not None and machine.report.session == 2
    harness.place_task(TaskState.ACTIVE)
    harness.step([])
    assert harness.command is None
    # Once the machine has received a reply in this session, its lease counts from that reply.
    harness.token = harness.core.machine_manager.command_sender.current_token(machine)
    assert report(2, start_s + lease_s + 2.5) == 200
    assert machine.last_reply_at is not None and machine.last_reply_session == 2


@pytest.mark.parametrize("cause", ["done", "halted", "error", "full", "busy", "no_such"])
def test_copy_of_a_start_has_no_effect_after_the_attempt_was_forgotten(cause: str) -> None:
    harness = CoreHarness()
    for action in ("report", "report", "place", "deliver"):
        harness.perform(action)
    harness.tasks["wk-1/0"].update(status="exited", cause=cause)
    for action in ("report", "commit", "report", "report"):
        harness.perform(action)
    assert harness.task_forgotten
    harness.perform("copy of the first")
    assert harness.tasks == {}


def test_token_is_raised_only_by_the_first_forget_after_a_start() -> None:
    harness = CoreHarness()
    tokens = []
    for action in ("report", "report", "place", "deliver", "finish", "report", "commit", "report", "report", "report"):
        harness.perform(action)
        tokens.append(harness.token)
    base = harness.core.membership.base_token()
    assert tokens[-1] == base + 1 and set(tokens) == {base, base + 1}


def test_owner_that_dropped_the_state_of_a_machine_replies_with_a_higher_token() -> None:
    harness = CoreHarness()
    for action in ("report", "report", "place", "deliver", "finish", "report", "commit", "report", "report"):
        harness.perform(action)
    manager = harness.core.machine_manager
    sent = manager.machines["m-1"].token
    manager._drop_machine("m-1")
    assert harness.token == sent and manager.ensure_machine("m-1").token > sent
    for _ in range(2):
        harness.perform("report")
    assert harness.token > sent and manager.machines["m-1"].has_trusted_report()


def test_refused_commands_are_sent_again_at_once() -> None:
    harness = CoreHarness()
    for action in ("report", "report", "place"):
        harness.perform(action)
    call = harness.command
    assert call is not None
    # A reply with a raised token has overtaken the command.
    machine = harness.core.machine_manager.machines["m-1"]
    harness.token = machine.token = machine.token + 1
    harness.command = None
    harness.now_s -= 0.5
    harness.step([CallResult(call.call_id, 409, harness.report())])
    assert harness.command is not None and harness.command.path == wire.COMMANDS_PATH
    assert msgspec.json.decode(harness.command.body or b"")["baton"] == harness.token
