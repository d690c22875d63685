"""Meetings of the operators' page that had no history of their own, each with the guard that it is there to show."""

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


def broken(text: str, seed: int) -> list[str]:
    scenario = Scenario(text, seed).run()
    return scenario.oracle.broken + scenario.failures


def found(rule: str, history: Callable[[int], str], seeds: range) -> bool:
    return any(text.startswith(rule) for seed in seeds for text in broken(history(seed), seed))


# A cancellation, a question or a repeated submission meets the end of a job's last task, with no other trouble.


def at_the_end(seed: int) -> str:
    drawn = random.Random(seed)
    lines = [FLEET, "nodes 3", "at 1 close-looks for=60", "at 1 cancel-at-end share=0.6 for=60"]
    for number in range(6):
        lines.append(
            f"at {drawn.uniform(2, 30):.1f} submit wk-{number} team={drawn.choice('tu')}"
            f" tasks={drawn.choice([1, 1, 2, 3])} cpus=1 run={drawn.choice([2, 5])} times=8"
        )
    return "\n".join([*lines, "run 75"])


@pytest.mark.parametrize("seed", range(6))
def test_a_cancellation_meets_the_end_of_the_last_task(seed: int) -> None:
    scenario = Scenario(at_the_end(seed), seed).run()
    assert scenario.oracle.broken == [], at_the_end(seed)
    states = [state for state, _ in scenario.oracle.final.values()]
    # Either may win, and each job has one of the two.
    assert states.count("done") + states.count("aborted") == 48 and states.count("aborted") > 5


def test_a_final_state_that_does_not_rest_on_the_job_s_record_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    final = CompletionComposer._compose_final_record

    def loose(self: CompletionComposer, txn: TransactionBuilder, job: Job, count: int) -> None:
        final(self, txn, job, count)
        txn.conditions.pop(rec.job_key(job.id), None)

    monkeypatch.setattr(CompletionComposer, "_compose_final_record", loose)
    assert found("went_back", at_the_end, range(6))


# Cancelled at the very moment at which the state service refuses the leader alone; a second later it is out for longer
# than cancel_s.


def at_the_refusal(seed: int) -> str:
    drawn = random.Random(seed)
    lines = [FLEET, f"nodes {drawn.choice([2, 3, 5])}"]
    for number in range(8):
        kind = drawn.choice(["kind=service spread=yes", "run=300", "run=300 checkpoint=5 save=2", "kind=group run=300"])
        lines.append(f"at 2 submit wk-{number} team=t tasks={drawn.choice([1, 3, 6])} cpus=1 {kind}")
    at = drawn.uniform(25, 30)
    lines.append(f"at {at:.2f} refuse leader for={drawn.choice([0.9, 5, 60])}")
    for number in drawn.sample(range(8), 4):
        lines.append(f"at {at + drawn.uniform(-0.02, 0.05):.3f} cancel wk-{number}")
    lines.append(f"at {at + 1:.2f} outage for={drawn.choice([50, 70])}")
    return "\n".join([*lines, "run 160"])


@pytest.mark.parametrize("seed", range(6))
def test_cancelled_at_the_moment_of_the_lone_refusal(seed: int) -> None:
    assert broken(at_the_refusal(seed), seed) == [], at_the_refusal(seed)


def test_without_what_siblings_tell_the_refusal_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PeerConsent, "_build_reply", lambda self, revision: peers.ConsentReply([], True))
    assert found("ran_cancelled", at_the_refusal, range(6))


# Jobs bound to one zone, arrays too, lose machines.


def zone_bound(seed: int) -> str:
    drawn = random.Random(seed)
    lines = [FLEET, "nodes 3"]
    for number in range(8):
        kind = drawn.choice(["kind=service", "run=30", "kind=group run=30", "run=25 checkpoint=5 save=2"])
        where = drawn.choice(["zone=b", "one_zone=yes", "one_zone=yes", "zone=a one_zone=yes", "spread=yes"])
        lines.append(
            f"at {drawn.uniform(1, 20):.1f} submit wk-{number} team={drawn.choice('tu')}"
            f" tasks={drawn.choice([2, 5, 12])} cpus={drawn.choice([1, 2, 4])} {kind} {where}"
        )
    for _ in range(5):
        deed = drawn.choice(
            ["die busiest", "die busiest", "reboot busiest for=3", "hang busiest for=25", "notice busiest for=8"]
        )
        lines.append(f"at {drawn.uniform(8, 60):.1f} {deed}")
    lines.append(f"at {drawn.uniform(10, 60):.1f} crash leader for=1")
    return "\n".join([*lines, "run 230"])


@pytest.mark.parametrize("seed", range(8))
def test_jobs_bound_to_one_zone_lose_machines(seed: int) -> None:
    scenario = Scenario(zone_bound(seed), seed).run()
    assert scenario.oracle.broken == [], zone_bound(seed)
    for name, spec in scenario.jobs.items():
        if spec["shape"] != "service":
            assert scenario.oracle.told[name] == "done", (name, zone_bound(seed))
        else:
            running = sum(bool(places) for key, places in scenario.oracle.where.items() if key[0] == name)
            assert running == spec["portions"], (name, zone_bound(seed))


def test_a_lost_task_that_goes_to_another_zone_than_the_rest_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    for module in (scheduler, gang_scheduler):
        monkeypatch.setattr(module, "one_zone", lambda slots, zones: slots)
    assert found("wrong_place", zone_bound, range(8))


# Leaders change ten times in two minutes, also inside an outage.


def ten_leaders(seed: int) -> str:
    drawn = random.Random(seed)
    lines = [
        FLEET,
        f"nodes {drawn.choice([3, 3, 5])}",
        "at 1 submit wk-9 team=t kind=service tasks=8 cpus=1 spread=yes",
    ]
    for number in range(8):
        kind = drawn.choice(["run=4", "run=30", "run=60", "kind=group run=40", "run=40 checkpoint=5 save=2"])
        lines.append(
            f"at {drawn.uniform(1, 120):.1f} submit wk-{number} team={drawn.choice('tu')}"
            f" tasks={drawn.choice([1, 2, 9])} cpus={drawn.choice([1, 2])} {kind}"
        )
    at = 15.0
    for _ in range(10):
        how = drawn.choice(["crash leader for=1", "crash leader for=0.2", "crash leader for=8", "freeze leader for=9",
                            "cut leader all for=9"])  # fmt: skip
        lines.append(f"at {at:.1f} {how}")
        at += drawn.uniform(8, 14)
    if drawn.random() < 0.7:
        lines.append(f"at {drawn.uniform(20, 80):.1f} outage for={drawn.choice([10, 30])}")
    lines.append(f"at {drawn.uniform(121, 130):.1f} cancel wk-{drawn.randrange(8)}")
    return "\n".join([*lines, "run 260"])


@pytest.mark.parametrize("seed", range(8))
def test_leaders_change_ten_times_in_two_minutes(seed: int) -> None:
    scenario = Scenario(ten_leaders(seed), seed).run()
    assert scenario.oracle.broken == [], ten_leaders(seed)
    for name in scenario.jobs:
        if name != "wk-9" and name not in scenario.oracle.cancel_wanted:
            assert scenario.oracle.told[name] == "done", (name, ten_leaders(seed))
    assert sum(bool(places) for key, places in scenario.oracle.where.items() if key[0] == "wk-9") == 8


def test_without_unbroken_ownership_ten_leaders_are_found(monkeypatch: pytest.MonkeyPatch) -> None:
    # Whoever was out meanwhile goes on with what it knew of its machines.
    monkeypatch.setattr(
        Membership, "epoch_continuous", property(lambda self: True, lambda self, value: None), raising=False
    )
    assert found("ran_twice", ten_leaders, range(24))


# More work than room, urgent and not, over slow links.


def too_much(seed: int) -> str:
    drawn = random.Random(seed)
    lines = [
        "nodes 3", "set machine.idle=3600", "team t cpus=16 max=64", "team u cpus=8 max=0",
        "type g16 cpus=16 memory=64 boot=8 zones=a count=3 spot=0",
        f"at 1 slow-links by={drawn.choice([0.1, 0.4])} for=230",
    ]  # fmt: skip
    for wave in range(17):
        lines.append(f"at {1 + 15 * wave} submit wk-{wave}1 team=u tasks=3 cpus=2 memory=2 run=10 times=10")
        if wave % 4 == 0:
            lines.append(f"at {5 + 15 * wave} submit wk-{wave}2 team=t tasks=4 cpus=2 run=10 priority=urgent times=2")
    lines.append("at 10 submit wk-7777 team=u tasks=6 cpus=16 memory=60 run=20 priority=best_effort")
    lines.append(f"at {drawn.uniform(30, 90):.1f} crash leader for=1")
    return "\n".join(
        [*lines, "run 250", "expect wk-7777 starts >= 1", "expect wk-02 started by=60", "expect silence <= 20"]
    )


@pytest.mark.parametrize("seed", range(3))
def test_more_work_than_room_over_slow_links(seed: int) -> None:
    assert broken(too_much(seed), seed) == [], too_much(seed)


def test_without_a_turn_for_what_has_waited_the_largest_does_not_begin(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(JobOrdering, "overdue", lambda self, job: False)
    assert found("wk-7777", too_much, range(3))


# Machines that lost their work and are back.


def test_a_machine_is_held_back_for_a_lease_at_the_most_if_its_owner_tells_nothing_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def offered() -> list[bool]:
        rig = CoreHarness()
        cluster_state, candidate_cache = rig.core.context.cluster_state, rig.core.scheduler.candidate_cache
        candidate_cache.set_types({"g": wire.MachineType("g", 16.0, 64.0, 1.0, 0.5, 30.0, ["a"])})
        rig.put_record(rec.EPOCH, rec.EpochRecord(2, "n1", {"n0": 7, "n1": 8}, {"m-1": "n1"}))
        rig.step([])
        rig.place_task(TaskState.ACTIVE)
        # The owner has told that the machine is back; only then comes its word of what was lost there.
        rig.core.state_writer.record_exit("wk-1", 0, 1, Outcome(False, f"{LOST_NOTE_PREFIX}m-1"))
        seen = []
        for _ in range(40):
            rig.step([])
            candidate_cache.refresh(cluster_state.guaranteed_jobs())
            seen.append("m-1" in candidate_cache.candidates)
        return seen

    seen = offered()
    lease = CoreHarness().core.context.machine_lease.total_seconds()
    assert not any(seen[: int(lease / 0.6) - 2]) and seen[-1]
    monkeypatch.setattr(ClusterState, "expire_suspensions", lambda self, now: None)
    assert not any(offered())
