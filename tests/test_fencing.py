"""Whatever is lost, late or repeated: an attempt that was told gone or reaped is never started again."""

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
    """A core that owns one machine with one placed task, and a model of that machine's worker."""

    def __init__(self, operator_settings: OperatorSettings | None = None) -> None:
        self.core = Core(msgspec.convert(PLATFORM, PlatformSettings), operator_settings or OperatorSettings())
        self.core.context.records_loaded = True
        self.core.membership.lease = self.core.membership.incarnation = 7
        self.revision = 10
        self.now_s = 100.0
        self.put_record(rec.EPOCH, rec.EpochRecord(1, "n1", {"n0": 7, "n1": 8}, {"m-1": "n0"}))
        self.put_record("g/m/m-1", rec.MachineRecord("g", "a", False, "10.1.0.1:9000"))
        self.put_record("g/j/wk-1", rec.JobRecord(SPEC, 0))
        self.token = self.report_number = self.request_id = 0
        self.tasks: dict[str, Any] = {}
        self.reaped = False
        self.direct: OutgoingCall | None = None
        self.late: list[Any] = []
        #: The answer to a report that is still on its way. The next report comes when it has, or has been given up.
        self.held: Any = None
        self.broken = ""
        self.step([])
        self.core.membership.active_until = clock_at(10_000).monotonic

    def put_record(self, key: str, value: Any) -> None:
        self.revision += 1
        self.core.context.cluster_state.apply(key, msgspec.json.encode(value), self.revision)
        self.core.context.cluster_state.revision = self.revision

    def place_task(self, state: TaskState) -> None:
        machine = "" if state is TaskState.DONE else "m-1"
        self.put_record("g/p/wk-1/0", rec.ChunkRecord([TaskRecord(state, 1, machine)]))

    def step(self, events: list[Any]) -> list[Reply]:
        self.now_s += 0.6
        effects = self.core.step(clock_at(self.now_s), events)
        for effect in effects:
            if isinstance(effect, OutgoingCall) and effect.target is Target.WORKER:
                self.direct = effect
        return [effect for effect in effects if isinstance(effect, Reply)]

    def report(self) -> bytes:
        self.report_number += 1
        return msgspec.json.encode(
            {"hearth": "m-1", "endpoint": "10.1.0.1:9000", "flavor": "g", "district": "a", "leftovers": False,
             "shift": 1, "tally": self.report_number, "baton": self.token, "portions": list(self.tasks.values())}
        )  # fmt: skip

    def execute(self, message: Any) -> bool:
        if message["baton"] < self.token:
            return False
        self.token = message["baton"]
        for order in message["orders"]:
            name = order["portion"]
            if order["verb"] == "start" and name not in self.tasks:
                if self.reaped or ("wk-1", 0, 1) in self.core.state_writer.exits:
                    self.broken = "started after it was reaped or called gone"
                self.tasks[name] = {"portion": name, "try": order["try"], "status": "running"}
            elif order["verb"] == "halt" and name in self.tasks:
                self.tasks[name].update(status="exited", cause="halted")
            elif order["verb"] == "reap" and self.tasks.get(name, {}).get("status") == "exited":
                del self.tasks[name]
                self.reaped = True
        return True

    def do(self, what: str) -> None:
        call, body = self.direct, None if self.direct is None else msgspec.json.decode(self.direct.body or b"")
        if what == "place" and not self.core.context.cluster_state.jobs["wk-1"].chunks:
            self.place_task(TaskState.ACTIVE)
        elif what in ("beat", "beat, answer lost", "beat, answer held"):
            self.request_id += 1
            self.held = None
            for reply in self.step([IncomingRequest(self.request_id, RequestKind.REPORT, self.report())]):
                if reply.status == 200 and what == "beat":
                    self.execute(msgspec.json.decode(reply.body))
                elif reply.status == 200 and what == "beat, answer held":
                    self.held = msgspec.json.decode(reply.body)
        elif what == "held answer" and self.held is not None:
            held, self.held = self.held, None
            self.execute(held)
        elif what == "finish":
            for task in self.tasks.values():
                if task["status"] == "running":
                    task.update(status="exited", cause="done")
        elif what == "commit" and ("wk-1", 0, 1) in self.core.state_writer.exits:
            self.place_task(TaskState.DONE)
        elif what == "stop" and self.core.context.cluster_state.tasks_by_machine:
            self.place_task(TaskState.STOPPING)
        elif what == "late" and self.late:
            self.execute(self.late.pop(0))
        elif call is not None and what in ("answer", "lose", "lose answer"):
            self.direct = None
            if what == "answer":
                status = 200 if self.execute(body) else 409
                self.step([CallResult(call.call_id, status, self.report())])
            else:
                if what == "lose":
                    self.late.append(body)
                else:
                    self.execute(body)
                self.step([CallResult(call.call_id, 0)])
        self.step([])


DEEDS = st.sampled_from(
    ["beat", "beat, answer lost", "beat, answer held", "held answer", "place", "finish", "commit", "stop", "late",
     "answer", "lose", "lose answer"]
)  # fmt: skip


@settings(max_examples=500)
@given(st.lists(DEEDS, min_size=5, max_size=25))
@example(["beat", "place", "lose", "stop", "beat, answer lost", "late"])
@example(["place", "beat", "place", "beat, answer held", "stop", "held answer"])
@example(
    ["beat", "place", "beat, answer held", "answer", "finish", "beat, answer held", "commit", "answer", "held answer"]
)
@example(["beat", "place", "lose", "beat", "finish", "beat, answer lost", "commit", "beat", "beat", "late"])
def test_nothing_starts_after_it_was_called_gone(deeds: list[str]) -> None:
    rig = CoreHarness()
    for deed in deeds:
        rig.do(deed)
        assert not rig.broken, rig.broken


def test_the_rig_starts_stops_and_reaps() -> None:
    rig = CoreHarness()
    for deed in ("beat", "place", "answer", "beat", "stop", "answer", "beat", "commit", "beat", "beat"):
        rig.do(deed)
    assert rig.reaped and not rig.tasks


def test_absence_proves_nothing_while_a_start_may_be_on_its_way_in_an_answer(monkeypatch: pytest.MonkeyPatch) -> None:
    """A report made after a direct command may be older than what the answer to the last report brings: PROTOCOL lets a
    worker wait 4 s for that. Called gone, the task was placed elsewhere while it started here."""

    def called_gone() -> bool:
        rig = CoreHarness()
        rig.put_record("g/j/wk-2", rec.JobRecord(msgspec.structs.replace(SPEC, id="wk-2", tasks=2), 0))

        def place(first: TaskState, second: TaskState) -> None:
            machines = ["m-1" if state in (TaskState.ACTIVE, TaskState.STOPPING) else "" for state in (first, second)]
            rig.put_record(
                "g/p/wk-2/0", rec.ChunkRecord([TaskRecord(first, 1, machines[0]), TaskRecord(second, 1, machines[1])])
            )
            rig.step([])

        rig.do("beat")
        rig.do("beat")
        place(TaskState.ACTIVE, TaskState.QUEUED)
        place(TaskState.ACTIVE, TaskState.ACTIVE)  # the command for the first is on its way
        rig.do("beat, answer held")
        assert {order["portion"] for order in rig.held["orders"]} == {"wk-2/0", "wk-2/1"}
        rig.do("answer")
        assert set(rig.tasks) == {"wk-2/0"}
        place(TaskState.ACTIVE, TaskState.STOPPING)
        gone = ("wk-2", 1, 1) in rig.core.state_writer.exits
        rig.do("held answer")
        assert set(rig.tasks) == {"wk-2/0", "wk-2/1"}
        for _ in range(3):
            rig.do("beat")
            rig.do("answer")
        assert ("wk-2", 1, 1) in rig.core.state_writer.exits  # and it is proven in the end
        return gone

    assert not called_gone()
    monkeypatch.setattr(
        Machine, "has_trusted_report", lambda self: not self.direct and self.report.token >= self.fencing_token
    )
    assert called_gone()


def test_nothing_is_started_straight_in_a_session_that_was_never_answered() -> None:
    """A machine that loses its answers begins a new session while its owner still counts the last lease from an answer
    that never arrived. Started there by a direct command, a task outlived the proof that it was gone."""
    rig = CoreHarness()
    rig.do("beat")
    rig.do("beat")
    machine = rig.core.machine_manager.machines["m-1"]
    lease = rig.core.context.machine_lease.total_seconds()

    def report(session: int, at: float) -> int:
        rig.now_s = at - 0.6
        rig.request_id += 1
        (reply,) = rig.step(
            [
                IncomingRequest(
                    rig.request_id, RequestKind.REPORT, rig.report().replace(b'"shift":1', b'"shift":%d' % session)
                )
            ]
        )
        return reply.status

    begun = rig.now_s
    assert report(1, begun + 7) == 200 and report(1, begun + 14) == 200  # neither answer arrives
    assert report(2, begun + lease + 1.5) == 503 and machine.report is not None and machine.report.session == 2
    rig.place_task(TaskState.ACTIVE)
    rig.step([])
    assert rig.direct is None
    # Once it has been answered in this session, its lease counts from that.
    rig.token = rig.core.machine_manager.current_token(machine)
    assert report(2, begun + lease + 2.5) == 200
    assert machine.answered_at is not None and machine.answered_session == 2
