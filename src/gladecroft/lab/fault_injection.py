"""Scenario actions that keep state between events: combined cancellations, unusual requests, replayed reports.

``tests/scenarios/README`` describes the actions.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gladecroft.coordination.events import RequestKind
from gladecroft.lab.cloud import SimulatedCloud
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.simulation import SimulatedController, Simulation, seconds
from gladecroft.lab.state_service import SimulatedStateService
from gladecroft.lab.user import SimulatedUser
from gladecroft.lab.worker import SimulatedWorker

Json = dict[str, Any]

#: Time over which the cancellations of one action are spread.
CANCEL_SPREAD_S = 0.2
MAX_HUNG_MACHINES = 8
#: Services and jobs with a longer run time count as long-running.
LONG_RUN_S = 10.0
#: Upper bounds of the delay between a response and the concurrent requests that follow it: one request per controller
#: and entry.
POLL_DELAYS_MS = (0.0, 2.0, 8.0)
UNUSUAL_REQUEST_INTERVAL_S = 0.7
LEADER_CHECK_INTERVAL_S = 0.05
#: Changes that make a valid job invalid: a field's new value, or None to remove the field. The fields are those of a
#: submission: cores and memoryGb of a task, flavors (machine types), owner (team), cards (GPUs), portions (tasks),
#: shape (kind of job) and urgency (priority).
INVALID_CHANGES: tuple[Json, ...] = (
    {"cores": 1e6}, {"memoryGb": 1e6}, {"flavors": ["none"]}, {"owner": "nobody"}, {"cards": 64.0},
    {"owner": None}, {"cores": None}, {"portions": None}, {"shape": None}, {"portions": 0}, {"cores": -1.0},
    {"urgency": "soon"}, {"portions": 2.5}, {"cores": "4"}, {"portions": 100_001},
)  # fmt: skip


class FaultInjector:
    """Performs the actions on the scenario's users, workers and controllers."""

    def __init__(
        self, sim: Simulation, state: SimulatedStateService, cloud: SimulatedCloud,
        controllers: list[SimulatedController], oracle: Oracle, users: dict[str, SimulatedUser],
    ) -> None:  # fmt: skip
        self.sim = sim
        self.state = state
        self.cloud = cloud
        self.controllers = controllers
        self.oracle = oracle
        self.users = users
        self._captured_reports: list[bytes] = []
        self._invalid_job_count = 0
        self._last_leader = ""

    # Replayed reports ----------------------------------------------------------------------------------------

    def replay_reports_on_leader_change(self, share: float, until_s: float) -> None:
        """Capture this share of the present machines' reports until ``until_s``.

        Whenever the leader changes, the copies captured so far are delivered to every controller.
        """
        self._last_leader = self._current_leader()
        for worker in self.cloud.machines.values():
            worker.on_report_sent = lambda body: (
                self._captured_reports.append(body) if self.sim.rng.random() < share else None
            )
        self._watch_leader(until_s)

    def _current_leader(self) -> str:
        return str(self.state.entries["g/epoch"][0]["leader"]) if "g/epoch" in self.state.entries else ""

    def _watch_leader(self, until_s: float) -> None:
        leader = self._current_leader()
        if leader != self._last_leader:
            self._last_leader = leader
            reports, self._captured_reports = self._captured_reports, []
            for body in reports:
                for target in self.controllers:
                    delay = seconds(self.sim.rng.uniform(0.0, 0.5))
                    self.sim.call_later(delay, lambda to=target, body=body: self._deliver(to, body))  # type: ignore[misc]
        if self.sim.elapsed() < until_s:
            self.sim.call_later(seconds(LEADER_CHECK_INTERVAL_S), lambda: self._watch_leader(until_s))
        else:
            for worker in self.cloud.machines.values():
                worker.on_report_sent = None
            self._captured_reports.clear()

    @staticmethod
    def _deliver(controller: SimulatedController, body: bytes) -> None:
        if controller.alive:
            controller.handle_request(RequestKind.REPORT, body, "", lambda reply: None)

    # Cancellations -------------------------------------------------------------------------------------------

    def cancel_running_jobs(self, count: int, hang_s: float) -> None:
        """Cancel up to ``count`` long-running jobs within ``CANCEL_SPREAD_S``.

        If ``hang_s`` is not zero, up to ``MAX_HUNG_MACHINES`` of the machines that run them hang for that time.
        """
        running = sorted(job_id for job_id, user in self.users.items() if self._is_long_running(job_id, user))
        chosen = self.sim.rng.sample(running, min(count, len(running)))
        machines: dict[str, SimulatedWorker] = {}
        for job_id in chosen:
            self.sim.call_later(seconds(self.sim.rng.uniform(0, CANCEL_SPREAD_S)), self.users[job_id].cancel)
            for worker in self.cloud.machines.values():
                if any(key[0] == job_id for key in worker.tasks):
                    machines[worker.name] = worker
        for worker in list(machines.values())[:MAX_HUNG_MACHINES] if hang_s else ():
            worker.hang(seconds(hang_s))

    def _is_long_running(self, job_id: str, user: SimulatedUser) -> bool:
        if user.cancelling or job_id in self.oracle.cancel_requested or job_id not in self.oracle.accepted_at:
            return False
        if not any(key[0] == job_id and places for key, places in self.oracle.running_on.items()):
            return False
        return bool(user.spec["shape"] == "service" or user.spec["runS"] > LONG_RUN_S)

    def cancel_on_completion(self, share: float, until_s: float) -> None:
        """Cancel this share of the jobs within 10 ms of their completion."""

        def on_done(job_id: str) -> None:
            user = self.users.get(job_id)
            if user is not None and self.sim.elapsed() < until_s and self.sim.rng.random() < share:
                self.sim.call_later(seconds(self.sim.rng.uniform(0, 0.01)), user.cancel)

        self.oracle.on_job_done.append(on_done)

    # Requests ------------------------------------------------------------------------------------------------

    def send_concurrent_polls(self, until_s: float, cancel_probability: float) -> None:
        """Send concurrent requests about a job whenever a response first reports it as accepted, done or cancelled.

        Within milliseconds the user polls the job, or repeats its submission, at all controllers. With
        ``cancel_probability`` the user cancels the job as soon as it is accepted.
        """
        seen: set[tuple[str, str]] = set()

        def on_response(job_id: str, kind: RequestKind, state: str) -> None:
            user = self.users.get(job_id)
            outcome = state if state in ("done", "aborted") else "accepted"
            if user is None or self.sim.elapsed() >= until_s or (job_id, outcome) in seen:
                return
            seen.add((job_id, outcome))
            for controller in self.controllers:
                for delay_ms in POLL_DELAYS_MS:
                    kind = RequestKind.SUBMIT if self.sim.rng.random() < 0.2 else RequestKind.POLL
                    send = self._request_callback(user, kind, controller)
                    self.sim.call_later(seconds(delay_ms * self.sim.rng.uniform(0.2, 1.0) / 1000), send)
            if outcome == "accepted" and self.sim.rng.random() < cancel_probability:
                self.sim.call_later(seconds(self.sim.rng.uniform(0, 0.01)), user.cancel)

        self.oracle.on_response.append(on_response)

    @staticmethod
    def _request_callback(
        user: SimulatedUser, kind: RequestKind, controller: SimulatedController
    ) -> Callable[[], None]:
        return lambda: user.send_request(kind, controller) if controller.alive else None

    def send_unusual_requests(self, until_s: float) -> None:
        """Repeat submissions of jobs that are not reported as done, cancel jobs that are, and submit invalid jobs."""
        if self.sim.elapsed() >= until_s:
            return
        rng = self.sim.rng
        available = [controller for controller in self.controllers if controller.alive]
        accepted = sorted(job_id for job_id in self.oracle.accepted_at if job_id in self.users)
        if available and accepted:
            user = self.users[rng.choice(accepted)]
            final = self.oracle.final_state.get(user.id)
            # A job that was reported as done must still be reported as done after a cancellation.
            user.send_request(
                RequestKind.CANCEL if final is not None and final[0] == "done" else RequestKind.SUBMIT,
                rng.choice(available),
            )
        if available:
            self._invalid_job_count += 1
            job_id = f"wk-{900_000 + self._invalid_job_count}"
            template = self.users[rng.choice(sorted(self.users))].spec if self.users else {}
            change = rng.choice(INVALID_CHANGES)
            spec = {**template, "nameId": job_id, **change}
            spec = {key: value for key, value in spec.items() if value is not None or key not in change}
            self.oracle.invalid_job_ids.add(job_id)
            user = SimulatedUser(self.sim, self.controllers, self.oracle, spec)
            user.send_request(RequestKind.SUBMIT, rng.choice(available))
        self.sim.call_later(
            seconds(rng.uniform(0.5, 1.5) * UNUSUAL_REQUEST_INTERVAL_S), lambda: self.send_unusual_requests(until_s)
        )
