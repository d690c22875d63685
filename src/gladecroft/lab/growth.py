"""Measures how the cost of a report, a submission, a poll and a task start grows with the number of machines.

    python -m gladecroft.lab.growth [MACHINES...]
    python -m gladecroft.lab.growth restart [SERVICES...]

The first form simulates 80 s of virtual time for each number of machines, counts during the last 60 s and prints a
table. "steps" are Python function calls made during ``Core.step``, "requests" are requests to the simulated state
service other than watches, and "changes" are the operations in commits. The load and the teams' limits are proportional
to the number of machines; the request limits of the state service grow linearly with it. Nothing depends on a real
clock, so the counts are reproducible with a fixed PYTHONHASHSEED, on which the iteration order of sets depends.

The second form restarts all controllers at the same time and prints the cost until each machine has had a reply to one
of its reports.
"""

from __future__ import annotations

import sys
from collections import Counter
from functools import partial
from types import FrameType
from typing import Any

import msgspec

from gladecroft.coordination.events import Event, IncomingRequest, RequestKind
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.simulation import ReplyCallback, SimulatedController, seconds

FLEET_SCENARIO = """
nodes 3
set machine.consolidate=false
state rps={rps} write_rps={writes} txn_ops=24
team t cpus={cpus} max={cpus}
team u cpus={cpus} max={cpus}
team v cpus={cpus} max={cpus}
type g16 cpus=16 memory=64 count=0 spot=0
up g16 count={half}
up g16 zone=b count={half}
"""
#: Durations of the warm-up and of the measurement that follows it, in virtual time.
WARMUP_S, MEASURED_S = 20.0, 60.0
TEAMS = "tuv"


class CostCounters:
    """Counts of function calls, handled events and state requests, kept while ``enabled`` is set.

    The keys of ``steps`` are the kinds of the events that controllers handle, such as "report", and "tick" for calls
    outside the handling of an event. ``counts`` holds the number of events by the same kinds, the operations in commits
    as "change" and, once the measurement is over, the started tasks as "start".
    """

    def __init__(self) -> None:
        self.enabled = False
        self.steps: Counter[str] = Counter()
        self.counts: Counter[str] = Counter()
        self.state_requests: Counter[str] = Counter()
        #: Number of calls of each Python function during the steps of the core.
        self.calls_by_function: Counter[str] = Counter()

    def table_rows(self) -> dict[str, float]:
        """Return the printed rows: counts per event or per started task, and the number of started tasks."""
        counts = self.counts
        rows = {f"steps / {kind}": self.steps[kind] / max(1, counts[kind]) for kind in ("report", "submit", "poll")}
        other_steps = sum(self.steps.values()) - sum(self.steps[kind] for kind in ("report", "submit", "poll"))
        starts = max(1, counts["start"])
        rows["other steps / start"] = other_steps / starts
        rows["requests / start"] = sum(self.state_requests.values()) / starts
        rows["changes / start"] = counts["change"] / starts
        rows["starts"] = counts["start"]
        return rows


def instrument_controller(controller: SimulatedController, costs: CostCounters) -> None:
    """Wrap a controller's core so that function calls in its steps and its events are counted in ``costs``."""
    core = controller.core
    assert core is not None
    handle_event, step = core._handle_event, core.step
    kinds = {RequestKind.REPORT: "report", RequestKind.SUBMIT: "submit", RequestKind.POLL: "poll"}
    current_kind = ["tick"]

    def profile(frame: FrameType, event: str, arg: Any) -> None:
        if event == "call":
            costs.steps[current_kind[0]] += 1
            costs.calls_by_function[frame.f_code.co_qualname] += 1

    def counted_handle_event(event: Event) -> None:
        kind = kinds.get(event.kind, "other") if isinstance(event, IncomingRequest) else type(event).__name__
        costs.counts[kind] += costs.enabled
        current_kind[0] = kind
        try:
            handle_event(event)
        finally:
            current_kind[0] = "tick"

    def counted_step(clock: Any, events: list[Event]) -> Any:
        if not costs.enabled:
            return step(clock, events)
        sys.setprofile(profile)
        try:
            return step(clock, events)
        finally:
            sys.setprofile(None)

    core._handle_event, core.step = counted_handle_event, counted_step  # type: ignore[method-assign]


def measure_load(machines: int) -> CostCounters:
    """Return the costs of one minute with this number of machines.

    The load consists of batch jobs of ten tasks, services of four tasks, which are cancelled 25 s after their
    submission, and the polls of the simulated users.
    """
    # The load and the limits have scale 1 with 60 machines.
    scale = machines / 60
    text = FLEET_SCENARIO.format(
        half=machines // 2, cpus=16 * machines, rps=int(200 * scale) + 100, writes=int(50 * scale) + 50
    )
    scenario = Scenario(text, 1).run()
    scenario.sim.run_until(seconds(3))
    costs = CostCounters()
    for controller in scenario.controllers:
        instrument_controller(controller, costs)
    serve = scenario.state.serve

    def counted_serve(node: str, method: str, path: str, body: bytes, reply: ReplyCallback) -> None:
        if costs.enabled:
            costs.state_requests[path.split("?")[0].split("/")[1]] += 1
            if path == "/commit":
                costs.counts["change"] += len(msgspec.json.decode(body).get("apply") or ())
        serve(node, method, path, body, reply)

    scenario.state.serve = counted_serve  # type: ignore[method-assign]
    number = 0
    interval_s = 1.0 / scale
    submit_at_s = 4.0
    while submit_at_s < WARMUP_S + MEASURED_S:
        team = f"team={TEAMS[number % 3]}"
        options = ["kind=service", "tasks=4", "spread=yes"] if number % 4 == 0 else ["tasks=10", "run=15"]
        words = ["submit", f"wk-{number}", team, "cpus=2", *options]
        scenario.sim.call_at(seconds(submit_at_s), partial(scenario.perform, words))
        if number % 4 == 0:
            cancel_words = ["cancel", f"wk-{number}"]
            scenario.sim.call_at(seconds(submit_at_s + 25), partial(scenario.perform, cancel_words))
        number += 1
        submit_at_s += interval_s
    scenario.sim.run_until(seconds(WARMUP_S))
    costs.enabled = True
    starts_before = len(scenario.oracle.starts)
    scenario.sim.run_until(seconds(WARMUP_S + MEASURED_S))
    costs.counts["start"] = len(scenario.oracle.starts) - starts_before
    assert scenario.oracle.violations == []
    return costs


RESTART_SCENARIO = """
nodes 3
set machine.consolidate=false
state rps=600 write_rps=200 txn_ops=24
team t cpus=100000 max=100000
type g16 cpus=16 memory=64 count=0 spot=0
up g16 count={half}
up g16 zone=b count={half}
"""


def measure_restart(services: int) -> dict[str, float]:
    """Return the costs of restarting all controllers with this number of unfinished services.

    Each service has four tasks. The state service also holds the same number of finished jobs.
    Watches of the state service are not counted.
    """
    # 6.4 CPUs for the four tasks of each service, of 1 CPU each, in two zones of equal size.
    scenario = Scenario(RESTART_SCENARIO.format(half=-(-services // 5)), 1).run()
    for number in range(services):
        words = ["submit", f"wk-{number}", "team=t", "kind=service", "tasks=4", "cpus=1", "spread=yes"]
        scenario.sim.call_at(seconds(2 + number * 0.05), partial(scenario.perform, words))
    # 80 s after the last submission, machines that were returned to the cloud as idle have been rented again.
    settled_at_s = 2 + services * 0.05 + 80
    scenario.sim.run_until(seconds(settled_at_s))
    for number in range(services):
        scenario.state.revision += 1
        scenario.state.entries[f"g/f/wk-9{number:06d}"] = ({"done": True, "tasks": 3}, scenario.state.revision, None)
    starts_before = len(scenario.oracle.starts)
    counts: Counter[str] = Counter()
    serve = scenario.state.serve

    def counted_serve(node: str, method: str, path: str, body: bytes, reply: ReplyCallback) -> None:
        counts["pages" if "?prefix=" in path else "other requests"] += 1
        if path == "/commit":
            counts["changes"] += len(msgspec.json.decode(body).get("apply") or ())

        def counted_reply(status: int, response: bytes) -> None:
            counts["bytes"] += len(response)
            reply(status, response)

        serve(node, method, path, body, counted_reply)

    scenario.state.serve = counted_serve  # type: ignore[method-assign]
    scenario.perform(["crash", "all", "for=5"])
    started_at_s = scenario.sim.elapsed() + 5
    scenario.sim.run_until(seconds(started_at_s))
    replied: set[str] = set()
    rows: dict[str, float] = {}
    machines = set(scenario.cloud.machines)
    while len(replied) < len(machines):
        scenario.sim.run_until(seconds(scenario.sim.elapsed() + 0.05))
        for controller in scenario.controllers:
            if controller.core is not None:
                replied |= {
                    machine.id for machine in controller.core.machine_manager.machines.values() if machine.last_reply_at
                }
        if replied and "first machine replied to (s)" not in rows:
            rows["first machine replied to (s)"] = scenario.sim.elapsed() - started_at_s
        assert scenario.sim.elapsed() < started_at_s + 60
    rows["all machines replied to (s)"] = scenario.sim.elapsed() - started_at_s
    rows |= {name: counts[name] for name in ("pages", "other requests", "changes", "bytes")}
    rows["tasks begun anew"] = len(scenario.oracle.starts) - starts_before
    assert starts_before == 4 * services
    assert scenario.oracle.violations == []
    return rows


def main_restart(sizes: list[int]) -> None:
    """Print the costs of a restart for each number of services."""
    tables = [measure_restart(size) for size in sizes]
    print(f"{'services':24}" + "".join(f"{size:>12}" for size in sizes))
    for row in tables[0]:
        print(f"{row:24}" + "".join(f"{table[row]:>12.2f}" for table in tables))


def main() -> None:
    """Print the table that the command line asks for."""
    if sys.argv[1:2] == ["restart"]:
        main_restart([int(word) for word in sys.argv[2:]] or [100, 200, 400])
        return
    sizes = [int(word) for word in sys.argv[1:]] or [60, 120, 180, 240]
    all_costs = [measure_load(size) for size in sizes]
    tables = [costs.table_rows() for costs in all_costs]
    print(f"{'machines':24}" + "".join(f"{size:>12}" for size in sizes))
    for row in tables[0]:
        print(f"{row:24}" + "".join(f"{table[row]:>12.2f}" for table in tables))
    print("calls / start of the functions with the most calls:")
    for name, _ in all_costs[-1].calls_by_function.most_common(18):
        print(
            f"{name[-46:]:46}"
            + "".join(f"{costs.calls_by_function[name] / costs.counts['start']:>10.1f}" for costs in all_costs)
        )


if __name__ == "__main__":
    main()
