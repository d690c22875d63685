"""Combinations of failures that the operators asked to test, simulated in randomized scenarios.

For each combination, one test disables the guard against it and checks that a rule is then violated or an expectation
is not met. The last test simulates no scenario, but checks the steps of a single controller.

``tests/scenarios/README`` describes the commands; times are in seconds. ``nodes`` is the number of controllers, and
``close-looks`` sends concurrent polls to all of them and repeats the submission. ``cancel-at-end`` cancels jobs at the
moment of their completion; ``times`` submits that many jobs. ``refuse`` makes the state service reject one controller's
requests, ``freeze`` suspends a controller, and ``slow-links`` delays messages. ``die`` stops a machine for good,
``hang`` suspends one, ``notice`` announces its reclaim, and ``busiest`` selects the one with the most tasks. The
expectation ``silence`` limits the longest time without a response about a job. The rules that a test expects to be
violated: ``went_back`` (a reported state regressed), ``ran_cancelled`` (a task of a cancelled job runs),
``wrong_place`` (a placement violates the job's constraints), ``ran_twice`` (two attempts of a task run at the same
time).
"""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from gladecroft.bookkeeping import records as rec
from gladecroft.bookkeeping.cluster_state import ClusterState
from gladecroft.bookkeeping.job import Job
from gladecroft.bookkeeping.records import TaskState
from gladecroft.bookkeeping.transaction import TransactionBuilder
from gladecroft.coordination.consent import PeerConsent
from gladecroft.coordination.membership import Membership
from gladecroft.coordination.scheduling import gang_scheduler, scheduler
from gladecroft.coordination.scheduling.ordering import JobOrdering
from gladecroft.coordination.state_writer import LOST_NOTE_PREFIX, Outcome
from gladecroft.coordination.state_writer.completion import CompletionComposer
from gladecroft.lab.scenario import Scenario
from gladecroft.protocol import peers, wire
from test_fencing import CoreHarness

FLEET = """
set machine.consolidate=false
team t cpus=60 max=300
team u cpus=0 max=0
type g16 cpus=16 memory=64 boot=8 count=12
up g16 count=4
up g16 zone=b count=4
"""


def find_failures(text: str, seed: int) -> list[str]:
    scenario = Scenario(text, seed).run()
    return scenario.oracle.violations + scenario.unmet_expectations


def any_run_fails(prefix: str, scenario_text: Callable[[int], str], seeds: range) -> bool:
    return any(text.startswith(prefix) for seed in seeds for text in find_failures(scenario_text(seed), seed))


# A cancellation, a poll or a repeated submission (``close-looks``) coincides with the exit of a job's last task.


def cancel_at_the_end_scenario(seed: int) -> str:
    rng = random.Random(seed)
    lines = [FLEET, "nodes 3", "at 1 close-looks for=60", "at 1 cancel-at-end share=0.6 for=60"]
    for number in range(6):
        lines.append(
            f"at {rng.uniform(2, 30):.1f} submit wk-{number} team={rng.choice('tu')}"
            f" tasks={rng.choice([1, 1, 2, 3])} cpus=1 run={rng.choice([2, 5])} times=8"
        )
    return "\n".join([*lines, "run 75"])


@pytest.mark.parametrize("seed", range(6))
def test_a_cancellation_at_the_end_of_the_last_task(seed: int) -> None:
    scenario = Scenario(cancel_at_the_end_scenario(seed), seed).run()
    assert scenario.oracle.violations == [], cancel_at_the_end_scenario(seed)
    states = [state for state, _ in scenario.oracle.final_state.values()]
    # Either outcome is correct, but each job must have exactly one. "aborted" is the protocol's word for cancelled.
    assert states.count("done") + states.count("aborted") == 48 and states.count("aborted") > 5


def test_a_final_state_written_without_the_condition_on_the_jobs_record_is_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    compose_final_record = CompletionComposer._compose_final_record

    def unconditional(self: CompletionComposer, txn: TransactionBuilder, job: Job, count: int) -> None:
        compose_final_record(self, txn, job, count)
        txn.conditions.pop(rec.job_key(job.id), None)

    monkeypatch.setattr(CompletionComposer, "_compose_final_record", unconditional)
    assert any_run_fails("went_back", cancel_at_the_end_scenario, range(6))


# Jobs are cancelled at the moment at which the state service begins to reject requests, but only the leader's. One
# second later the service becomes unavailable for longer than the setting ``cancel_s``.


def cancel_at_the_refusal_scenario(seed: int) -> str:
    rng = random.Random(seed)
    lines = [FLEET, f"nodes {rng.choice([2, 3, 5])}"]
    for number in range(8):
        kind = rng.choice(["kind=service spread=yes", "run=300", "run=300 checkpoint=5 save=2", "kind=group run=300"])
        lines.append(f"at 2 submit wk-{number} team=t tasks={rng.choice([1, 3, 6])} cpus=1 {kind}")
    at = rng.uniform(25, 30)
    lines.append(f"at {at:.2f} refuse leader for={rng.choice([0.9, 5, 60])}")
    for number in rng.sample(range(8), 4):
        lines.append(f"at {at + rng.uniform(-0.02, 0.05):.3f} cancel wk-{number}")
    lines.append(f"at {at + 1:.2f} outage for={rng.choice([50, 70])}")
    return "\n".join([*lines, "run 160"])


@pytest.mark.parametrize("seed", range(6))
def test_a_cancellation_while_only_the_leader_is_rejected(seed: int) -> None:
    assert find_failures(cancel_at_the_refusal_scenario(seed), seed) == [], cancel_at_the_refusal_scenario(seed)


def test_a_consent_reply_that_omits_known_cancellations_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PeerConsent, "_build_reply", lambda self, revision: peers.ConsentReply([], True))
    assert any_run_fails("ran_cancelled", cancel_at_the_refusal_scenario, range(6))


# Machines fail while they run jobs of all kinds, most of them restricted to one zone.


def zone_bound_scenario(seed: int) -> str:
    rng = random.Random(seed)
    lines = [FLEET, "nodes 3"]
    for number in range(8):
        kind = rng.choice(["kind=service", "run=30", "kind=group run=30", "run=25 checkpoint=5 save=2"])
        where = rng.choice(["zone=b", "one_zone=yes", "one_zone=yes", "zone=a one_zone=yes", "spread=yes"])
        lines.append(
            f"at {rng.uniform(1, 20):.1f} submit wk-{number} team={rng.choice('tu')}"
            f" tasks={rng.choice([2, 5, 12])} cpus={rng.choice([1, 2, 4])} {kind} {where}"
        )
    for _ in range(5):
        fault = rng.choice(
            ["die busiest", "die busiest", "reboot busiest for=3", "hang busiest for=25", "notice busiest for=8"]
        )
        lines.append(f"at {rng.uniform(8, 60):.1f} {fault}")
    lines.append(f"at {rng.uniform(10, 60):.1f} crash leader for=1")
    return "\n".join([*lines, "run 230"])


@pytest.mark.parametrize("seed", range(8))
def test_jobs_mostly_bound_to_one_zone_lose_machines(seed: int) -> None:
    scenario = Scenario(zone_bound_scenario(seed), seed).run()
    assert scenario.oracle.violations == [], zone_bound_scenario(seed)
    for name, spec in scenario.jobs.items():
        if spec["shape"] != "service":  # ``shape`` and ``portions`` are the wire names of kind and tasks
            assert scenario.oracle.reported_state[name] == "done", (name, zone_bound_scenario(seed))
        else:
            running = sum(bool(machines) for key, machines in scenario.oracle.running_on.items() if key[0] == name)
            assert running == spec["portions"], (name, zone_bound_scenario(seed))


def test_a_lost_task_placed_in_another_zone_than_the_rest_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (scheduler, gang_scheduler):
        monkeypatch.setattr(module, "restrict_to_one_zone", lambda candidates, zones: candidates)
    assert any_run_fails("wrong_place", zone_bound_scenario, range(8))


# The leader crashes, is frozen or is cut off ten times in about two minutes, in most scenarios also during an outage.


def ten_leader_changes_scenario(seed: int) -> str:
    rng = random.Random(seed)
    lines = [
        FLEET,
        f"nodes {rng.choice([3, 3, 5])}",
        "at 1 submit wk-9 team=t kind=service tasks=8 cpus=1 spread=yes",
    ]
    for number in range(8):
        kind = rng.choice(["run=4", "run=30", "run=60", "kind=group run=40", "run=40 checkpoint=5 save=2"])
        lines.append(
            f"at {rng.uniform(1, 120):.1f} submit wk-{number} team={rng.choice('tu')}"
            f" tasks={rng.choice([1, 2, 9])} cpus={rng.choice([1, 2])} {kind}"
        )
    at = 15.0
    for _ in range(10):
        change = rng.choice(["crash leader for=1", "crash leader for=0.2", "crash leader for=8", "freeze leader for=9",
                            "cut leader all for=9"])  # fmt: skip
        lines.append(f"at {at:.1f} {change}")
        at += rng.uniform(8, 14)
    if rng.random() < 0.7:
        lines.append(f"at {rng.uniform(20, 80):.1f} outage for={rng.choice([10, 30])}")
    lines.append(f"at {rng.uniform(121, 130):.1f} cancel wk-{rng.randrange(8)}")
    return "\n".join([*lines, "run 260"])


@pytest.mark.parametrize("seed", range(8))
def test_the_leader_changes_ten_times_in_two_minutes(seed: int) -> None:
    scenario = Scenario(ten_leader_changes_scenario(seed), seed).run()
    assert scenario.oracle.violations == [], ten_leader_changes_scenario(seed)
    for name in scenario.jobs:
        if name != "wk-9" and name not in scenario.oracle.cancel_requested:
            assert scenario.oracle.reported_state[name] == "done", (name, ten_leader_changes_scenario(seed))
    assert sum(bool(machines) for key, machines in scenario.oracle.running_on.items() if key[0] == "wk-9") == 8


def test_ten_leader_changes_without_tracking_of_missed_epochs_are_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A controller that missed epochs continues with outdated knowledge of its machines.
    monkeypatch.setattr(
        Membership, "epoch_continuous", property(lambda self: True, lambda self, value: None), raising=False
    )
    assert any_run_fails("ran_twice", ten_leader_changes_scenario, range(24))


# More tasks, of several priorities, are queued than the fleet can run, and messages are delayed.


def overload_scenario(seed: int) -> str:
    rng = random.Random(seed)
    lines = [
        "nodes 3", "set machine.idle=3600", "team t cpus=16 max=64", "team u cpus=8 max=0",
        "type g16 cpus=16 memory=64 boot=8 zones=a count=3 spot=0",
        f"at 1 slow-links by={rng.choice([0.1, 0.4])} for=230",
    ]  # fmt: skip
    for burst in range(17):
        lines.append(f"at {1 + 15 * burst} submit wk-{burst}1 team=u tasks=3 cpus=2 memory=2 run=10 times=10")
        if burst % 4 == 0:
            lines.append(f"at {5 + 15 * burst} submit wk-{burst}2 team=t tasks=4 cpus=2 run=10 priority=urgent times=2")
    lines.append("at 10 submit wk-7777 team=u tasks=6 cpus=16 memory=60 run=20 priority=best_effort")
    lines.append(f"at {rng.uniform(30, 90):.1f} crash leader for=1")
    return "\n".join(
        [*lines, "run 250", "expect wk-7777 starts >= 1", "expect wk-02 started by=60", "expect silence <= 20"]
    )


@pytest.mark.parametrize("seed", range(3))
def test_more_work_than_capacity_over_slow_links(seed: int) -> None:
    assert find_failures(overload_scenario(seed), seed) == [], overload_scenario(seed)


def test_without_precedence_for_overdue_jobs_the_largest_does_not_start(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(JobOrdering, "is_overdue", lambda self, job: False)
    assert any_run_fails("wk-7777", overload_scenario, range(3))


# Machines that lost their tasks and report again.


def test_placement_is_suspended_for_at_most_a_lease_if_the_owner_makes_no_further_announcement(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def candidate_in_each_step() -> list[bool]:
        harness = CoreHarness()
        cluster_state, candidate_cache = harness.core.context.cluster_state, harness.core.scheduler.candidate_cache
        candidate_cache.set_types({"g": wire.MachineType("g", 16.0, 64.0, 1.0, 0.5, 30.0, ["a"])})
        harness.put_record(rec.EPOCH, rec.EpochRecord(2, "n1", {"n0": 7, "n1": 8}, {"m-1": "n1"}))
        harness.step([])
        harness.place_task(TaskState.ACTIVE)
        # The owner announced earlier that the machine reports again, so no announcement follows the lost task; only the
        # expiry ends the suspension.
        harness.core.state_writer.record_exit("wk-1", 0, 1, Outcome(False, f"{LOST_NOTE_PREFIX}m-1"))
        is_candidate = []
        for _ in range(40):
            harness.step([])
            candidate_cache.refresh(cluster_state.guaranteed_job_ids())
            is_candidate.append("m-1" in candidate_cache.candidates)
        return is_candidate

    is_candidate = candidate_in_each_step()
    lease_s = CoreHarness().core.context.machine_lease.total_seconds()
    # A step of the harness takes 0.6 s.
    assert not any(is_candidate[: int(lease_s / 0.6) - 2]) and is_candidate[-1]
    monkeypatch.setattr(ClusterState, "expire_suspensions", lambda self, now: None)
    assert not any(candidate_in_each_step())
