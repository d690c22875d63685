"""What the seam lets policies say, and that nothing they say, or fail to say, ends a controller or breaks a rule."""

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
from gladecroft.policies.interface import CapacityDemand, Drain, Hold, MachineAttributes, Policy
from gladecroft.protocol import operators, wire
from gladecroft.protocol.operators import CordonRequest, CordonScope
from gladecroft.protocol.settings import OperatorSettings, SettingsError, load_operator
from test_epochs import clock_at
from test_fencing import SPEC, CoreHarness
from test_placement import make_candidate, make_request, make_task

#: The instant of a scenario's beginning, by the wall.
ZERO = WALL_CLOCK_START + seconds(1000)
DAY = """
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
SORT = ("g16", "a", False)
Switch = Callable[[type[Policy]], type[Policy]]


def at(offset: float) -> datetime:
    return ZERO + seconds(offset)


@pytest.fixture
def switch(monkeypatch: pytest.MonkeyPatch) -> Switch:
    """Makes a policy's class known under its subject."""

    def known(kind: type[Policy]) -> type[Policy]:
        monkeypatch.setitem(policies.KNOWN, kind.subject, kind)
        return kind

    return known


class Silent(Policy):
    """Asked everything, it says nothing."""

    subject = "silent"
    by_job = True

    def hold(self, job: Job, now: datetime) -> Hold | None:
        return None

    def filter(self, job: Job | None, place: MachineAttributes, now: datetime) -> str | None:
        return None

    def score(self, job: Job, place: MachineAttributes, now: datetime) -> float:
        return 0.0

    def demand(self, now: datetime) -> list[CapacityDemand]:
        return []

    def drain(self, place: MachineAttributes, now: datetime) -> Drain | None:
        return None


def calls_of(text: str) -> list[tuple[str, str, str, bytes]]:
    scenario = Scenario(text, 3)
    calls: list[tuple[str, str, str, bytes]] = []
    scenario.run()
    assert scenario.oracle.violations == []
    calls += [(str(at), str(key), machine, b"") for at, key, machine, _ in scenario.oracle.starts]
    calls += [(key, str(entry[1]), "", msgspec.json.encode(entry[0])) for key, entry in scenario.state.entries.items()]
    return [*calls, (str(scenario.state.revision), str(scenario.cloud.rental_count), "", b"")]


def test_without_policies_nobody_is_asked_and_with_silent_ones_all_goes_as_without(
    switch: Switch, monkeypatch: pytest.MonkeyPatch
) -> None:
    switch(Silent)
    asked: list[str] = []
    question = PolicyEngine._ask

    def counted(policy_engine: PolicyEngine, policy: Policy, *rest: Any) -> Any:
        asked.append(policy.subject)
        return question(policy_engine, policy, *rest)

    monkeypatch.setattr(PolicyEngine, "_ask", counted)
    without = calls_of(DAY.format(policies=""))
    assert not asked
    assert calls_of(DAY.format(policies="silent")) == without
    assert len(asked) > 1000
    assert not [name for name, *_ in without if name.startswith(rec.POLICIES)]


def test_a_policy_that_fails_at_everything_ends_nothing(switch: Switch) -> None:
    class Broken(Silent):
        subject = "broken"

        def hold(self, job: Job, now: datetime) -> Hold | None:
            raise KeyError("no such tariff")

        def demand(self, now: datetime) -> list[CapacityDemand]:
            return None  # type: ignore[return-value]

        def filter(self, job: Job | None, place: MachineAttributes, now: datetime) -> str | None:
            raise ZeroDivisionError

        def take(self, name: str, value: bytes | None) -> None:
            raise ValueError("not a record of ours")

    switch(Broken)
    scenario = Scenario(DAY.format(policies="broken"), 3).run()
    assert scenario.oracle.violations == []
    assert scenario.oracle.reported_state["wk-1"] == "done"
    panels = [each.core.context.policy_engine for each in scenario.controllers if each.core is not None]
    policy_engine = max(
        (each for each in panels if each is not None), key=lambda each: each.suspension_counts["broken"]
    )
    assert policy_engine.suspension_counts["broken"] > 50
    before = policy_engine.suspension_counts["broken"]
    policy_engine.update_record("broken", "x", b"?")
    assert policy_engine.suspension_counts["broken"] == before + 1


def test_a_policy_that_takes_too_long_is_not_heard_for_the_rest_of_the_round() -> None:
    at_s = [0.0]

    class Slow(Policy):
        subject = "slow"

        def filter(self, job: Job | None, place: MachineAttributes, now: datetime) -> str | None:
            at_s[0] += 0.004
            return "never"

    policy_engine = PolicyEngine([Slow()], watch=lambda: at_s[0], round_time=timedelta(milliseconds=10))
    policy_engine.begin_round(at(0))
    said = [policy_engine.exclusion_reason(f"m-{number}", SORT) for number in range(6)]
    assert said == ["slow: never"] * 3 + [None] * 3
    assert policy_engine.query_counts["slow"] == 3 and policy_engine.suspension_counts["slow"] == 1
    policy_engine.begin_round(at(1))
    assert policy_engine.exclusion_reason("m-5", SORT) == "slow: never"


def test_what_several_say_is_combined() -> None:
    class One(Silent):
        subject = "one"
        until, cpus, by, barred = 10.0, 8.0, 50.0, "m-1"

        def hold(self, job: Job, now: datetime) -> Hold | None:
            return Hold(at(self.until), self.subject)

        def demand(self, now: datetime) -> list[CapacityDemand]:
            return [CapacityDemand(self.cpus, at(5), "g16"), CapacityDemand(1.0, at(5), "", self.subject)]

        def drain(self, place: MachineAttributes, now: datetime) -> Drain | None:
            return Drain(at(self.by), timedelta(), "disks")

        def filter(self, job: Job | None, place: MachineAttributes, now: datetime) -> str | None:
            return "barred" if place.name == self.barred else None

    class Other(One):
        subject = "other"
        until, cpus, by, barred = 20.0, 4.0, 40.0, "m-2"

    job = Job(rec.JobRecord(SPEC, 0), 1, 10)
    policy_engine = PolicyEngine([One(), Other()])
    policy_engine.begin_round(at(0))
    assert (policy_engine.hold_reason(job) or "").startswith("other: other; at the latest")
    assert {(each.type, each.zone): each.cpus for each in policy_engine.capacity_demands()} == {
        ("g16", ""): 8.0, ("", "one"): 1.0, ("", "other"): 1.0
    }  # fmt: skip
    drain = policy_engine.drain("m-3", SORT)
    assert drain is not None and drain.deadline == at(40) and drain.reason == "other: disks"
    assert [policy_engine.rejection_reason(job, name, SORT) for name in ("m-1", "m-2", "m-3")] == [
        "one: barred",
        "other: barred",
        None,
    ]
    policy_engine.begin_round(at(30))
    assert policy_engine.hold_reason(job) is None  # a hold that is over holds nobody


def test_a_held_job_starts_when_the_hold_ends_and_its_user_is_told_why(switch: Switch) -> None:
    class Held(Policy):
        subject = "held"

        def hold(self, job: Job, now: datetime) -> Hold | None:
            return Hold(at(60), "power is dear") if job.id == "wk-1" else None

    switch(Held)
    scenario = Scenario(DAY.format(policies="held").replace("run 150", "run 50"), 3).run()
    assert not [start for start in scenario.oracle.starts if start[1][0] == "wk-1"]
    assert scenario.users["wk-1"].last_reason.startswith("held: power is dear; at the latest 2026-01-01 00:17:40 UTC")
    assert len(scenario.cloud.machines) <= 2  # nothing is rented for what may not start
    scenario.sim.run_until(seconds(150))
    assert [start[0] for start in scenario.oracle.starts if start[1][0] == "wk-1"][0] >= 60
    assert scenario.oracle.reported_state["wk-1"] == "done" and scenario.oracle.violations == []


def test_room_that_is_demanded_is_there_in_time_and_goes_when_it_is_not_wanted(switch: Switch) -> None:
    class Market(Policy):
        subject = "opening"

        def demand(self, now: datetime) -> list[CapacityDemand]:
            return [CapacityDemand(40.0, at(100), "", "b")] if now < at(140) else []

    switch(Market)
    scenario = Scenario("set policies=opening\nteam t cpus=16 max=64\ntype g16 cpus=16 memory=64 boot=15\nrun 60", 3)
    scenario.run()
    assert scenario.cloud.rental_count == 0
    scenario.sim.run_until(seconds(100))
    there = [worker.zone for worker in scenario.cloud.machines.values() if worker.up]
    assert there == ["b"] * 3
    scenario.sim.run_until(seconds(138))
    assert len(scenario.cloud.machines) == 3
    scenario.sim.run_until(seconds(180))
    assert len(scenario.cloud.machines) == 0


def test_a_machine_is_empty_by_the_instant_it_is_to_be_drained(switch: Switch) -> None:
    class Disks(Policy):
        subject = "disks"

        def drain(self, place: MachineAttributes, now: datetime) -> Drain | None:
            soon = place.name == "m-000001" and now >= at(30)
            return Drain(at(90), timedelta(seconds=20), "new disks") if soon else None

    switch(Disks)
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
    there = {key for key, places in scenario.oracle.running_on.items() if "m-000001" in places}
    assert there == set()
    assert scenario.oracle.violations == []
    # What could end in time was let run; services had moved before what was left had to stop.
    assert scenario.oracle.reported_state["wk-3"] == "done"
    late = [start for start in scenario.oracle.starts if start[2] == "m-000001" and start[0] > 32]
    assert {start[1][0] for start in late} <= {"wk-3"}


def test_a_score_decides_only_between_equals(switch: Switch) -> None:
    class Last(Policy):
        subject = "last"

        def score(self, job: Job, place: MachineAttributes, now: datetime) -> float:
            return -float(place.name[-1])

    switch(Last)
    text = (
        "nodes 1\nset policies={}\nteam t cpus=64 max=64\ntype g16 cpus=16 memory=64\nup g16 count=3\n"
        "at 5 submit wk-1 team=t tasks=1 cpus=4 memory=1 run=30\nrun 15"
    )
    starts = [Scenario(text.format(names), 3).run().oracle.starts for names in ("", "last")]
    assert [start[0][2] for start in starts] == ["m-000001", "m-000003"]
    for kind in (HighPriorityPlacer, LowPriorityPlacer):
        fuller, first, second = make_candidate("m-1", make_task(1, 4, 2)), make_candidate("m-2"), make_candidate("m-3")
        fuller.tie_breaker, first.tie_breaker, second.tie_breaker = 9.0, 5.0, 1.0
        if kind is HighPriorityPlacer:
            fuller.high_priority_cpus = 4.0
        order = [each.machine for each in Ranking(make_request(2), [first, second, fuller], kind.sort_key)]
        assert order == ["m-1", "m-3", "m-2"]


# Cordons --------------------------------------------------------------------------------------------------------


def rig() -> CoreHarness:
    made = CoreHarness(OperatorSettings(policies="cordon"))
    made.core.membership._last_renewal_at = clock_at(100_000).monotonic
    made.core.context.state_served_at = clock_at(100).monotonic
    return made


def order(made: CoreHarness, number: int, wanted: CordonRequest) -> list[object]:
    made.now_s += 0.6
    return list(
        made.core.step(
            clock_at(made.now_s), [IncomingRequest(number, RequestKind.CHANGE_CORDON, msgspec.json.encode(wanted))]
        )
    )


def commits(effects: list[object]) -> list[OutgoingCall]:
    return [each for each in effects if isinstance(each, OutgoingCall) and b"g/q/cordon" in (each.body or b"")]


def test_an_order_is_answered_after_its_commit_and_read_back_if_the_outcome_is_not_known() -> None:
    made = rig()
    effects = order(made, 5, CordonRequest(CordonScope.ZONE, "a", "disks"))
    (commit,) = commits(effects)
    assert b'"g/epoch"' in (commit.body or b"")
    assert not [each for each in effects if isinstance(each, Reply)]
    effects = list(made.core.step(clock_at(made.now_s + 0.1), [CallResult(commit.call_id, 0)]))
    reads = [
        each for each in effects if isinstance(each, OutgoingCall) and each.method == "GET" and "cordon" in each.path
    ]
    assert len(reads) == 1 and not [each for each in effects if isinstance(each, Reply)]
    # It was not executed: it is committed anew.
    effects = list(
        made.core.step(
            clock_at(made.now_s + 0.2), [CallResult(reads[0].call_id, 404, wire.encode(wire.KeyNotFound(99)))]
        )
    )
    made.now_s += 0.5
    effects += made.core.step(clock_at(made.now_s), [])
    (commit,) = commits(effects)
    effects = list(
        made.core.step(clock_at(made.now_s + 0.1), [CallResult(commit.call_id, 200, wire.encode(wire.TxnReply(100)))])
    )
    assert [each.status for each in effects if isinstance(each, Reply)] == [200]
    policy_engine = made.core.context.policy_engine
    assert (
        policy_engine is not None
        and (policy_engine.exclusion_reason("m-7", ("x", "a", True)) or "")
        == "cordon: zone a takes nothing new (disks)"
    )


def test_orders_that_can_not_be_taken_are_refused_at_once() -> None:
    def statuses(made: CoreHarness, body: bytes, verb: RequestKind = RequestKind.CHANGE_CORDON) -> list[int]:
        made.now_s += 0.6
        effects = made.core.step(clock_at(made.now_s), [IncomingRequest(9, verb, body)])
        return [each.status for each in effects if isinstance(each, Reply)]

    good = msgspec.json.encode(CordonRequest(CordonScope.TYPE, "g"))
    made = rig()
    assert statuses(made, b'{"scope": "rack", "name": "x"}') == [400]
    assert statuses(made, b'{"scope": "zone", "name": "a", "untill_s": 5}') == [400]
    assert statuses(made, msgspec.json.encode(CordonRequest(CordonScope.ZONE, "a", until_s=5))) == [422]
    assert statuses(made, msgspec.json.encode(CordonRequest(CordonScope.ZONE, "a", lift=True))) == [404]
    made.core.membership.active_until = clock_at(0).monotonic
    assert statuses(made, good) == [503]
    assert statuses(CoreHarness(), good) == [404] and statuses(CoreHarness(), b"", RequestKind.LIST_CORDONS) == [404]


def test_in_an_overload_an_order_waits_but_does_not_starve() -> None:
    made = rig()
    context = made.core.context
    puts = made.core.state_writer.policy_writes
    order(made, 5, CordonRequest(CordonScope.ZONE, "a"))
    (put,) = puts.values()
    txn = TransactionBuilder(context.cluster_state, 1, 52_000)
    made.core.state_writer._compose_policies(txn, timedelta(seconds=3), 1)
    assert not txn.writes
    context.now = put.since + timedelta(seconds=3)
    made.core.state_writer._compose_policies(txn, timedelta(seconds=3), 1)
    assert list(txn.writes) == list(puts)


def test_cordons_are_shown_with_what_they_shut() -> None:
    made = rig()
    for name, scope in (("a", CordonScope.ZONE), ("nowhere", CordonScope.ZONE), ("m-1", CordonScope.MACHINE)):
        key = rec.policy_key("cordon", policies.cordon.record_name(scope, name))
        made.put_record(key, policies.cordon.CordonRecord(scope, name, "disks", "ana", 5))
    made.put_record("g/q/cordon/zone.00", policies.cordon.CordonRecord(CordonScope.ZONE, "b", until_s=6))  # over by now
    made.put_record("g/q/tariff/x", {"of": "a policy that is not switched on"})
    made.now_s += 1
    (reply,) = (
        each
        for each in made.core.step(clock_at(made.now_s), [IncomingRequest(9, RequestKind.LIST_CORDONS)])
        if isinstance(each, Reply)
    )
    shown = wire.decode(operators.CordonList, reply.body).cordons
    assert [(each.name, each.machines) for each in shown] == [("m-1", 1), ("a", 1), ("nowhere", 0)]
    # Read from nothing again, the lifted ones are forgotten.
    made.core.context.cluster_state.reset()
    policy_engine = made.core.context.policy_engine
    assert policy_engine is not None and policy_engine.exclusion_reason("m-1", ("g", "a", False)) is None


def test_unknown_policies_are_refused_with_file_and_key(tmp_path: Path) -> None:
    path = tmp_path / "operators.properties"
    path.write_text("policies=cordon, tarif\n")
    with pytest.raises(SettingsError, match=r"operators.properties: policies: unknown policy 'tarif'"):
        load_operator(path)
    path.write_text("policies = cordon\n")
    assert load_operator(path).policy_names() == ["cordon"]
