"""Randomized scenarios of coinciding failures, and tests of the safeguards against them.

tests/scenarios/README explains the commands of the scenarios.
"""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest

from gladecroft.bookkeeping import records as rec
from gladecroft.coordination.consent import PeerConsent
from gladecroft.coordination.events import OutgoingCall, WatchResult
from gladecroft.coordination.state_writer.completion import CompletionComposer
from gladecroft.lab.scenario import Scenario
from gladecroft.protocol import peers
from test_epochs import clock_at
from test_fencing import SPEC, CoreHarness

CONTROLLER_COUNTS = (2, 3, 3, 5)


def fleet_lines(rng: random.Random, controllers: int) -> list[str]:
    """The lines of a scenario that set up the controllers, teams and machines."""
    return [
        f"nodes {controllers}",
        f"set machine.consolidate={rng.choice(['true', 'false'])}",
        f"team t cpus=60 max={rng.choice([80, 300])}", "team u cpus=0 max=0",
        "type g16 cpus=16 memory=64 boot=8", "up g16 count=4", "up g16 zone=b count=4",
    ]  # fmt: skip


def cancellation_gap_scenario(seed: int) -> str:
    """A scenario in which a controller may not know the newest cancellations during an outage.

    Twice, the state service rejects the requests of one controller, other controllers acknowledge cancellations, and
    then the state service is down for all.
    """
    rng = random.Random(seed)
    controllers = rng.choice(CONTROLLER_COUNTS)
    lines = fleet_lines(rng, controllers)
    jobs = []
    for number in range(8):
        kind = rng.choice(["kind=service spread=yes", "kind=group", "run=400", "run=400 checkpoint=5 save=2"])
        jobs.append(f"wk-{number}")
        lines.append(
            f"at {rng.uniform(1, 4):.1f} submit wk-{number} team={rng.choice('tu')} tasks={rng.choice([1, 2, 9])}"
            f" cpus={rng.choice([1, 2])} memory=1 {kind}"
        )
    at_s = 25.0
    for _ in range(2):
        refused = rng.choice(["leader", "leader", f"n{seed % controllers}"])
        lines.append(f"at {at_s:.1f} refuse {refused} for={rng.uniform(1, 20):.1f}")
        outage_at_s = at_s + rng.uniform(0.2, 7)
        for _ in range(3):
            lines.append(f"at {rng.uniform(at_s - 0.5, outage_at_s):.2f} cancel {rng.choice(jobs)}")
        duration_s = rng.choice([5.0, 30.0, 50.0, 70.0])
        lines.append(f"at {outage_at_s:.2f} outage for={duration_s}")
        # A further failure, or none: a controller, possibly one that has just acknowledged a cancellation, is
        # suspended, restarts and loses its state, or is cut off from one peer or from the workers; or the busiest
        # machine is cut off or receives no replies.
        first_index, other_index = rng.sample(range(controllers), 2)
        extra = rng.choice(
            [
                f"crash n{first_index} for={rng.choice([0.2, 2, 9])}",
                f"cut n{first_index} n{other_index} for={rng.uniform(2, 30):.1f}",
                f"freeze n{first_index} for={rng.uniform(1, 9):.1f}", "cut-machine busiest mode=hold for=12",
                f"cut n{first_index} workers for=20", "deaf busiest for=15", "",
            ]
        )  # fmt: skip
        if extra:
            lines.append(f"at {rng.uniform(at_s, outage_at_s + 8):.2f} {extra}")
        at_s = outage_at_s + duration_s + rng.choice([0.5, 3, 20])
    return "\n".join([*lines, f"run {at_s + 110:.0f}"])


@pytest.mark.parametrize("first_seed", range(0, 20, 10))
def test_cancelled_tasks_end_in_time_across_the_cancellation_gap(first_seed: int) -> None:
    for seed in range(first_seed, first_seed + 10):
        scenario = Scenario(cancellation_gap_scenario(seed), seed).run()
        assert scenario.oracle.violations == [], cancellation_gap_scenario(seed)


def finds_violation(rule: str, seeds: range) -> bool:
    """Whether the scenario of any of the seeds violates the invariant."""
    return any(
        violation.startswith(rule)
        for seed in seeds
        for violation in Scenario(cancellation_gap_scenario(seed), seed).run().oracle.violations
    )


def test_scenarios_find_the_gap_if_consent_omits_cancellations(monkeypatch: pytest.MonkeyPatch) -> None:
    # Peers list no cancellations but claim that the list is complete, so leases are renewed by consent as long as the
    # outage lasts.
    monkeypatch.setattr(PeerConsent, "_build_reply", lambda self, revision: peers.ConsentReply([], True))
    assert finds_violation("ran_cancelled", range(24, 31))


def test_cancellations_from_peers_stop_tasks_at_once() -> None:
    scenario = Scenario(CANCELLATION_GAP, 1).run()
    assert scenario.oracle.violations == [] and scenario.unmet_expectations == []
    ended = [float(event.split()[0]) for event in scenario.oracle.events if "wk-1/" in event and " ends on " in event]
    # The outage begins at 24 s. The tasks are stopped by the replies to the next reports of their machines.
    assert ended and max(ended) < 29.5


CANCELLATION_GAP = """
team t cpus=200 max=400
type g16 cpus=16 memory=64
up g16 count=3
at 1 submit wk-1 team=t tasks=6 cpus=4 memory=2 run=300
at 20 refuse leader for=30
at 20.3 cancel wk-1
at 24 outage for=60
run 60
expect wk-1 aborted
expect wk-1 running is 0
"""

#: Combinations of failures listed in the operator documentation: commands, each after the number of seconds from the
#: start of the combination. Values in braces are random. A seed selects combinations by their sorted names, so renaming
#: one changes the scenarios of all seeds.
FAILURES: dict[str, tuple[str, ...]] = {
    "hand-over and back": (
        "0 crash leader for={q}", "{q} crash all for={q}", "{s} crash {n} for={q}", "{s} freeze {n} for={s}",
        "{s} down {n} for={s}", "{s} crash leader for=0.1",
    ),
    "machines not reached": (
        "0 cut-machine busiest mode={m} for={l}", "1 deaf busiest for={l}", "{s} crash leader for={l}",
        "{s} hang busiest for={s}",
    ),
    "old reports": (
        "0 copies share=0.5 late=50 for={l}", "{s} cut-machine busiest mode={m} for={s}", "{s} crash leader for={q}",
        "{s} crash all for={q}", "{s} cut {n} workers for={s}",
    ),
    "far apart ends": (
        "0 slow busiest factor=2", "0 slow busiest factor=3", "{s} crash leader for={q}", "{s} crash {n} for={s}",
    ),
    "late transactions": (
        "0 late-writes share={p} for={l}", "{s} cancel {j}", "{s} cancel {j}", "{s} crash {n} for={q}",
        "{s} late share=0.1 lose=0.1 for={s}",
    ),
    "held commands": (
        "0 held busiest by={s} for={l} answers={y}", "0 held busiest by={s} for={l} answers={y}",
        "{s} hang busiest for={s}", "{s} cancel {j}", "{s} crash leader for={q}",
    ),
    "island": (
        "0 island leader for={l}", "{q} cancel {j}", "{s} cancel {j}", "{s} cancel {j}", "{s} crash {n} for={q}",
    ),
    "slow and refused": (
        "0 slow-state by={d} for={l}", "{s} refuse leader for={s}", "{s} outage for=50", "{s} cancel {j}",
        "{s} cancel {j}",
    ),
}  # fmt: skip


#: Further combinations listed there; they are mixed with those above.
MORE_FAILURES: dict[str, tuple[str, ...]] = {
    "close looks": (
        "0 close-looks for={l} cancels=0.2", "0 slow-state by={d} for={s}", "{q} slow-watch by={d} for={s}",
    ),
    "answers lost": (
        "0 late-writes share={p} for={l} at_once=yes", "{s} cancel {j}", "{s} crash leader for={q}",
        "{s} close-looks for={s} cancels=0.2",
    ),
    "copies for the next leader": (
        "0 copies share=0.5 for={l} next=yes", "{s} crash leader for={q}", "{s} crash leader for={s}",
        "{s} cut-machine busiest mode={m} for={s}",
    ),
    "mute machines": ("0 mute-machine busiest count=2 for={l}", "{s} cancel {j}", "{s} crash leader for={q}"),
    "many cancelled at once": (
        "0 cancel-now count=3 hang={s}", "{q} crash leader for={q}", "{q} cut-machine busiest mode={m} for={s}",
    ),
    "cancelled at the end": ("0 cancel-at-end share=0.5 for={l}", "0 close-looks for={l}", "{s} crash {n} for={q}"),
    "odd requests": ("0 odd for={l}", "{s} crash leader for={q}", "{s} refuse {n} for={s}"),
    "quick boots": (
        "0 quick-boots for={l}", "0 die busiest", "{q} late-writes share={p} for={s}", "{s} crash leader for={q}",
    ),
    "many leaders": tuple(f"{4 * turn} crash leader for=1" for turn in range(10)),
    "slow links": ("0 slow-links by={d} for={l}", "{s} cancel {j}", "{s} crash leader for={q}"),
}  # fmt: skip


#: Requests that were carried out and answered arrive a second time; mixed with all of the above.
LATE_COPIES: dict[str, tuple[str, ...]] = {
    "copies of commands": (
        "0 request-copies machines share={c} late=60 for={l}", "{s} crash leader for={q}", "{s} cancel {j}",
        "{s} cut-machine busiest mode={m} for={s}", "{s} reboot busiest for={q}", "{s} crash {n} for={s}",
    ),
    "copies of all requests": (
        "0 request-copies machines state cloud peers users share={c} late=40 for={l}", "{s} crash leader for={q}",
        "{s} cancel {j}", "{s} die busiest", "{s} crash all for={q}", "{s} refuse {n} for={s}",
    ),
}  # fmt: skip


def combined_failures_scenario(seed: int, pool: dict[str, tuple[str, ...]] = FAILURES, included: str = "") -> str:
    """A scenario with long and short jobs, and two or three combinations of failures that may overlap.

    All failures end by 140 s. ``included`` names a combination that is always included; it may then be the only one.
    """
    rng = random.Random(seed)
    controllers = rng.choice(CONTROLLER_COUNTS)
    lines = fleet_lines(rng, controllers)
    jobs = [f"wk-{number}" for number in range(9)]
    lines.append("at 1 submit wk-99 team=u kind=service tasks=6 cpus=1 spread=yes")
    for name in jobs:
        kind = rng.choice(
            ["kind=service spread=yes", "kind=group run=30", "run=6", "run=25", "run=40", "run=25 checkpoint=5 save=2"]
        )
        lines.append(
            f"at {rng.uniform(1, 60):.1f} submit {name} team={rng.choice('tu')} tasks={rng.choice([1, 2, 3, 12])}"
            f" cpus={rng.choice([1, 2, 4])} memory=2 {kind}"
        )
    names = rng.sample(sorted(pool), rng.choice([2, 2, 3]))
    for name in [included, *[name for name in names if name != included][:-1]] if included else names:
        begin_s = rng.uniform(12, 70)
        for action in pool[name]:
            if rng.random() < 0.2:
                continue
            delay, _, command = action.partition(" ")

            def substitute(text: str) -> str:
                values: dict[str, Any] = {
                    "q": rng.choice([0.1, 0.3, 0.8, 4]), "s": rng.choice([1, 3, 8, 20]),
                    "l": rng.choice([25, 45]), "n": f"n{rng.randrange(controllers)}", "j": rng.choice(jobs),
                    "m": rng.choice(["hold", "lose"]), "p": rng.choice([0.05, 0.2, 0.5]),
                    "d": rng.choice([0.2, 0.6, 1.5]), "y": rng.choice(["yes", "no"]), "c": 1.0,
                }  # fmt: skip
                return text.format(**values)

            at_s = begin_s + float(substitute(delay))
            if " cancel" in f" {command}":
                at_s = max(at_s, 61.0)
            lines.append(f"at {at_s:.2f} {substitute(command)}")
    return "\n".join([*lines, "run 260"])


def run_scenario(text: str, seed: int) -> None:
    """Run a scenario and check its outcome.

    No invariant is violated. Each accepted job that was not cancelled has started, and is done if it is not a service.
    """
    scenario = Scenario(text, seed).run()
    assert scenario.oracle.violations == [], (seed, text)
    for name, user in scenario.users.items():
        if user.accepted and name not in scenario.oracle.cancel_requested:
            assert any(start[1][0] == name for start in scenario.oracle.starts), (name, seed, text)
            if scenario.jobs[name]["shape"] != "service":
                assert scenario.oracle.reported_state[name] == "done", (name, seed, text)


@pytest.mark.parametrize("first_seed", range(0, 80, 10))
def test_no_invariant_is_violated_by_combined_failures(first_seed: int) -> None:
    for seed in range(first_seed, first_seed + 10):
        run_scenario(combined_failures_scenario(seed), seed)


@pytest.mark.parametrize("name", sorted(MORE_FAILURES))
def test_no_invariant_is_violated_by_further_failure_types(name: str) -> None:
    for seed in range(5):
        run_scenario(combined_failures_scenario(seed, {**FAILURES, **MORE_FAILURES}, name), seed)


@pytest.mark.parametrize("name", sorted(LATE_COPIES))
def test_no_invariant_is_violated_by_late_copies_of_requests(name: str) -> None:
    for seed in range(10):
        run_scenario(combined_failures_scenario(seed, {**FAILURES, **MORE_FAILURES, **LATE_COPIES}, name), seed)


def test_cancelled_job_finishes_only_once_earlier_placements_are_known(monkeypatch: pytest.MonkeyPatch) -> None:
    def final_record_writes(harness: CoreHarness) -> int:
        harness.core.context.state_writes.tokens = harness.core.context.state_writes.burst
        harness.core.context.state_served_at = harness.core.context.now
        calls = [
            effect for effect in harness.core.step(clock_at(harness.now_s), []) if isinstance(effect, OutgoingCall)
        ]
        harness.now_s += 0.6
        return sum(b"g/f/wk-1" in (call.body or b"") for call in calls)

    def harness_with_own_cancellation() -> CoreHarness:
        harness = CoreHarness()
        harness.put_record(rec.EPOCH, rec.EpochRecord(2, "n0", {"n0": 7, "n1": 8}, {"m-1": "n0"}))
        # This controller knows the cancellation at once from its own commit. The watch has not yet delivered an earlier
        # placement of its own, whose commit got no response and was executed late.
        record = rec.JobRecord(SPEC, 0, True)
        harness.core.context.cluster_state.apply("g/j/wk-1", msgspec.json.encode(record), harness.revision + 2)
        return harness

    harness = harness_with_own_cancellation()
    assert sum(final_record_writes(harness) for _ in range(5)) == 0
    harness.core.context.cluster_state.revision = harness.revision + 2
    assert sum(final_record_writes(harness) for _ in range(5)) > 0
    monkeypatch.setattr(CompletionComposer, "_cancellation_settled", lambda self, job: job.cancelled)
    harness = harness_with_own_cancellation()
    assert sum(final_record_writes(harness) for _ in range(5)) > 0


def test_controller_leaves_the_group_after_a_watch_gap() -> None:
    # A gap also loses what is known about exits. Without a new epoch, the attempts could be started again.
    harness = CoreHarness()
    harness.step([WatchResult(gap=True)])
    membership = harness.core.membership
    assert membership.lease_id is None and membership.incarnation is None and not membership.is_active()
