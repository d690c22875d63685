"""A record that a read does not find may never have been written: its absence is no proof of a deletion.

Names on the wire: "hearth" is the machine, "shift" the session, "tally" the sequence number, "baton" the token,
"ledger" the revision.
"""

from __future__ import annotations

import msgspec
import pytest

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.bookkeeping.records import MachineLifecycle, MachineRecord
from gladecroft.coordination.events import CallResult, Event, IncomingRequest, OutgoingCall, Reply, RequestKind
from gladecroft.protocol import wire
from gladecroft.protocol.settings import Team
from test_epochs import clock_at
from test_fencing import SPEC, CoreHarness

MACHINE = "m-2"
KEY = rec.machine_key(MACHINE)
UP = MachineRecord("g", "a", False, "10.1.0.2:9000")
#: Statuses of a commit that got no response, and of one that the state service rejected as malformed.
NO_RESPONSE, MALFORMED = 0, 400


def with_lifecycle(lifecycle: MachineLifecycle) -> MachineRecord:
    return msgspec.structs.replace(UP, lifecycle=lifecycle)


class FirstRecordHarness:
    """A controller that owns a machine without a record and has just sent a commit with the machine's first record."""

    def __init__(self, lifecycle: MachineLifecycle) -> None:
        self.harness = CoreHarness()
        self.core = self.harness.core
        self.cluster_state = self.core.context.cluster_state
        self.core.context.state_served_at = clock_at(self.harness.now_s).monotonic
        self.calls: list[OutgoingCall] = []
        self.report_count = self.token = 0
        self.begin_epoch(2)
        assert self.report().status == 200
        assert self.cluster_state.reported_machines == {MACHINE: UP}
        self.core.state_writer.put_machine(MACHINE, with_lifecycle(lifecycle))
        self.commit = self.next_commit()

    def begin_epoch(self, number: int) -> None:
        """Apply an epoch in which this controller owns the machine and another one is the leader."""
        members, moved = {"n0": 7, "n1": 8}, {"m-1": "n0", MACHINE: "n0"}
        self.harness.put_record(rec.EPOCH, rec.EpochRecord(number, "n1", members, moved))
        self.step()

    def step(self, *events: Event) -> list[Reply]:
        """Run a step of the core 0.6 s later, keep its calls and return its replies."""
        self.harness.now_s += 0.6
        effects = self.core.step(clock_at(self.harness.now_s), list(events))
        self.calls += [effect for effect in effects if isinstance(effect, OutgoingCall)]
        return [effect for effect in effects if isinstance(effect, Reply)]

    def next_call(self, path: str, text: str = "") -> OutgoingCall:
        """Return the next call to the path with the text in its body; it must come within five steps."""
        for _ in range(5):
            self.step()
            calls, self.calls = self.calls, []
            for call in calls:
                if call.path == path and text.encode() in (call.body or b""):
                    return call
        raise AssertionError(f"no call to {path}")

    def next_commit(self) -> OutgoingCall:
        """Return the next commit that writes the machine's record."""
        return self.next_call(wire.COMMIT_PATH, f'"write":"{KEY}"')

    def report(self) -> Reply:
        """Let the machine report and return the reply, whose token its next report carries."""
        self.report_count += 1
        report = {"hearth": MACHINE, "endpoint": UP.addr, "flavor": "g", "district": "a", "leftovers": False,
                  "shift": 1, "tally": self.report_count, "baton": self.token, "warningS": None,
                  "portions": []}  # fmt: skip
        (reply,) = self.step(IncomingRequest(self.report_count, RequestKind.REPORT, msgspec.json.encode(report)))
        if reply.status == 200:
            self.token = msgspec.json.decode(reply.body)["baton"]
        return reply

    def fail_commit(self, status: int) -> None:
        """End the commit with this status, and let the read that follows find no record."""
        self.step(CallResult(self.commit.call_id, status, b"{}"))
        read = self.next_call(wire.key_path(KEY))
        self.step(CallResult(read.call_id, 404, msgspec.json.encode({"ledger": self.harness.revision + 5})))


@pytest.mark.parametrize("status", [NO_RESPONSE, MALFORMED])
@pytest.mark.parametrize("lifecycle", [lifecycle for lifecycle in MachineLifecycle if lifecycle is not UP.lifecycle])
def test_machine_stays_known_if_its_first_record_was_not_written(lifecycle: MachineLifecycle, status: int) -> None:
    # Guards against a machine that is up and counts as returned, for good, after a commit without a response.
    controller = FirstRecordHarness(lifecycle)
    controller.fail_commit(status)
    assert controller.cluster_state.machines.get(MACHINE) == UP
    assert not controller.cluster_state.was_returned(MACHINE)
    # The record is written again, with the condition that there is still none.
    assert f'{{"key":"{KEY}","stamp":0}}'.encode() in (controller.next_commit().body or b"")


@pytest.mark.parametrize("lifecycle", [MachineLifecycle.SILENT, MachineLifecycle.DRAINING, MachineLifecycle.FAULTY])
def test_machine_keeps_its_lease_if_its_first_record_was_not_written(lifecycle: MachineLifecycle) -> None:
    # Guards against reports that get 503 for good, so that the machine's lease ends and its tasks are lost.
    controller = FirstRecordHarness(lifecycle)
    controller.fail_commit(NO_RESPONSE)
    assert controller.report().status == 200


def test_machine_is_used_again_if_the_epoch_ends_before_its_first_record_is_written() -> None:
    # Guards against a former leader that leaves jobs queued beside a machine that it had been about to return.
    controller = FirstRecordHarness(MachineLifecycle.RETURNING)
    controller.begin_epoch(3)
    controller.fail_commit(NO_RESPONSE)
    assert controller.report().status == 200
    assert controller.core.state_writer.machine_record(MACHINE) == UP


def cluster_state_with_reported_machine() -> ClusterState:
    cluster_state = ClusterState([Team("t", 0.0, 0.0)], 16.0)
    cluster_state.add_reported_machine(MACHINE, UP)
    return cluster_state


def test_machine_returned_before_the_read_is_removed_when_the_watch_delivers_its_deletion() -> None:
    # Guards against a controller that was cut off for long and places tasks on a machine that was returned meanwhile.
    cluster_state = cluster_state_with_reported_machine()
    cluster_state.apply_absence(KEY, 20)
    assert cluster_state.machines == {MACHINE: UP}
    cluster_state.apply(KEY, msgspec.json.encode(with_lifecycle(MachineLifecycle.RETURNED)), 15)
    cluster_state.apply(KEY, None, 18)
    assert cluster_state.was_returned(MACHINE) and not cluster_state.machines


def test_absence_of_an_unknown_job_hides_older_updates() -> None:
    cluster_state = ClusterState([Team("t", 0.0, 0.0)], 16.0)
    value = msgspec.json.encode(rec.JobRecord(SPEC, 0))
    cluster_state.apply_absence(rec.job_key(SPEC.id), 20)
    assert not cluster_state.apply(rec.job_key(SPEC.id), value, 20) and not cluster_state.jobs
    assert cluster_state.apply(rec.job_key(SPEC.id), value, 21) and SPEC.id in cluster_state.jobs


def test_absence_of_a_known_record_is_its_deletion() -> None:
    cluster_state = cluster_state_with_reported_machine()
    cluster_state.apply(KEY, msgspec.json.encode(with_lifecycle(MachineLifecycle.RETURNED)), 10)
    cluster_state.apply_absence(KEY, 9)  # the read was executed before the write
    assert MACHINE in cluster_state.machines
    cluster_state.apply_absence(KEY, 11)
    cluster_state.add_reported_machine(MACHINE, UP)  # a late announcement
    assert cluster_state.was_returned(MACHINE) and not cluster_state.machines
