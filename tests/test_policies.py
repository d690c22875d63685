"""Effects of policies, and checks that no result or failure of a policy stops a controller or violates an invariant.

``tests/scenarios/README`` describes the commands of scenarios.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

import msgspec
import pytest

from gladecroft import policies
from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.events import CallResult, IncomingRequest, OutgoingCall, Reply, RequestKind
from gladecroft.coordination.scheduling.placement import HighPriorityPlacer, LowPriorityPlacer, Ranking
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.simulation import WALL_CLOCK_START, seconds
from gladecroft.policies.engine import PolicyEngine
from gladecroft.policies.interface import CapacityReservation, Drain, Hold, MachineAttributes, Policy
from gladecroft.protocol import operators, wire
from gladecroft.protocol.operators import CordonRequest, CordonScope
from gladecroft.protocol.settings import OperatorSettings, SettingsError, load_operator
from test_epochs import clock_at
from test_fencing import SPEC, CoreHarness
from test_placement import make_candidate, make_request, make_task

#: Wall-clock time at which scenarios start, 1000 s after that of the simulation.
SCENARIO_START = WALL_CLOCK_START + seconds(1000)
SCENARIO_TEXT = """
set policies={policies}
team t cpus=16 max=64
team u cpus=0 max=64
type g16 cpus=16 memory=64 boot=15
up g16 count=2
at 1 submit wk-1 team=u tasks=12 cpus=4 memory=2 run=30 checkpoint=5 save=2
at 20 submit wk-2 team=t kind=service tasks=4 cpus=4 memory=2
at 30 crash leader for=2
run 150
"""
#: Machine type, zone, and whether it is spot capacity.
POOL = ("g16", "a", False)
RegisterPolicy = Callable[[type[Policy]], type[Policy]]


def wall_time_at(elapsed_s: float) -> datetime:
    return SCENARIO_START + seconds(elapsed_s)


@pytest.fixture
def register_policy(monkeypatch: pytest.MonkeyPatch) -> RegisterPolicy:
    """Registers policy classes under their subjects, so that scenarios can enable them."""

    def register(kind: type[Policy]) -> type[Policy]:
        monkeypatch.setitem(policies.POLICY_TYPES, kind.subject, kind)
        return kind

    return register


class NeutralPolicy(Policy):
    """Overrides every method and returns only neutral results."""

    subject = "neutral"
    job_specific = True

    def hold(self, job: Job, wall_now: datetime) -> Hold | None:
        return None

    def filter(self, job: Job | None, machine: MachineAttributes, wall_now: datetime) -> str | None:
        return None

    def score(self, job: Job, machine: MachineAttributes, wall_now: datetime) -> float:
        return 0.0

    def capacity_reservations(self, wall_now: datetime) -> list[CapacityReservation]:
        return []

    def drain(self, machine: MachineAttributes, wall_now: datetime) -> Drain | None:
        return None


def run_history(text: str) -> list[tuple[str, str, str, bytes]]:
    """Run a scenario; return the task starts, the records, and the revision with the number of rentals."""
    scenario = Scenario(text, 3)
    history: list[tuple[str, str, str, bytes]] = []
    scenario.run()
    assert scenario.oracle.violations == []
    history += [(str(started_at), str(key), machine, b"") for started_at, key, machine, _ in scenario.oracle.starts]
    history += [
        (key, str(entry[1]), "", msgspec.json.encode(entry[0])) for key, entry in scenario.state.entries.items()
    ]
    return [*history, (str(scenario.state.revision), str(scenario.cloud.rental_count), "", b"")]


def test_disabled_policies_are_not_queried_and_neutral_ones_change_nothing(
    register_policy: RegisterPolicy, monkeypatch: pytest.MonkeyPatch
) -> None:
    register_policy(NeutralPolicy)
    queries: list[str] = []
    query = PolicyEngine._query

    def record_query(policy_engine: PolicyEngine, policy: Policy, *args: Any) -> Any:
        queries.append(policy.subject)
        return query(policy_engine, policy, *args)

    monkeypatch.setattr(PolicyEngine, "_query", record_query)
    expected = run_history(SCENARIO_TEXT.format(policies=""))
    assert not queries
    assert run_history(SCENARIO_TEXT.format(policies="neutral")) == expected
    assert len(queries) > 1000
    assert not [name for name, *_ in expected if name.startswith(rec.POLICIES)]


def test_a_failing_policy_stops_neither_jobs_nor_controllers(register_policy: RegisterPolicy) -> None:
    class FailingPolicy(NeutralPolicy):
        subject = "broken"

        def hold(self, job: Job, wall_now: datetime) -> Hold | None:
            raise KeyError("no such tariff")

        def capacity_reservations(self, wall_now: datetime) -> list[CapacityReservation]:
            return None  # type: ignore[return-value]

        def filter(self, job: Job | None, machine: MachineAttributes, wall_now: datetime) -> str | None:
            raise ZeroDivisionError

        def update_record(self, name: str, value: bytes | None) -> None:
            raise ValueError("not a record of ours")

    register_policy(FailingPolicy)
    scenario = Scenario(SCENARIO_TEXT.format(policies="broken"), 3).run()
    assert scenario.oracle.violations == []
    assert scenario.oracle.reported_state["wk-1"] == "done"
    engines = [each.core.context.policy_engine for each in scenario.controllers if each.core is not None]
    policy_engine = max(
        (each for each in engines if each is not None), key=lambda each: each.suspension_counts["broken"]
    )
    assert policy_engine.suspension_counts["broken"] > 50
    before = policy_engine.suspension_counts["broken"]
    policy_engine.update_record("broken", "x", b"?")
    assert policy_engine.suspension_counts["broken"] == before + 1


def test_a_slow_policy_is_suspended_for_the_rest_of_the_round() -> None:
    clock_s = [0.0]

    class SlowPolicy(Policy):
        subject = "slow"

        def filter(self, job: Job | None, machine: MachineAttributes, wall_now: datetime) -> str | None:
            clock_s[0] += 0.004
            return "never"

    policy_engine = PolicyEngine([SlowPolicy()], timer=lambda: clock_s[0], round_budget=timedelta(milliseconds=10))
    policy_engine.begin_round(wall_time_at(0))
    reasons = [policy_engine.exclusion_reason(f"m-{number}", POOL) for number in range(6)]
    assert reasons == ["slow: never"] * 3 + [None] * 3
    assert policy_engine.query_counts["slow"] == 3 and policy_engine.suspension_counts["slow"] == 1
    policy_engine.begin_round(wall_time_at(1))
    assert policy_engine.exclusion_reason("m-5", POOL) == "slow: never"


def test_results_of_several_policies_are_combined() -> None:
    class FirstPolicy(NeutralPolicy):
        subject = "one"
        until_s, cpus, deadline_s, barred_machine = 10.0, 8.0, 50.0, "m-1"

        def hold(self, job: Job, wall_now: datetime) -> Hold | None:
            return Hold(wall_time_at(self.until_s), self.subject)

        def capacity_reservations(self, wall_now: datetime) -> list[CapacityReservation]:
            return [
                CapacityReservation(self.cpus, wall_time_at(5), "g16"),
                CapacityReservation(1.0, wall_time_at(5), "", self.subject),
            ]

        def drain(self, machine: MachineAttributes, wall_now: datetime) -> Drain | None:
            return Drain(wall_time_at(self.deadline_s), timedelta(), "disks")

        def filter(self, job: Job | None, machine: MachineAttributes, wall_now: datetime) -> str | None:
            return "barred" if machine.name == self.barred_machine else None

    class SecondPolicy(FirstPolicy):
        subject = "other"
        until_s, cpus, deadline_s, barred_machine = 20.0, 4.0, 40.0, "m-2"

    job = Job(rec.JobRecord(SPEC, 0), 1, 10)
    policy_engine = PolicyEngine([FirstPolicy(), SecondPolicy()])
    policy_engine.begin_round(wall_time_at(0))
    assert (policy_engine.hold_reason(job) or "").startswith("other: other; at the latest")
    assert {(each.type, each.zone): each.cpus for each in policy_engine.capacity_reservations()} == {
        ("g16", ""): 8.0, ("", "one"): 1.0, ("", "other"): 1.0
    }  # fmt: skip
    drain = policy_engine.drain("m-3", POOL)
    assert drain is not None and drain.deadline == wall_time_at(40) and drain.reason == "other: disks"
    assert [policy_engine.rejection_reason(job, name, POOL) for name in ("m-1", "m-2", "m-3")] == [
        "one: barred",
        "other: barred",
        None,
    ]
    policy_engine.begin_round(wall_time_at(30))
    assert policy_engine.hold_reason(job) is None  # both holds have ended


def test_a_held_job_starts_when_the_hold_ends_and_its_user_gets_the_reason(register_policy: RegisterPolicy) -> None:
    class HoldPolicy(Policy):
        subject = "held"

        def hold(self, job: Job, wall_now: datetime) -> Hold | None:
            return Hold(wall_time_at(60), "power is expensive") if job.id == "wk-1" else None

    register_policy(HoldPolicy)
    scenario = Scenario(SCENARIO_TEXT.format(policies="held").replace("run 150", "run 50"), 3).run()
    assert not [start for start in scenario.oracle.starts if start[1][0] == "wk-1"]
    assert scenario.users["wk-1"].last_reason.startswith(
        "held: power is expensive; at the latest 2026-01-01 00:17:40 UTC"
    )
    assert len(scenario.cloud.machines) <= 2  # no machine is rented for tasks that must not start
    scenario.sim.run_until(seconds(150))
    assert [start[0] for start in scenario.oracle.starts if start[1][0] == "wk-1"][0] >= 60
    assert scenario.oracle.reported_state["wk-1"] == "done" and scenario.oracle.violations == []


def test_reserved_capacity_is_rented_in_time_and_returned_to_the_cloud_afterwards(
    register_policy: RegisterPolicy,
) -> None:
    class ReservationPolicy(Policy):
        subject = "reservation"

        def capacity_reservations(self, wall_now: datetime) -> list[CapacityReservation]:
            return [CapacityReservation(40.0, wall_time_at(100), "", "b")] if wall_now < wall_time_at(140) else []

    register_policy(ReservationPolicy)
    scenario = Scenario(
        "set policies=reservation\nteam t cpus=16 max=64\ntype g16 cpus=16 memory=64 boot=15\nrun 60", 3
    )
    scenario.run()
    assert scenario.cloud.rental_count == 0
    scenario.sim.run_until(seconds(100))
    zones = [worker.zone for worker in scenario.cloud.machines.values() if worker.up]
    assert zones == ["b"] * 3
    scenario.sim.run_until(seconds(138))
    assert len(scenario.cloud.machines) == 3
    scenario.sim.run_until(seconds(180))
    assert len(scenario.cloud.machines) == 0


def test_a_drained_machine_is_empty_at_its_deadline(register_policy: RegisterPolicy) -> None:
    class DrainPolicy(Policy):
        subject = "disks"

        def drain(self, machine: MachineAttributes, wall_now: datetime) -> Drain | None:
            draining = machine.name == "m-000001" and wall_now >= wall_time_at(30)
            return Drain(wall_time_at(90), timedelta(seconds=20), "new disks") if draining else None

    register_policy(DrainPolicy)
    scenario = Scenario(
        """
set policies=disks
team t cpus=64 max=64
type g16 cpus=16 memory=64 boot=15 count=0 spot=0
up g16 count=2
at 5 submit wk-1 team=t kind=service tasks=2 cpus=4 memory=1 spread=yes zone=a
at 6 submit wk-2 team=t tasks=2 cpus=6 memory=1 run=200 checkpoint=5 save=4
at 32 submit wk-3 team=t tasks=2 cpus=2 memory=1 run=20
run 90
""",
        3,
    ).run()
    remaining = {key for key, machines in scenario.oracle.running_on.items() if "m-000001" in machines}
    assert remaining == set()
    assert scenario.oracle.violations == []
    # While the machine drains, only tasks that finish before the deadline may start on it.
    assert scenario.oracle.reported_state["wk-3"] == "done"
    late_starts = [start for start in scenario.oracle.starts if start[2] == "m-000001" and start[0] > 32]
    assert {start[1][0] for start in late_starts} <= {"wk-3"}


def test_a_score_only_breaks_ties(register_policy: RegisterPolicy) -> None:
    # The machine with the lowest score is preferred.
    class ScorePolicy(Policy):
        subject = "score"

        def score(self, job: Job, machine: MachineAttributes, wall_now: datetime) -> float:
            return -float(machine.name[-1])

    register_policy(ScorePolicy)
    text = (
        "nodes 1\nset policies={}\nteam t cpus=64 max=64\ntype g16 cpus=16 memory=64\nup g16 count=3\n"
        "at 5 submit wk-1 team=t tasks=1 cpus=4 memory=1 run=30\nrun 15"
    )
    starts = [Scenario(text.format(names), 3).run().oracle.starts for names in ("", "score")]
    assert [start[0][2] for start in starts] == ["m-000001", "m-000003"]
    for placer in (HighPriorityPlacer, LowPriorityPlacer):
        fullest, high_score, low_score = (
            make_candidate("m-1", make_task(1, 4, 2)),
            make_candidate("m-2"),
            make_candidate("m-3"),
        )
        fullest.policy_score, high_score.policy_score, low_score.policy_score = 9.0, 5.0, 1.0
        if placer is HighPriorityPlacer:
            fullest.high_priority_cpus = 4.0
        ranked = [
            each.machine_id for each in Ranking(make_request(2), [high_score, low_score, fullest], placer.sort_key)
        ]
        assert ranked == ["m-1", "m-3", "m-2"]


# Cordons --------------------------------------------------------------------------------------------------------


def make_harness() -> CoreHarness:
    harness = CoreHarness(OperatorSettings(policies="cordon"))
    # So that neither the lease expires nor the state service counts as down.
    harness.core.membership._last_renewal_at = clock_at(100_000).monotonic
    harness.core.context.state_served_at = clock_at(100).monotonic
    return harness


def send_command(harness: CoreHarness, request_id: int, request: CordonRequest) -> list[object]:
    harness.now_s += 0.6
    return list(
        harness.core.step(
            clock_at(harness.now_s),
            [IncomingRequest(request_id, RequestKind.CHANGE_CORDON, msgspec.json.encode(request))],
        )
    )


def cordon_commits(effects: list[object]) -> list[OutgoingCall]:
    return [each for each in effects if isinstance(each, OutgoingCall) and b"g/q/cordon" in (each.body or b"")]


def test_a_cordon_command_is_answered_after_its_commit_and_read_back_if_the_outcome_is_unknown() -> None:
    harness = make_harness()
    effects = send_command(harness, 5, CordonRequest(CordonScope.ZONE, "a", "disks"))
    (commit,) = cordon_commits(effects)
    assert b'"g/epoch"' in (commit.body or b"")
    assert not [each for each in effects if isinstance(each, Reply)]
    # Status 0: no response, so the outcome is unknown.
    effects = list(harness.core.step(clock_at(harness.now_s + 0.1), [CallResult(commit.call_id, 0)]))
    reads = [
        each for each in effects if isinstance(each, OutgoingCall) and each.method == "GET" and "cordon" in each.path
    ]
    assert len(reads) == 1 and not [each for each in effects if isinstance(each, Reply)]
    # The commit was not executed, so it is sent again.
    effects = list(
        harness.core.step(
            clock_at(harness.now_s + 0.2), [CallResult(reads[0].call_id, 404, wire.encode(wire.KeyNotFound(99)))]
        )
    )
    harness.now_s += 0.5
    effects += harness.core.step(clock_at(harness.now_s), [])
    (commit,) = cordon_commits(effects)
    effects = list(
        harness.core.step(
            clock_at(harness.now_s + 0.1), [CallResult(commit.call_id, 200, wire.encode(wire.TxnReply(100)))]
        )
    )
    assert [each.status for each in effects if isinstance(each, Reply)] == [200]
    policy_engine = harness.core.context.policy_engine
    assert (
        policy_engine is not None
        and (policy_engine.exclusion_reason("m-7", ("x", "a", True)) or "")
        == "cordon: zone a takes nothing new (disks)"
    )


def test_commands_that_cannot_be_executed_are_rejected_at_once() -> None:
    def statuses(harness: CoreHarness, body: bytes, kind: RequestKind = RequestKind.CHANGE_CORDON) -> list[int]:
        harness.now_s += 0.6
        effects = harness.core.step(clock_at(harness.now_s), [IncomingRequest(9, kind, body)])
        return [each.status for each in effects if isinstance(each, Reply)]

    valid = msgspec.json.encode(CordonRequest(CordonScope.TYPE, "g"))
    harness = make_harness()
    assert statuses(harness, b'{"scope": "rack", "name": "x"}') == [400]
    # An unknown field, and an expiry in the past.
    assert statuses(harness, b'{"scope": "zone", "name": "a", "untill_s": 5}') == [400]
    assert statuses(harness, msgspec.json.encode(CordonRequest(CordonScope.ZONE, "a", until_s=5))) == [422]
    assert statuses(harness, msgspec.json.encode(CordonRequest(CordonScope.ZONE, "a", lift=True))) == [404]
    harness.core.membership.active_until = clock_at(0).monotonic
    assert statuses(harness, valid) == [503]
    assert statuses(CoreHarness(), valid) == [404] and statuses(CoreHarness(), b"", RequestKind.LIST_CORDONS) == [404]


def test_an_overload_delays_a_cordon_command_but_does_not_starve_it() -> None:
    harness = make_harness()
    context = harness.core.context
    writes = harness.core.state_writer.policy_writes
    send_command(harness, 5, CordonRequest(CordonScope.ZONE, "a"))
    (write,) = writes.values()
    txn = TransactionBuilder(context.cluster_state, 1, 52_000)
    # As in an overload: only records that have been pending for 3 s are added, at most one per transaction.
    harness.core.state_writer._compose_policies(txn, timedelta(seconds=3), 1)
    assert not txn.writes
    context.now = write.enqueued_at + timedelta(seconds=3)
    harness.core.state_writer._compose_policies(txn, timedelta(seconds=3), 1)
    assert list(txn.writes) == list(writes)


def test_cordons_are_listed_with_machine_counts_and_removed_by_a_reset() -> None:
    harness = make_harness()
    for name, scope in (("a", CordonScope.ZONE), ("nowhere", CordonScope.ZONE), ("m-1", CordonScope.MACHINE)):
        key = rec.policy_key("cordon", policies.cordon.record_name(scope, name))
        harness.put_record(key, policies.cordon.CordonRecord(scope, name, "disks", "ana", 5))
    harness.put_record("g/q/cordon/zone.00", policies.cordon.CordonRecord(CordonScope.ZONE, "b", until_s=6))  # expired
    harness.put_record("g/q/tariff/x", {"of": "a policy that is not switched on"})
    harness.now_s += 1
    (reply,) = (
        each
        for each in harness.core.step(clock_at(harness.now_s), [IncomingRequest(9, RequestKind.LIST_CORDONS)])
        if isinstance(each, Reply)
    )
    listed = wire.decode(operators.CordonList, reply.body).cordons
    assert [(each.name, each.machines) for each in listed] == [("m-1", 1), ("a", 1), ("nowhere", 0)]
    # Resetting the cluster state removes all cordons.
    harness.core.context.cluster_state.reset()
    policy_engine = harness.core.context.policy_engine
    assert policy_engine is not None and policy_engine.exclusion_reason("m-1", ("g", "a", False)) is None


def test_lifted_and_expired_cordons_are_deleted_only_after_their_retention() -> None:
    harness = make_harness()
    now_s = int(clock_at(harness.now_s).wall.timestamp())
    retention_s = int(rec.TOMBSTONE_RETENTION.total_seconds())
    ended = {
        "kept": policies.cordon.CordonRecord(CordonScope.ZONE, "kept", since_s=now_s - 60, until_s=1),
        "lifted": policies.cordon.CordonRecord(CordonScope.ZONE, "lifted", since_s=now_s - retention_s - 60, until_s=1),
        "expired": policies.cordon.CordonRecord(CordonScope.ZONE, "expired", until_s=now_s - retention_s - 60),
        "just expired": policies.cordon.CordonRecord(CordonScope.ZONE, "just expired", until_s=now_s - 60),
    }
    keys = {name: rec.policy_key("cordon", policies.cordon.record_name(CordonScope.ZONE, name)) for name in ended}
    for name, record in ended.items():
        harness.put_record(keys[name], record)
    send_command(harness, 5, CordonRequest(CordonScope.ZONE, "a"))
    deleted = {key for key, write in harness.core.state_writer.policy_writes.items() if write.value is None}
    assert deleted == {keys["lifted"], keys["expired"]}


def test_unknown_policies_are_rejected_with_file_and_key(tmp_path: Path) -> None:
    path = tmp_path / "operators.properties"
    path.write_text("policies=cordon, tarif\n")
    with pytest.raises(SettingsError, match=r"operators.properties: policies: unknown policy 'tarif'"):
        load_operator(path)
    path.write_text("policies = cordon\n")
    assert load_operator(path).policy_names() == ["cordon"]
