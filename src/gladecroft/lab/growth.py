"""What a report, a placement, a submission and a poll cost as the fleet grows: counted, so it repeats exactly.

    python -m gladecroft.lab.growth [MACHINES...]
    python -m gladecroft.lab.growth restart [SERVICES...]

The first prints a table (simulated: the same minute in virtual time at each size). Steps are Python calls inside the
core; state requests and changes are what the stand-in for the state service was asked for. Budgets grow with the fleet.

The second ends all controllers at once and tells what their start costs until every machine has been answered.
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
from gladecroft.lab.simulation import Controller, Replier, seconds

FLEET = """
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
WARM, LONG = 20.0, 60.0
TEAMS = "tuv"


class Costs:
    """Counts per kind of work, from ``WARM`` on."""

    def __init__(self) -> None:
        self.on = False
        self.steps: Counter[str] = Counter()
        self.units: Counter[str] = Counter()
        self.requests: Counter[str] = Counter()
        #: How often each function is called.
        self.calls: Counter[str] = Counter()

    def table(self) -> dict[str, float]:
        units = self.units
        rows = {f"steps / {what}": self.steps[what] / max(1, units[what]) for what in ("report", "submit", "poll")}
        rest = sum(self.steps.values()) - sum(self.steps[what] for what in ("report", "submit", "poll"))
        starts = max(1, units["start"])
        rows["other steps / start"] = rest / starts
        rows["requests / start"] = sum(self.requests.values()) / starts
        rows["changes / start"] = units["change"] / starts
        rows["starts"] = units["start"]
        return rows


def watch_controller(controller: Controller, costs: Costs) -> None:
    core = controller.core
    assert core is not None
    take, step = core._handle_event, core.step
    names = {RequestKind.REPORT: "report", RequestKind.SUBMIT: "submit", RequestKind.POLL: "poll"}
    current = ["tick"]

    def profile(frame: FrameType, event: str, arg: Any) -> None:
        if event == "call":
            costs.steps[current[0]] += 1
            costs.calls[frame.f_code.co_qualname] += 1

    def taken(event: Event) -> None:
        what = names.get(event.kind, "asked") if isinstance(event, IncomingRequest) else type(event).__name__
        costs.units[what] += costs.on
        current[0] = what
        try:
            take(event)
        finally:
            current[0] = "tick"

    def stepped(clock: Any, events: list[Event]) -> Any:
        if not costs.on:
            return step(clock, events)
        sys.setprofile(profile)
        try:
            return step(clock, events)
        finally:
            sys.setprofile(None)

    core._handle_event, core.step = taken, stepped  # type: ignore[method-assign]


def measure(machines: int) -> Costs:
    """One minute of a fleet of this size: arrays of ten tasks, services of four, and their users' polls."""
    share = machines / 60
    text = FLEET.format(half=machines // 2, cpus=16 * machines, rps=int(200 * share) + 100, writes=int(50 * share) + 50)
    scenario = Scenario(text, 1).run()
    scenario.world.run_until(seconds(3))
    costs = Costs()
    for controller in scenario.controllers:
        watch_controller(controller, costs)
    serve = scenario.state.serve

    def served(node: str, method: str, path: str, body: bytes, reply: Replier) -> None:
        if costs.on:
            costs.requests[path.split("?")[0].split("/")[1]] += 1
            if path == "/commit":
                costs.units["change"] += len(msgspec.json.decode(body).get("apply") or ())
        serve(node, method, path, body, reply)

    scenario.state.serve = served  # type: ignore[method-assign]
    number = 0
    every = 1.0 / share
    at = 4.0
    while at < WARM + LONG:
        team = f"team={TEAMS[number % 3]}"
        what = ["kind=service", "tasks=4", "spread=yes"] if number % 4 == 0 else ["tasks=10", "run=15"]
        words = ["submit", f"wk-{number}", team, "cpus=2", *what]
        scenario.world.at(seconds(at), partial(scenario._do, words))
        if number % 4 == 0:
            gone = ["cancel", f"wk-{number}"]
            scenario.world.at(seconds(at + 25), partial(scenario._do, gone))
        number += 1
        at += every
    scenario.world.run_until(seconds(WARM))
    costs.on = True
    before = len(scenario.oracle.starts)
    scenario.world.run_until(seconds(WARM + LONG))
    costs.units["start"] = len(scenario.oracle.starts) - before
    assert scenario.oracle.broken == []
    return costs


RESTART = """
nodes 3
set machine.consolidate=false
state rps=600 write_rps=200 txn_ops=24
team t cpus=100000 max=100000
type g16 cpus=16 memory=64 count=0 spot=0
up g16 count={half}
up g16 zone=b count={half}
"""


def measure_restart(services: int) -> dict[str, float]:
    """All controllers end and start again with so many services of four tasks unfinished, and as many jobs over."""
    scenario = Scenario(RESTART.format(half=-(-services // 5)), 1).run()
    for number in range(services):
        words = ["submit", f"wk-{number}", "team=t", "kind=service", "tasks=4", "cpus=1", "spread=yes"]
        scenario.world.at(seconds(2 + number * 0.05), partial(scenario._do, words))
    settled = 2 + services * 0.05 + 80  # what went back for being idle at first is rented again
    scenario.world.run_until(seconds(settled))
    for number in range(services):
        scenario.state.revision += 1
        scenario.state.keys[f"g/f/wk-9{number:06d}"] = ({"done": True, "tasks": 3}, scenario.state.revision, None)
    starts = len(scenario.oracle.starts)
    asked: Counter[str] = Counter()
    serve = scenario.state.serve

    def served(node: str, method: str, path: str, body: bytes, reply: Replier) -> None:
        asked["pages" if "?prefix=" in path else "other requests"] += 1
        if path == "/commit":
            asked["changes"] += len(msgspec.json.decode(body).get("apply") or ())

        def counted(status: int, answer: bytes) -> None:
            asked["bytes"] += len(answer)
            reply(status, answer)

        serve(node, method, path, body, counted)

    scenario.state.serve = served  # type: ignore[method-assign]
    scenario._do(["crash", "all", "for=5"])
    began = scenario.world.elapsed() + 5
    scenario.world.run_until(seconds(began))
    answered: set[str] = set()
    rows: dict[str, float] = {}
    machines = set(scenario.cloud.machines)
    while len(answered) < len(machines):
        scenario.world.run_until(seconds(scenario.world.elapsed() + 0.05))
        for controller in scenario.controllers:
            if controller.core is not None:
                answered |= {each.id for each in controller.core.machine_manager.machines.values() if each.answered_at}
        if answered and "s to the first answer" not in rows:
            rows["s to the first answer"] = scenario.world.elapsed() - began
        assert scenario.world.elapsed() < began + 60
    rows["s to the last"] = scenario.world.elapsed() - began
    rows |= {what: asked[what] for what in ("pages", "other requests", "changes", "bytes")}
    rows["tasks begun anew"] = len(scenario.oracle.starts) - starts
    assert starts == 4 * services
    assert scenario.oracle.broken == []
    return rows


def main_restart(sizes: list[int]) -> None:
    tables = [measure_restart(size) for size in sizes]
    print(f"{'services':24}" + "".join(f"{size:>12}" for size in sizes))
    for row in tables[0]:
        print(f"{row:24}" + "".join(f"{table[row]:>12.2f}" for table in tables))


def main() -> None:
    if sys.argv[1:2] == ["restart"]:
        main_restart([int(word) for word in sys.argv[2:]] or [100, 200, 400])
        return
    sizes = [int(word) for word in sys.argv[1:]] or [60, 120, 180, 240]
    all_costs = [measure(size) for size in sizes]
    tables = [costs.table() for costs in all_costs]
    print(f"{'':24}" + "".join(f"{size:>12}" for size in sizes))
    for row in tables[0]:
        print(f"{row:24}" + "".join(f"{table[row]:>12.2f}" for table in tables))
    print("calls / start of the functions that are called most:")
    for name, _ in all_costs[-1].calls.most_common(18):
        print(f"{name[-46:]:46}" + "".join(f"{costs.calls[name] / costs.units['start']:>10.1f}" for costs in all_costs))


if __name__ == "__main__":
    main()
