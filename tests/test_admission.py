"""Admission control: fair shares, the published record, admission windows, and no starvation under overload.

Terms of the scenarios: ``nodes`` are controllers, ``up`` machines that run from the start, ``memory`` is a controller's
memory limit in MB; ``die`` makes the machine with this number fail, ``outage`` is an outage of the state service; times
(``for``, ``run``) are in seconds. In the overload scenarios, jobs wk-1..., wk-2... and wk-3... belong to the teams a, b
and d.
"""

from __future__ import annotations

import random
from functools import partial
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.workload import GroupUsage
from gladecroft.coordination.admission import AdmissionControl
from gladecroft.coordination.admission.control import _truncate_to_size
from gladecroft.coordination.admission.drf import ResourceDemand, ResourceVector, dominant_share, drf_fractions
from gladecroft.coordination.admission.fair_share import (
    GroupDemand,
    fair_shares,
    guaranteed_demand_exceeds_capacity,
    starved_groups,
)
from gladecroft.coordination.admission.tiers import BOOSTED, DEFERRED, NORMAL, AdmissionTiers
from gladecroft.coordination.admission.window import JobFlow, job_quotas, next_window, retry_delay
from gladecroft.coordination.events import (
    CallResult,
    IncomingRequest,
    OutgoingCall,
    Reply,
    RequestKind,
    WatchResult,
    user_requests_last,
)
from gladecroft.lab.overload import (
    FLEET_SCENARIO,
    build_scenario,
    count_started_tasks,
    submit_backlog,
    submit_small_arrays,
)
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.simulation import ReplyCallback, seconds
from gladecroft.protocol import wire
from gladecroft.protocol.settings import OperatorSettings, Team
from gladecroft.protocol.wire import JobKind
from gladecroft.toolbox.admission import admission as command
from test_epochs import clock_at
from test_fencing import SPEC, CoreHarness
from test_protocol import JOB

RESOURCE_VECTORS = st.tuples(st.floats(0.1, 100), st.floats(0.1, 100))
CAPACITY = st.tuples(st.floats(10, 100), st.floats(10, 100))
DEMANDS = st.lists(RESOURCE_VECTORS, min_size=1, max_size=6).map(
    lambda vectors: {index: ResourceDemand(vector) for index, vector in enumerate(vectors)}
)


def usable_fraction(demand: ResourceVector, allocation: ResourceVector) -> float:
    """Return the fraction of its demand that a group could meet with an allocation."""
    return min(1.0, min(granted / requested for granted, requested in zip(allocation, demand, strict=True)))


@settings(max_examples=200)
@given(DEMANDS, CAPACITY, st.floats(1.0, 20.0), st.integers(0, 5))
def test_drf_has_its_textbook_properties(
    demands: dict[int, ResourceDemand], capacity: ResourceVector, factor: float, chosen: int
) -> None:
    fractions = drf_fractions(demands, capacity)
    allocations = {key: tuple(amount * fractions[key] for amount in demand.amounts) for key, demand in demands.items()}
    used = [sum(allocation[index] for allocation in allocations.values()) for index in range(2)]
    assert all(amount <= available * (1 + 1e-6) for amount, available in zip(used, capacity, strict=True))
    exhausted = {index for index in range(2) if used[index] >= capacity[index] * (1 - 1e-5)}
    for key, demand in demands.items():
        equal_fraction = 1 / len(demands) / dominant_share(demand.amounts, capacity)
        assert fractions[key] >= min(1.0, equal_fraction) - 1e-6, "sharing incentive"
        assert fractions[key] >= 1 - 1e-6 or exhausted, "work conserving"
        for other in demands:
            assert usable_fraction(demand.amounts, allocations[other]) <= fractions[key] + 1e-5, "no envy"
    overstating_key = chosen % len(demands)
    overstated = ResourceDemand(tuple(amount * factor for amount in demands[overstating_key].amounts))
    granted = drf_fractions({**demands, overstating_key: overstated}, capacity)[overstating_key]
    assert min(1.0, granted * factor) <= fractions[overstating_key] + 1e-5, "no gain by overstating"
    larger = drf_fractions(demands, tuple(available * factor for available in capacity))
    assert all(larger[key] >= fractions[key] - 1e-6 for key in demands), "monotone in capacity"


def test_fair_shares_respect_guarantees_and_limits_and_redistribute_unused_capacity() -> None:
    teams = {"a": Team("a", 60.0, 0.0), "b": Team("b", 0.0, 0.0), "c": Team("c", 10.0, 15.0)}
    demands = {
        ("a", "x"): GroupDemand((0.0, 0.0, 0.0), (80.0, 0.0, 0.0)),
        ("b", "x"): GroupDemand((0.0, 0.0, 0.0), (500.0, 0.0, 0.0)),
        ("b", "y"): GroupDemand((0.0, 0.0, 0.0), (5.0, 0.0, 0.0)),
        ("c", "x"): GroupDemand((0.0, 0.0, 0.0), (90.0, 0.0, 0.0)),
    }
    shares = {group: round(share.cpus, 2) for group, share in fair_shares(demands, teams, (100.0, 0.0, 300.0)).items()}
    # Guarantees are granted first, and the rest is divided in proportion to them. Within team b, the small class is
    # granted its whole demand, and is entitled to as much as the large class.
    assert shares == {("a", "x"): 75.0, ("b", "x"): 7.5, ("b", "y"): 7.5, ("c", "x"): 12.5}
    limited = fair_shares(demands, {**teams, "c": Team("c", 10.0, 11.0)}, (100.0, 0.0, 300.0))
    assert round(limited[("c", "x")].cpus, 2) == 11.0
    # With less capacity, the guarantees alone exceed it.
    halved = fair_shares(demands, teams, (35.0, 0.0, 300.0))
    assert round(sum(share.cpus for share in halved.values()), 2) == 35.0
    # A thousand teams with the same demand have equal shares.
    thousand_teams = {(f"t{n}", "x"): GroupDemand((0.0, 0.0, 0.0), (4.0, 0.0, 8.0)) for n in range(1000)}
    equal_shares = fair_shares(thousand_teams, {}, (1000.0, 0.0, 4000.0))
    assert {round(share.cpus, 2) for share in equal_shares.values()} == {1.0}


def test_groups_below_their_floor_are_boosted_and_groups_above_their_share_deferred() -> None:
    harness = CoreHarness()
    spec = msgspec.structs.replace(SPEC, id="wk-2", team="t", gpus=0.0, cpus=2.0, tasks=5, job_class="x")
    harness.put_record("g/j/wk-2", rec.JobRecord(spec, 0))
    harness.put_record(
        "g/p/wk-2/0", rec.ChunkRecord([rec.TaskRecord(rec.TaskState.ACTIVE, 1, "m-1")] * 2 + [rec.TaskRecord()] * 3)
    )
    record = rec.AdmissionRecord(1, "shaping", 0, 10, [rec.GroupShare("t", "x", 6.0, 8.0)])
    tiers = AdmissionTiers(record, harness.core.context.cluster_state.workload.groups)
    assert tiers.tier_of(("t", "x"), False) == BOOSTED and tiers.tier_of(("t", "y"), False) == NORMAL
    tiers.add_tentative_cpus(("t", "x"), 2.0)
    assert tiers.tier_of(("t", "x"), False) == NORMAL
    tiers.add_tentative_cpus(("t", "x"), 2.0)
    assert tiers.tier_of(("t", "x"), False) == DEFERRED and tiers.tier_of(("t", "x"), True) == NORMAL


def run_with_backlog(
    admission: bool, controllers: int = 3, until: float = 300.0, faults: list[tuple[float, str]] | None = None
) -> Scenario:
    """Run an overload: one team submits urgent arrays at three times the capacity of eight machines, and another team
    submits a small array of normal priority every 20 s."""
    scenario = build_scenario(admission, controllers)
    submit_backlog(scenario, 3.0, until)
    assert submit_small_arrays(scenario, until + 10) == 15
    for at, fault in faults or []:
        scenario.sim.call_at(seconds(at), partial(scenario.perform, fault.split()))
    scenario.sim.run_until(seconds(until))
    assert scenario.oracle.violations == []
    return scenario


def test_no_team_starves_under_a_backlog_of_higher_priority() -> None:
    without, with_admission = run_with_backlog(False), run_with_backlog(True)
    submitted = 8 * 15
    # Precondition: with strict priorities, almost no task of the lower priority starts, except overdue ones.
    assert count_started_tasks(without, "2") <= 0.1 * submitted
    assert count_started_tasks(with_admission, "2") >= 0.6 * submitted
    # What one team gains is the other team's excess over its share; no throughput is lost.
    assert count_started_tasks(with_admission, "1") + count_started_tasks(
        with_admission, "2"
    ) >= 0.97 * count_started_tasks(without, "1")
    # The first job of the starved team waits for the target wait of its class (60 s) and then for free capacity.
    first = min(at for at, key, *_ in with_admission.oracle.starts if key[0].startswith("wk-2"))
    assert first <= 10 + 60 + 15


def test_the_record_survives_its_leader_and_a_partitioned_controller() -> None:
    scenario = run_with_backlog(
        True, faults=[(120.0, "crash leader for=8"), (170.0, "cut follower state for=20"), (230.0, "outage for=12")]
    )
    assert count_started_tasks(scenario, "2") >= 0.5 * 8 * 15
    generations = {
        core.context.cluster_state.admission.generation
        for controller in scenario.controllers
        if (core := controller.core) is not None and core.context.cluster_state.admission is not None
    }
    assert len(generations) == 1, "all controllers apply the same generation"


def state_service_calls(admission: str) -> list[tuple[str, str]]:
    """Return the calls to the state service in 90 s with free capacity for all jobs."""
    text = FLEET_SCENARIO.format(on=admission, nodes=3, guarantee=0).replace("count=0", "count=9")
    scenario = Scenario(text, 1).run()
    calls: list[tuple[str, str]] = []
    serve = scenario.state.serve

    def served(node: str, method: str, path: str, body: bytes, reply: ReplyCallback) -> None:
        calls.append((method, path.split("?")[0]))
        serve(node, method, path, body, reply)

    scenario.state.serve = served  # type: ignore[method-assign]
    for number in range(20):
        words = ["submit", f"wk-{number}", f"team={'ab'[number % 2]}", "tasks=6", "cpus=4", "run=8"]
        scenario.sim.call_at(seconds(2 + number * 2.0), partial(scenario.perform, words))
    scenario.sim.run_until(seconds(90))
    assert all(
        controller.core.context.cluster_state.admission is None
        for controller in scenario.controllers
        if controller.core
    )
    return calls


def test_admission_control_makes_no_calls_if_it_is_disabled_or_without_overload() -> None:
    assert state_service_calls("false") == state_service_calls("true")
    harness = CoreHarness(OperatorSettings(admission=False))
    core = harness.core
    assert core.admission is None and core.scheduler.current_tiers is None and core.users.retry_delay is None


def test_a_record_that_is_not_renewed_expires() -> None:
    harness = CoreHarness(OperatorSettings(admission=True))
    admission = harness.core.admission
    assert admission is not None
    now = int(harness.core.context.wall_time.timestamp())
    harness.put_record(
        rec.ADMISSION, rec.AdmissionRecord(3, "shaping", now, now + 30, [rec.GroupShare("t", "c", 4.0, 8.0)])
    )
    assert admission.tiers() is not None
    harness.core.context.wall_time = clock_at(harness.now_s + 31).wall
    assert admission.tiers() is None
    # Resetting the cluster state, which precedes reading all records again, discards the record.
    harness.core.context.cluster_state.reset()
    assert harness.core.context.cluster_state.admission is None


# Admission windows ----------------------------------------------------------------------------------------------------


def test_controllers_with_the_same_generation_decide_alike_on_every_job() -> None:
    rng = random.Random(7)
    cores = [CoreHarness(OperatorSettings(admission=True)).core for _ in range(2)]
    accepted = 0
    for number in range(10_000):
        if number % 100 == 0:
            width, sweep = rng.choice([(1.0, 0.0), (rng.random(), rng.random() / 60)])
            now = int(cores[0].context.wall_time.timestamp())
            share = rec.GroupShare("t", SPEC.job_class, 1.0, 2.0, rng.random(), width, sweep)
            record = rec.AdmissionRecord(number, "shedding", now, now + 30, [share], f"{number:016x}")
            for index, core in enumerate(cores):
                # The controllers differ in the jobs that they know and in the time of their decision.
                core.context.cluster_state.admission = record
                core.context.wall_time = clock_at(cores[0].context.now.total_seconds() + index * 0.9).wall
                groups = core.context.cluster_state.workload.groups
                groups.setdefault(("t", "x"), GroupUsage()).jobs = rng.randrange(5000)
        spec = msgspec.structs.replace(SPEC, id=f"wk-{rng.randrange(10**9):09d}", team="t")
        delays = [core.admission.retry_delay(spec) for core in cores if core.admission is not None]
        assert delays[0] == delays[1]
        assert delays[0] is None or 1 <= delays[0] <= 30
        accepted += delays[0] is None
    assert 1000 < accepted < 9900


def test_users_who_retry_on_time_are_accepted_and_groups_within_their_quota_are_not_rejected() -> None:
    assert next_window(None, JobFlow(10, 10.0, 5.0, 1.0), 5.0) == (0.0, 1.0, 0.0)
    window = rec.GroupShare("t", "c", 0.0, 0.0, 0.3, 0.999, 1 / 60)
    rejected: dict[str, float] = {}
    now_s, accepted = 0.0, 0
    for number in range(400):
        # Arrivals equal completions, so the window covers the whole circle within the minute for which users retry.
        begin, width, sweep = next_window(window, JobFlow(100, 50.0, 1.0, 1.0), 5.0)
        window = rec.GroupShare("t", "c", 0.0, 0.0, begin, width, max(sweep, 1 / 60))
        for job_id, retry_at in list(rejected.items()):
            if retry_at <= now_s:
                delay = retry_delay(window, "salt", job_id)
                if delay is None:
                    del rejected[job_id]
                    accepted += 1
                else:
                    rejected[job_id] = now_s + delay
        delay = retry_delay(window, "salt", f"wk-{number}")
        if delay is not None:
            rejected[f"wk-{number}"] = now_s + delay
        now_s += 5.0
    assert accepted > 200 and len(rejected) <= 14


def test_unfinished_jobs_settle_at_the_quota_whatever_the_arrival_rate() -> None:
    """For ten minutes, ten jobs are submitted and two finish per second; rejected users retry for a minute."""
    rng = random.Random(1)
    unfinished, quota, window = 100, 100.0, None
    retries: list[tuple[float, float, str]] = []
    number, arrived, largest, given_up = 0, 0, 0, 0
    for second in range(600):
        if second % 5 == 0:
            begin, width, sweep = next_window(window, JobFlow(unfinished, quota, arrived / 5, 2.0), 5.0)
            window = rec.GroupShare("t", "c", 0.0, 0.0, begin, width, sweep)
            arrived = 0
        tries = [(float(second), second + 60.0, f"wk-{number + index}") for index in range(10)]
        number += 10
        tries += [retry for retry in retries if retry[0] <= second]
        retries = [retry for retry in retries if retry[0] > second]
        for _, until, job_id in tries:
            assert window is not None
            delay = retry_delay(window, "k", job_id)
            if delay is None:
                unfinished += 1
                arrived += 1
            elif second + delay < until:
                retries.append((second + delay + rng.random(), until, job_id))
            else:
                given_up += 1
        unfinished = max(0, unfinished - 2)
        if second > 120:
            largest = max(largest, unfinished)
    assert largest <= 2.5 * quota, largest
    assert unfinished >= 0.5 * quota, "the quota is used"
    assert given_up > 3000


def test_job_quotas_are_max_min_fair() -> None:
    quotas = job_quotas({("a", "x"): 900, ("a", "y"): 10, ("b", "x"): 30, ("c", "x"): 200}, 300)
    assert quotas == {("a", "x"): 125.0, ("a", "y"): 10.0, ("b", "x"): 30.0, ("c", "x"): 135.0}
    assert job_quotas({("a", "x"): 10, ("b", "x"): 20}, 100) == {("a", "x"): 45.0, ("b", "x"): 55.0}


SHEDDING_SCENARIO = """
nodes 3
memory 6
set machine.consolidate=false
set admission={on}
state rps=400 write_rps=80 txn_ops=24
team a cpus=0 max=0
team b cpus=0 max=0
type g16 cpus=16 memory=64 count=0 spot=0
up g16 count=2
"""


def run_shedding(admission: str) -> Scenario:
    """Run a burst: one team submits five jobs per second for 100 s, of which two per second can run; another team
    submits a job every 4 s."""
    scenario = Scenario(SHEDDING_SCENARIO.format(on=admission), 1).run()
    for number in range(500):
        words = ["submit", f"wk-1{number:04d}", "team=a", "cpus=4", "run=4"]
        scenario.sim.call_at(seconds(5 + number * 0.2), partial(scenario.perform, words))
    for number in range(30):
        words = ["submit", f"wk-2{number:04d}", "team=b", "cpus=4", "run=4"]
        scenario.sim.call_at(seconds(6 + number * 4.0), partial(scenario.perform, words))
    scenario.sim.run_until(seconds(240))
    assert scenario.oracle.violations == []
    return scenario


def test_one_teams_burst_of_submissions_does_not_cause_rejections_for_another_team() -> None:
    def submissions(scenario: Scenario, team: str, *statuses: int) -> list[str]:
        users = [user for job_id, user in scenario.users.items() if job_id.startswith(f"wk-{team}")]
        return [
            user.id
            for user in users
            for _, kind, status, _ in user.responses
            if kind == "submit" and status in statuses
        ]

    without, with_admission = run_shedding("false"), run_shedding("true")
    assert submissions(without, "2", 429), "precondition: one team uses up the limit of unfinished jobs"
    assert submissions(with_admission, "1", 429) and not submissions(with_admission, "2", 429)
    assert all(user.accepted for job_id, user in with_admission.users.items() if job_id.startswith("wk-2"))
    # In total, almost as many jobs are accepted as without admission control.
    accepted = [sum(user.accepted for user in scenario.users.values()) for scenario in (without, with_admission)]
    assert accepted[1] >= 0.8 * accepted[0]


# Combined failures and corner cases -----------------------------------------------------------------------------------


def run_overload(
    commands: list[tuple[float, str]], until: float, guarantee: int = 0, priority: str = "production"
) -> Scenario:
    """Run a backlog of one team's class, by default at production priority, on eight machines.

    ``commands`` are further scenario commands with their times in seconds.
    """
    scenario = build_scenario(True, 3, guarantee)
    submit_backlog(scenario, 3.0, until, priority)
    for at, line in commands:
        scenario.sim.call_at(seconds(at), partial(scenario.perform, line.split()))
    scenario.sim.run_until(seconds(until))
    assert scenario.oracle.violations == []
    return scenario


def test_a_backlog_at_production_priority_leaves_capacity_for_the_arrays_of_other_teams() -> None:
    commands = [
        (20.0 + 10 * number, f"submit wk-{2 + number % 2}{number:04d} team={team} tasks=4 cpus=4 run=8")
        for number, team in enumerate("bd" * 12)
    ]
    scenario = run_overload(commands, 300.0)
    assert count_started_tasks(scenario, "2") >= 0.7 * 48 and count_started_tasks(scenario, "3") >= 0.7 * 48
    # Tasks placed because of a floor are not evicted soon after by groups above their share. Without this protection,
    # when the record contained only shares, these 96 tasks were started 592 times. Before there is a record, they are
    # evicted.
    late_starts = [
        start[1] for start in scenario.oracle.starts if not start[1][0].startswith("wk-1") and start[0] > 100
    ]
    assert len(late_starts) <= 1.15 * len(set(late_starts))


def test_a_guarantee_is_kept_under_a_backlog() -> None:
    scenario = run_overload(
        [(20.0, "submit wk-20000 team=b tasks=400 cpus=4 run=8")], 200.0, guarantee=64, priority="normal"
    )
    # Both teams always demand more than the capacity: team a is guaranteed half of it, and team b gets the other half.
    late_starts = [start for start in scenario.oracle.starts if start[0] > 120]
    of_team_a = len([start for start in late_starts if start[1][0].startswith("wk-1")])
    assert 0.4 <= of_team_a / len(late_starts) <= 0.6, of_team_a / len(late_starts)


def test_a_single_job_of_a_class_has_a_bounded_wait_even_if_it_fills_a_machine_or_needs_one_zone() -> None:
    for number, words in enumerate(
        ["tasks=1 cpus=4 run=8", "tasks=1 cpus=16 run=8", "tasks=3 cpus=8 run=8 one_zone=yes", "tasks=2 cpus=4 gb=2"]
    ):
        scenario = run_overload([(100.0, f"submit wk-2000{number} team=b {words}")], 230.0)
        first = [at for at, key, *_ in scenario.oracle.starts if key[0].startswith("wk-2")]
        # The target wait of the class (60 s at most), the time until evicted tasks have stopped, and a few rounds.
        assert first and first[0] <= 100 + 60 + 25, words


def test_half_of_the_capacity_lost_at_once_together_with_controller_failures() -> None:
    commands = [(20.0 + 10 * number, f"submit wk-2{number:04d} team=b tasks=4 cpus=4 run=8") for number in range(24)]
    commands += [(150.0, f"die {number}") for number in (1, 3, 5, 7)]
    commands += [(150.0, "crash leader for=6"), (190.0, "crash all for=4"), (230.0, "outage for=10")]
    scenario = run_overload(commands, 320.0)
    assert count_started_tasks(scenario, "2") >= 0.5 * 96


def test_the_same_id_submitted_to_five_controllers_at_once_is_accepted_once() -> None:
    scenario = build_scenario(True, 5)
    scenario.sim.run_until(seconds(5))
    words = ["submit", "wk-1", "team=a", "cpus=4", "run=4"]
    for _ in range(8):
        scenario.perform(words)
    scenario.sim.run_until(seconds(30))
    statuses = [status for _, kind, status, _ in scenario.users["wk-1"].responses if kind == "submit"]
    assert sorted(statuses) == [200] * 7 + [201] and len(scenario.oracle.starts) == 1
    assert scenario.oracle.violations == []


def overloaded_leader() -> tuple[CoreHarness, AdmissionControl]:
    """Return a leader whose team t demands more cores than its only machine has."""
    harness = CoreHarness(OperatorSettings(admission=True))
    core = harness.core
    harness.put_record(rec.EPOCH, rec.EpochRecord(2, "n0", {"n0": 7, "n1": 8}, {"m-1": "n0"}))
    harness.revision += 1
    core.context.cluster_state.apply("g/j/wk-1", None, harness.revision)
    spec = msgspec.structs.replace(SPEC, types=None, zone=None, spot=False, cpus=4.0, gpus=0.0, memory_gb=1.0)
    for number, (job_class, tasks) in enumerate([("x", 200), ("y", 50)]):
        job = msgspec.structs.replace(spec, id=f"wk-5{number}", job_class=job_class, tasks=tasks, kind=JobKind.ARRAY)
        harness.put_record(f"g/j/{job.id}", rec.JobRecord(job, int(core.context.wall_time.timestamp() * 1000)))
    core.scheduler.candidate_cache.set_types({"g": wire.MachineType("g", 96, 768, 1, 1, 30, ["a"], 8)})
    core.membership._last_renewal_at = clock_at(100_000).monotonic
    assert core.admission is not None
    return harness, core.admission


def step_and_respond(harness: CoreHarness, status: int, at: float) -> list[Any]:
    """Run a step, respond to each commit with ``status``, and return the admission records that it attempted to write.

    "apply", "write", "drop", "data" and "ledger" are the wire names of a transaction's operations, put, delete, value
    and revision.
    """
    core = harness.core
    core.context.state_served_at = clock_at(at).monotonic
    core.context.state_writes.tokens = core.context.state_writes.burst
    written: list[Any] = []
    for call in [effect for effect in core.step(clock_at(at), []) if isinstance(effect, OutgoingCall)]:
        if call.path == wire.COMMIT_PATH:
            ops = msgspec.json.decode(call.body or b"").get("apply", [])
            written += [op.get("data") for op in ops if rec.ADMISSION in (op.get("write"), op.get("drop"))]
            harness.revision += 1
            body = {"ledger": harness.revision} if status == 200 else {"error": "too many"}
            core.step(clock_at(at), [CallResult(call.call_id, status, msgspec.json.encode(body))])
            core.context.cluster_state.revision = max(
                core.context.cluster_state.revision, harness.revision if status == 200 else 0
            )
    return written


def test_the_record_is_published_after_the_starvation_time_despite_rate_limiting_and_includes_new_classes() -> None:
    harness, admission = overloaded_leader()
    now_s, first_write_s = 200.0, 0.0
    while not first_write_s:
        now_s += 0.5
        if step_and_respond(harness, 429, now_s):
            first_write_s = now_s
        assert now_s < 300
    assert 200 + 60 <= first_write_s <= 200 + 70, "the first write is sent after the starvation time, not earlier"
    # The write is rate-limited (429): there is no record yet, and the write is retried.
    assert admission.active_record() is None
    tries = sum(bool(step_and_respond(harness, 429, now_s + 0.5 * step)) for step in range(1, 41))
    assert 1 <= tries <= 45 and admission.active_record() is None
    now_s += 21
    while admission.active_record() is None:
        now_s += 0.5
        step_and_respond(harness, 200, now_s)
        assert now_s < 320
    previous = admission.active_record()
    assert previous is not None and {group.job_class for group in previous.groups} == {"x", "y"}
    # A class that appears later gets a floor in the next generation.
    spec = msgspec.structs.replace(harness.core.context.cluster_state.jobs["wk-50"].spec, id="wk-60", job_class="z")
    harness.put_record("g/j/wk-60", rec.JobRecord(spec, int(harness.core.context.wall_time.timestamp() * 1000)))
    for step in range(1, 16):
        step_and_respond(harness, 200, now_s + 0.5 * step)
    current = admission.active_record()
    assert current is not None and current.generation > previous.generation
    assert {group.job_class for group in current.groups} == {"x", "y", "z"} and current.salt == previous.salt
    # A new leader keeps enforcing floors while there is a record.
    admission.epoch_changed()
    assert admission._enforcing
    # Without overload, the record is deleted.
    for job_id in list(harness.core.context.cluster_state.jobs):
        harness.revision += 1
        harness.core.context.cluster_state.apply(f"g/j/{job_id}", None, harness.revision)
    for step in range(16, 60):
        step_and_respond(harness, 200, now_s + 0.5 * step)
    assert harness.core.context.cluster_state.admission is None


def test_groups_are_truncated_to_the_value_size() -> None:
    groups = [rec.GroupShare(f"team-{number}", "c", 1.0, 2.0) for number in range(2000)]
    truncated = _truncate_to_size(groups, 16_000)
    assert 100 < len(truncated) < 2000 and truncated == groups[: len(truncated)]
    assert len(msgspec.json.encode(rec.AdmissionRecord(1, "shaping", 1, 2, truncated, "x" * 16))) <= 16_384


def test_an_exception_in_admission_control_does_not_end_the_controller() -> None:
    harness, admission = overloaded_leader()
    admission._fleet_capacity = lambda: (1.0,)  # raises: the number of resources does not match
    for step in range(4):
        step_and_respond(harness, 200, 200.0 + step)
    assert harness.core.context.cluster_state.admission is None


def test_the_window_opens_again_after_the_burst() -> None:
    window: rec.GroupShare | None = None
    for unfinished, arrival_rate in [(200, 10.0)] * 20 + [(100, 1.0)] * 3 + [(60, 1.0)] * 30:
        begin, width, sweep = next_window(window, JobFlow(unfinished, 100.0, arrival_rate, 2.0), 5.0)
        if arrival_rate > 5:
            assert width < 1.0
        window = rec.GroupShare("t", "c", 0.0, 0.0, begin, width, sweep)
    assert window is not None and window.width == 1.0


def test_operators_see_the_record_in_force() -> None:
    harness, admission = overloaded_leader()
    assert admission.show().level == "open" and len(admission.show().groups) == 2
    now = int(harness.core.context.wall_time.timestamp())
    share = rec.GroupShare("t", "x", 8.0, 16.0, 0.0, 0.5, 0.01)
    harness.put_record(rec.ADMISSION, rec.AdmissionRecord(3, "shedding", now, now + 30, [share]))
    shown = admission.show()
    assert (shown.level, shown.generation) == ("shedding", 3)
    assert [(group.job_class, group.waiting, group.floor, group.taken) for group in shown.groups] == [
        ("x", 800.0, 8.0, 0.6), ("y", 200.0, None, 1.0),
    ]  # fmt: skip
    effects = harness.core.step(clock_at(300), [IncomingRequest(1, RequestKind.GET_ADMISSION_STATUS)])
    assert [effect.status for effect in effects if isinstance(effect, Reply)] == [200]
    disabled = CoreHarness(OperatorSettings(admission=False)).core.step(
        clock_at(300), [IncomingRequest(1, RequestKind.GET_ADMISSION_STATUS)]
    )
    assert [effect.status for effect in disabled if isinstance(effect, Reply)] == [404]


def test_bursts_of_submissions_and_polls_do_not_delay_reports_and_cancellations() -> None:
    submissions: list[Any] = [IncomingRequest(number, RequestKind.SUBMIT, b"{}") for number in range(100)]
    polls = [IncomingRequest(number, RequestKind.POLL, b"", "wk-1") for number in range(100, 200)]
    cancel, report, watch_result = (
        IncomingRequest(200, RequestKind.CANCEL, b"", "wk-1"),
        IncomingRequest(201, RequestKind.REPORT),
        WatchResult(failed=True),
    )
    ordered = user_requests_last([*submissions, watch_result, *polls, cancel, report])
    # Messages of controllers and machines keep their order, so that a report that follows an epoch update is evaluated
    # under the new epoch.
    assert ordered[:3] == [watch_result, report, cancel] and ordered[3:] == [*polls, *submissions]
    harness, _ = overloaded_leader()
    effects = harness.core.step(
        clock_at(210), [*submissions, IncomingRequest(300, RequestKind.REPORT, harness.report())]
    )
    assert next(effect.request_id for effect in effects if isinstance(effect, Reply)) == 300
    # Each kind of user request has its own limit of pending requests.
    users = harness.core.users
    harness.core.context.state_served_at = clock_at(220).monotonic
    max_requests = int(10 * harness.core.context.cluster.limits.memory_mb)
    for number in range(max_requests):
        users.pending.by_id[-number - 1] = None  # type: ignore[assignment]
        if len(users.pending.by_id) == int(0.5 * max_requests):
            assert (
                is_rejected(harness, RequestKind.SUBMIT)
                and not is_rejected(harness, RequestKind.POLL)
                and not is_rejected(harness, RequestKind.CANCEL)
            )
        if len(users.pending.by_id) == int(0.8 * max_requests):
            assert is_rejected(harness, RequestKind.POLL) and not is_rejected(harness, RequestKind.CANCEL)


def is_rejected(harness: CoreHarness, kind: RequestKind) -> bool:
    """Return whether a request is rejected immediately because too many are pending."""
    users, context = harness.core.users, harness.core.context
    body = msgspec.json.encode({**JOB, "nameId": "wk-900", "owner": "t"}) if kind is RequestKind.SUBMIT else b""
    users.handle(IncomingRequest(999_999, kind, body, "wk-900"))
    users.pending.by_id.pop(999_999, None)
    replies = [
        effect for effect in context.take_effects() if isinstance(effect, Reply) and effect.request_id == 999_999
    ]
    return any(reply.status == 429 and reply.retry_after_s for reply in replies)


def test_the_command_prints_the_same_as_text_and_as_json(monkeypatch: pytest.MonkeyPatch) -> None:
    harness, admission = overloaded_leader()
    now = int(harness.core.context.wall_time.timestamp())
    share = rec.GroupShare("t", "x", 8.0, 16.0, 0.0, 0.5, 0.01)
    harness.put_record(rec.ADMISSION, rec.AdmissionRecord(3, "shedding", now, now + 30, [share]))
    response = msgspec.json.encode(admission.show())
    monkeypatch.setattr("gladecroft.toolbox.admission.send_request", lambda nodes, method, path, body, wait: response)
    plain = CliRunner().invoke(command, ["show", "--node", "127.0.0.1:1"])
    assert plain.exit_code == 0 and "shedding: floors and shares count" in plain.output
    assert "generation 3, since 2026-01-01" in plain.output
    row = next(line for line in plain.output.splitlines() if line.startswith("t  ") and " x " in line)
    assert row.split() == ["t", "x", "1", "0", "800", "8", "16", "60%"]
    as_json = CliRunner().invoke(command, ["show", "--node", "127.0.0.1:1", "--json"])
    assert msgspec.json.decode(as_json.output) == msgspec.json.decode(response)


def test_guaranteed_demand_above_the_capacity_leaves_each_class_its_floor() -> None:
    group, other = ("t", "x"), ("t", "y")
    groups = {group: GroupUsage(), other: GroupUsage()}
    groups[group].used[0], groups[other].used[0] = 9.0, 1.0
    shares = [rec.GroupShare(*group, 4.0, 8.0), rec.GroupShare(*other, 4.0, 8.0)]
    for guaranteed_demand_exceeds, teams_over_guarantee, guarantee_applies in (
        (False, {"t"}, True),
        (True, set(), True),
        (True, {"t"}, False),
    ):
        tiers = AdmissionTiers(
            rec.AdmissionRecord(1, "shaping", 0, 10, shares, "", guaranteed_demand_exceeds),
            groups,
            teams_over_guarantee,
        )
        assert tiers.guarantee_applies(group, True) is guarantee_applies and not tiers.guarantee_applies(group, False)
        tier = tiers.tier_of(group, True)
        assert tier == (NORMAL if guarantee_applies else DEFERRED)
        assert (other in tiers.protected_groups(group, True, tier)) is not guarantee_applies
        assert tiers.tier_of(other, True) == BOOSTED
    demands = {
        group: GroupDemand((9.0, 0.0, 0.0), (9.0, 0.0, 0.0)),
        other: GroupDemand((1.0, 0.0, 0.0), (0.0, 0.0, 0.0)),
    }
    assert guaranteed_demand_exceeds_capacity(demands, {"t": Team("t", 18.0, 0.0)}, (17.0, 0.0, 0.0))
    assert not guaranteed_demand_exceeds_capacity(demands, {"t": Team("t", 18.0, 0.0)}, (18.0, 0.0, 0.0))


def test_a_class_that_is_held_back_by_its_teams_limit_is_not_starved() -> None:
    teams = {"t": Team("t", 20.0, 32.0), "u": Team("u", 20.0, 0.0)}
    demands = {
        ("t", "services"): GroupDemand((30.0, 0.0, 0.0), (0.0, 0.0, 0.0)),
        ("t", "arrays"): GroupDemand((0.0, 0.0, 0.0), (80.0, 0.0, 0.0)),
        ("u", "arrays"): GroupDemand((40.0, 0.0, 0.0), (200.0, 0.0, 0.0)),
    }
    capacity = (100.0, 0.0, 400.0)
    shares = fair_shares(demands, teams, capacity)
    assert shares["t", "arrays"].floor_cpus > 0
    assert starved_groups(demands, shares, capacity, teams) == []
    # If the team has not reached its limit, the class waits because of other teams, so it is starved.
    demands["t", "services"] = GroupDemand((10.0, 0.0, 0.0), (0.0, 0.0, 0.0))
    assert starved_groups(demands, fair_shares(demands, teams, capacity), capacity, teams) == [("t", "arrays")]
