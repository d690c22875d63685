"""Checks the expectations of a scenario; ``tests/scenarios/README`` describes them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from gladecroft.lab.cloud import SimulatedCloud
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.scenario_syntax import Options, parse_words
from gladecroft.lab.state_service import SimulatedStateService
from gladecroft.lab.user import SimulatedUser

Json = dict[str, Any]


def compare(value: float, operator: str, bound: float) -> bool:
    """Return whether a value meets a bound; the operator is ``<=``, ``>=`` or ``is``."""
    return {"<=": value <= bound, ">=": value >= bound, "is": value == bound}[operator]


class Measure(msgspec.Struct, frozen=True):
    """A number that expectations bound, measured by ``value`` from the expectation's arguments.

    ``verb`` introduces the number in a message; ``arg_count`` arguments precede the comparison.
    """

    value: Callable[[list[str]], float]
    verb: str = "were"
    arg_count: int = 0


class ScenarioExpectations:
    """Checks expectations on the simulated cluster at the time of the call."""

    def __init__(
        self, state: SimulatedStateService, cloud: SimulatedCloud, oracle: Oracle, users: dict[str, SimulatedUser],
        jobs: dict[str, Json], cordon_statuses: list[int],
    ) -> None:  # fmt: skip
        self.state = state
        self.cloud = cloud
        self.oracle = oracle
        self.users = users
        self.jobs = jobs
        self.cordon_statuses = cordon_statuses
        self._measures = {
            "machines": Measure(lambda args: sum(1 for worker in cloud.machines.values() if worker.up), "are"),
            "rentals": Measure(lambda args: cloud.rental_count),
            "starts": Measure(lambda args: len(oracle.starts)),
            "refusals": Measure(lambda args: state.throttled_count),
            "refused": Measure(lambda args: self._statuses().count(int(args[0])), arg_count=1),
            "ghosts": Measure(lambda args: self._tasks_on_missing_machines(), "are"),
            "silence": Measure(lambda args: max(oracle.longest_unanswered_s.values(), default=0.0), "was"),
            "starts-after-cancel": Measure(lambda args: len(oracle.starts_after_cancel)),
            "epoch": Measure(lambda args: state.entries["g/epoch"][0]["number"], "is"),
            "keys": Measure(lambda args: sum(key.startswith(args[0]) for key in state.entries), "are", 1),
        }

    def check(self, words: list[str]) -> str | None:
        """Return None if the expectation holds, else the expectation with the actual value.

        Raise ``ValueError`` if it is unknown or invalid.
        """
        args, options = parse_words(words)
        name, message = args[0], " ".join(words)
        if name == "rules":
            return None
        if name in self.users:
            return None if self._job_meets(name, args[1:], options) else message
        if name == "orders":
            met = self.cordon_statuses == [int(status) for status in args[1:]]
            return None if met else f"{message} (were {self.cordon_statuses})"
        measure = self._measures.get(name)
        if measure is None:
            raise ValueError(f"unknown expectation {name}")
        return self._check_measure(measure, args[1:], message)

    @staticmethod
    def _check_measure(measure: Measure, args: list[str], message: str) -> str | None:
        value = measure.value(args)
        operator, bound = args[measure.arg_count : measure.arg_count + 2]
        if compare(value, operator, float(bound)):
            return None
        shown = f"{value:.1f}" if isinstance(value, float) else value
        return f"{message} ({measure.verb} {shown})"

    def _statuses(self) -> list[int]:
        return [status for user in self.users.values() for _, _, status, _ in user.responses]

    def _tasks_on_missing_machines(self) -> int:
        """Return the number of tasks that the records place on machines that no longer exist."""
        rows = [row for key, entry in self.state.entries.items() if key.startswith("g/p/") for row in entry[0]["tasks"]]
        return sum(1 for row in rows if len(row) > 2 and row[2] and row[2] not in self.cloud.machines)

    def _job_meets(self, job_id: str, args: list[str], options: Options) -> bool:
        user = self.users[job_id]
        starts = [start for start in self.oracle.starts if start[1][0] == job_id]
        match args[0]:
            case "done":
                done_at = self.oracle.done_at.get(job_id)
                return self.oracle.reported_state.get(job_id) == "done" and (
                    "by" not in options or (done_at is not None and done_at <= float(options["by"]))
                )
            case "aborted":
                return self.oracle.reported_state.get(job_id) == "aborted"
            case "told":
                return self.oracle.reported_state.get(job_id) == args[1]
            case "status":
                return any(status == int(args[1]) for _, _, status, _ in user.responses)
            case "starts":
                return compare(len(starts), args[1], float(args[2]))
            case "running":
                running = sum(1 for key, places in self.oracle.running_on.items() if key[0] == job_id and places)
                return compare(running, args[1], float(args[2]))
            case "started":
                return len(starts) >= self.jobs[job_id]["portions"] and starts[-1][0] <= float(options["by"])
            case "zone":
                return {self.oracle.zones[start[2]] for start in starts} == {args[1]}
            case "reason":
                return args[1] in user.last_reason
            case "machines":
                return compare(len({start[2] for start in starts}), args[1], float(args[2]))
        raise ValueError(f"unknown expectation {args[0]}")
