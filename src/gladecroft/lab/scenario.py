"""Parses a scenario file and runs it in the simulation.

``tests/scenarios/README`` describes the commands. Some scenario words differ from the terms of the code: a node is a
controller, siblings are the other controllers, an odd request is an unusual one, close looks are concurrent polls, a
sick machine is faulty, messages to a deaf machine are lost, and so are messages from a mute controller to machines and
reports of a mute machine.
"""

from __future__ import annotations

import math
import shlex
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec

from gladecroft.lab.cloud import SimulatedCloud
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.placeable_jobs import find_placeable_jobs
from gladecroft.lab.scenario_actions import ScenarioActions
from gladecroft.lab.scenario_expectations import ScenarioExpectations
from gladecroft.lab.scenario_syntax import ACTIONS, SETTING_OPTIONS, ScenarioError, check_options, parse_words
from gladecroft.lab.simulation import SimulatedController, Simulation, seconds
from gladecroft.lab.state_service import SimulatedStateService
from gladecroft.lab.user import SimulatedUser
from gladecroft.lab.worker import SimulatedMachineType, SimulatedWorker
from gladecroft.protocol.settings import OperatorSettings, PlatformSettings

Json = dict[str, Any]

PLATFORM_SETTINGS: Json = {
    "zones": ["a", "b"],
    "teams": [],
    "workers": {"report_s": 3.0, "lease_s": 18.0, "cancel_s": 43.0},
    "state": {"rps": 150.0, "write_rps": 60.0, "value_kb": 16.0, "txn_ops": 12},
    "cloud": {"rps": 3.0, "list_lag_s": 4.0},
}


class Scenario:
    """A simulated cluster and the scenario that sets it up, performs actions on it and checks expectations."""

    def __init__(self, text: str, seed: int) -> None:
        self.sim = Simulation(seed)
        self.jobs: dict[str, Json] = {}
        self.users: dict[str, SimulatedUser] = {}
        self.team_limits: dict[str, float] = {}
        self.operator_settings = OperatorSettings()
        self._teams: list[Json] = []
        self._machine_types: dict[str, SimulatedMachineType] = {}
        self._capacity: dict[tuple[str, str, bool], int] = {}
        self._controller_count = 3
        self._state_limits: Json = dict(PLATFORM_SETTINGS["state"])
        self._memory_mb = 256.0
        self._initial_machines: list[tuple[str, str, bool, int]] = []
        #: Expectations that did not hold, with the actual values.
        self.unmet_expectations: list[str] = []
        lines = [line.split("#", 1)[0].strip() for line in text.splitlines()]
        self._current_line = (0, "")
        self._lines = [(number, line) for number, line in enumerate(lines, 1) if line]

    def run(self) -> Scenario:
        """Run all lines and collect the expectations that do not hold. Raise ``ScenarioError`` if a line is invalid."""
        setting_lines = [
            (number, line)
            for number, line in self._lines
            if line.split()[0] in ("nodes", "team", "type", "set", "state", "memory")
        ]
        other_lines = [(number, line) for number, line in self._lines if (number, line) not in setting_lines]
        for number, line in setting_lines:
            self._handle_line(number, line, self._apply_setting)
        self._build_cluster()
        for number, line in other_lines:
            self._current_line = (number, line)
            self._handle_line(number, line, self._run_line)
        return self

    def _handle_line(self, number: int, line: str, handler: Any) -> None:
        try:
            handler(shlex.split(line))
        except ScenarioError:
            raise
        except (KeyError, ValueError, IndexError, StopIteration, msgspec.ValidationError) as error:
            cause = f"no such {error.args[0]!r}" if isinstance(error, KeyError) else str(error) or "too few arguments"
            raise ScenarioError(f"line {number}: {line!r}: {cause}") from error

    # Setup

    def _apply_setting(self, words: list[str]) -> None:
        args, options = parse_words(words)
        check_options(args[0], options, SETTING_OPTIONS[args[0]])
        if args[0] == "nodes":
            self._controller_count = int(args[1])
        elif args[0] == "team":
            limit = float(options["max"])
            self._teams.append({"name": args[1], "cpus": float(options["cpus"]), "cpus_max": limit})
            self.team_limits[args[1]] = limit or math.inf
        elif args[0] == "type":
            machine_type = SimulatedMachineType(args[1], float(options["cpus"]), float(options["memory"]),
                                float(options.get("price", 1)), float(options.get("spot_price", 0.4)),
                                float(options.get("boot", 30)))  # fmt: skip
            self._machine_types[machine_type.name] = machine_type
            for zone in options.get("zones", "a,b").split(","):
                self._capacity[(machine_type.name, zone, False)] = int(options.get("count", 10))
                self._capacity[(machine_type.name, zone, True)] = int(options.get("spot", 10))
        elif args[0] == "memory":
            self._memory_mb = float(args[1])
        elif args[0] == "set":
            table = {key: value for key, value in options.items()}
            self.operator_settings = msgspec.convert(table, OperatorSettings, strict=False)
        else:
            self._state_limits.update({key: msgspec.json.decode(value) for key, value in options.items()})

    def _build_cluster(self) -> None:
        sim = self.sim
        self.oracle = Oracle(self.jobs, self.team_limits, PLATFORM_SETTINGS["workers"]["cancel_s"], sim.elapsed)
        self.state = SimulatedStateService(sim, self._state_limits["rps"], self._state_limits["write_rps"])
        self.cloud = SimulatedCloud(sim, self._machine_types, self._capacity)
        names = [f"n{index}" for index in range(self._controller_count)]
        self.controllers: list[SimulatedController] = []
        workers: dict[str, Any] = {}
        for name in names:
            table = {
                "label": name,
                "bind": "10.0.0.1:8080",
                "siblings": [{"label": other, "peer_addr": f"{other}:8081"} for other in names if other != name],
                "outside": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
                "settings": {
                    **PLATFORM_SETTINGS,
                    "teams": self._teams,
                    "state": self._state_limits,
                    "resources": {"ram_mb": self._memory_mb},
                },
            }
            controller = SimulatedController(sim, msgspec.convert(table, PlatformSettings), self.operator_settings)
            controller.state, controller.cloud, controller.workers = self.state, self.cloud, workers
            self.controllers.append(controller)
            sim.call_at(seconds(0.1 * len(self.controllers)), controller.start)
        for controller in self.controllers:
            controller.peers_by_addr = {f"{other.name}:8081": other for other in self.controllers}
        lease = PLATFORM_SETTINGS["workers"]["lease_s"]

        def new_worker(name: str, machine_type: SimulatedMachineType, zone: str, spot: bool) -> SimulatedWorker:
            worker = SimulatedWorker(sim, name, machine_type, zone, spot, self.controllers, self.oracle, self.jobs,
                            seconds(lease), seconds(PLATFORM_SETTINGS["workers"]["report_s"]))  # fmt: skip
            workers[worker.addr] = worker
            return worker

        self.cloud.new_worker = new_worker
        self.actions = ScenarioActions(
            sim,
            self.state,
            self.cloud,
            self.controllers,
            self.oracle,
            self.users,
            self.jobs,
            PLATFORM_SETTINGS["zones"],
        )
        self.expectations = ScenarioExpectations(
            self.state, self.cloud, self.oracle, self.users, self.jobs, self.actions.cordon_statuses
        )
        self.oracle.find_placeable_jobs = lambda: find_placeable_jobs(
            self.cloud.machines.values(), self.jobs, self.oracle
        )

        def check_every_second() -> None:
            self.oracle.check_time_limits()
            sim.call_later(seconds(1), check_every_second)

        check_every_second()

    # Lines

    def perform(self, words: list[str]) -> None:
        """Perform an action now, given as the words of a line after the time."""
        self.actions.perform(words)

    def _run_line(self, words: list[str]) -> None:
        keyword = words[0]
        if keyword == "up":
            args, options = parse_words(words)
            check_options(keyword, options, SETTING_OPTIONS[keyword])
            for _ in range(int(options.get("count", "1"))):
                self.cloud.rent(args[1], options.get("zone", "a"), options.get("spot") == "yes", boot=timedelta())
        elif keyword == "at":
            offset, action_words = seconds(float(words[1])), words[2:]
            number, line = self._current_line
            if action_words[0] not in ACTIONS:
                raise ValueError(f"unknown deed {action_words[0]!r}")
            check_options(action_words[0], parse_words(action_words)[1], ACTIONS[action_words[0]])
            if action_words[0] == "submit" and parse_words(action_words)[1].get("team") not in self.team_limits:
                raise ValueError(f"no team {parse_words(action_words)[1].get('team')!r}")

            def perform() -> None:
                self.oracle.record_event(" ".join(action_words))
                self._handle_line(number, line, lambda _: self.perform(action_words))

            self.sim.call_at(offset, perform)
        elif keyword == "run":
            self.sim.run_until(seconds(float(words[1])))
        elif keyword == "expect":
            unmet = self.expectations.check(words[1:])
            if unmet is not None:
                self.unmet_expectations.append(unmet)
        else:
            raise ValueError(f"unknown word {keyword!r}")


def play(path: Path, seed: int) -> Scenario:
    """Run a scenario file and return the finished scenario."""
    return Scenario(path.read_text(encoding="utf-8"), seed).run()
