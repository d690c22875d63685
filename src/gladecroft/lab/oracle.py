"""Checks the rules of PROTOCOL while a scenario runs.

Simulated machines and users report what they observe to ``Oracle``, which records each violation of a rule. Rules:

- ``ran_twice``: a task ran on two machines at once.
- ``quota``: a team used more cores than its limit.
- ``wrong_place``: a task ran on a machine type, in a zone or on a spot machine that its job does not allow, or against
  the job's zone constraints.
- ``ran_cancelled``: a task ran long after its job's cancellation was confirmed.
- ``forgotten``: a request about an accepted job got status 400, 404 or 422, or requests about it got no successful
  response for long.
- ``invented``: a job was reported that was never submitted.
- ``went_back``: a final state changed, or a job was reported as cancelled without a cancellation.
- ``not_done``: a job was reported as done before all its tasks had completed.
- ``took_impossible``: an invalid job was accepted.
- ``left_waiting``: a job stayed queued for long although free capacity fits it.

Job descriptions have the field names of a submission: nameId is the job id, owner the team, portions the number of
tasks, flavors the machine types, district the zone, apart asks for tasks spread over zones, oneZone for tasks in one
zone, and leftovers allows spot machines. The status "aborted" means cancelled.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from gladecroft.coordination.events import RequestKind

Json = dict[str, Any]
#: Job id and task number.
TaskKey = tuple[str, int]


#: Number of recent events that are kept.
MAX_EVENTS = 200
#: How long requests about an accepted job may stay without a successful response after the last injected failure ends.
MAX_UNANSWERED_S = 75.0
#: How long a job may stay queued while free capacity fits it, after the last injected failure ends.
MAX_PLACEABLE_WAIT_S = 90.0
PLACEABLE_CHECK_INTERVAL_S = 2.0
#: States that a job never leaves.
FINAL_STATES = ("done", "aborted")


class Oracle:
    """Records the task starts and the users' requests and responses of a scenario, and the violations of rules.

    ``team_limits`` holds each team's limit in cores. A task may run for ``cancel_s`` after its job's cancellation has
    been confirmed to the user. All times are in seconds since the start of the scenario.
    """

    def __init__(self, jobs: dict[str, Json], team_limits: dict[str, float], cancel_s: float, now: Callable[[], float]):
        self.jobs = jobs
        self.team_limits = team_limits
        self.cancel_s = cancel_s
        self.now = now
        self.violations: list[str] = []
        #: The latest events as text, printed with a violation to help find its cause.
        self.events: deque[str] = deque(maxlen=MAX_EVENTS)
        #: For each task, the machines on which it runs with their type, their zone and whether they are spot machines.
        self.running_on: dict[TaskKey, dict[str, tuple[str, str, bool]]] = {}
        #: The zone of each machine on which a task has started.
        self.zones: dict[str, str] = {}
        #: Each start of a task: time, task, machine and attempt.
        self.starts: list[tuple[float, TaskKey, str, int]] = []
        #: Starts after the cancellation of the job was confirmed to its user.
        self.starts_after_cancel: list[tuple[float, TaskKey, str, int]] = []
        #: Jobs that cannot run, lack a field or have an invalid value: no controller may accept them.
        self.invalid_job_ids: set[str] = set()
        #: Called with the id of each job whose tasks have all completed.
        self.on_job_done: list[Callable[[str], None]] = []
        #: Called with the job, the request kind and the reported state of each successful response.
        self.on_response: list[Callable[[str, RequestKind, str], None]] = []
        #: Returns the queued jobs that fit into the free capacity.
        self.find_placeable_jobs: Callable[[], set[str]] = set
        self._placeable_since: dict[str, float] = {}
        self._placeable_checked_at = 0.0
        #: The numbers of each job's completed tasks.
        self.completed_tasks: dict[str, set[int]] = {}
        #: The state last reported to the user of each job; after a final state, only final states are recorded.
        self.reported_state: dict[str, str] = {}
        #: When each job's acceptance was first reported to its user.
        self.accepted_at: dict[str, float] = {}
        #: The final state of each job, and when it was first reported.
        self.final_state: dict[str, tuple[str, float]] = {}
        self.submitted: set[str] = set()
        self.cancel_requested: set[str] = set()
        #: When each cancellation was confirmed to the user.
        self.cancel_confirmed_at: dict[str, float] = {}
        #: When the last task of each job completed.
        self.done_at: dict[str, float] = {}
        #: When the last of the injected failures ends.
        self.failures_end_at = 0.0
        #: When the first request about each accepted job since the last successful response was sent.
        self.unanswered_since: dict[str, float] = {}
        #: The longest time until a successful response about each job, counted from the end of the last failure at the
        #: earliest.
        self.longest_unanswered_s: dict[str, float] = {}

    def extend_failures(self, until: float) -> None:
        """Record that an injected failure lasts until ``until``.

        The time limits on responses and on the placement of queued jobs run from its end.
        """
        self.failures_end_at = max(self.failures_end_at, until)

    def record_event(self, text: str) -> None:
        """Add an entry to the recent events."""
        self.events.append(f"{self.now():8.1f} {text}")

    def _report_violation(self, rule: str, text: str) -> None:
        self.violations.append(f"{rule} at {self.now():.1f}: {text}")

    # Observations of machines

    def task_started(
        self, key: TaskKey, machine_id: str, attempt: int, machine_type: str, zone: str, spot: bool
    ) -> None:
        """Record and check the start of a task on a machine."""
        spec = self.jobs[key[0]]
        self.starts.append((self.now(), key, machine_id, attempt))
        self.zones[machine_id] = zone
        self.record_event(f"{key[0]}/{key[1]}#{attempt} starts on {machine_id}")
        machines = self.running_on.setdefault(key, {})
        if any(other_id != machine_id for other_id in machines):
            self._report_violation("ran_twice", f"{key} starts on {machine_id} while running on {sorted(machines)}")
        machines[machine_id] = (machine_type, zone, spot)
        self._check_quota(spec["owner"])
        self._check_placement(key[0], spec, machine_type, zone, spot)
        self._check_cancelled(key)

    def task_stopped(self, key: TaskKey, machine_id: str) -> None:
        """Record that a task no longer runs on a machine."""
        self.record_event(f"{key[0]}/{key[1]} ends on {machine_id}")
        self.running_on.get(key, {}).pop(machine_id, None)

    def task_completed(self, key: TaskKey) -> None:
        """Record that a task has completed successfully."""
        done = self.completed_tasks.setdefault(key[0], set())
        done.add(key[1])
        if len(done) == self.jobs[key[0]]["portions"]:
            self.done_at.setdefault(key[0], self.now())
            for callback in self.on_job_done:
                callback(key[0])

    def _check_quota(self, team: str) -> None:
        used = sum(
            self.jobs[job_id]["cores"] * len(machines)
            for (job_id, _), machines in self.running_on.items()
            if self.jobs[job_id]["owner"] == team
        )
        if used > self.team_limits[team] + 1e-6:
            self._report_violation("quota", f"{team} uses {used} of {self.team_limits[team]}")

    def _check_placement(self, job_id: str, spec: Json, machine_type: str, zone: str, spot: bool) -> None:
        if spec["flavors"] is not None and machine_type not in spec["flavors"]:
            self._report_violation("wrong_place", f"{job_id} on type {machine_type}")
        if spec["district"] is not None and zone != spec["district"]:
            self._report_violation("wrong_place", f"{job_id} in zone {zone}")
        if spot and not spec["leftovers"]:
            self._report_violation("wrong_place", f"{job_id} on a spot machine")
        zones = [
            place[1]
            for (other_id, _), machines in self.running_on.items()
            if other_id == job_id
            for place in machines.values()
        ]
        if spec["oneZone"] and len(set(zones)) > 1:
            self._report_violation("wrong_place", f"{job_id} in zones {sorted(set(zones))}")
        if spec["apart"] and zones.count(zone) > (spec["portions"] + 1) // 2:
            self._report_violation("wrong_place", f"{job_id} has {zones.count(zone)} tasks in {zone}")

    def _check_cancelled(self, key: TaskKey) -> None:
        confirmed_at = self.cancel_confirmed_at.get(key[0])
        if confirmed_at is None:
            return
        self.starts_after_cancel.append(self.starts[-1])
        if self.now() - confirmed_at > self.cancel_s:
            self._report_violation("ran_cancelled", f"{key} starts")

    def check_time_limits(self) -> None:
        """Check the rules that depend on elapsed time; the scenario calls this once per simulated second."""
        for key, machines in self.running_on.items():
            confirmed_at = self.cancel_confirmed_at.get(key[0])
            if machines and confirmed_at is not None and self.now() - confirmed_at > self.cancel_s:
                self._report_violation("ran_cancelled", f"{key} still runs on {sorted(machines)}")
        for job_id in list(self.unanswered_since):
            unanswered_s = self._unanswered_s(job_id)
            if unanswered_s > MAX_UNANSWERED_S and job_id in self.accepted_at and job_id not in self.cancel_requested:
                self._report_violation(
                    "forgotten", f"no request about {job_id} has had a successful response for {unanswered_s:.0f} s"
                )
                del self.unanswered_since[job_id]
        self._check_placeable_jobs()

    def _check_placeable_jobs(self) -> None:
        """Check that no job stays queued for long while it fits into the free capacity, once all failures are over."""
        now = self.now()
        if now < self.failures_end_at:
            self._placeable_since.clear()
        elif now - self._placeable_checked_at >= PLACEABLE_CHECK_INTERVAL_S:
            self._placeable_checked_at = now
            placeable = {
                job_id
                for job_id in self.find_placeable_jobs()
                if job_id in self.accepted_at and job_id not in self.cancel_requested
            }
            for job_id in [job_id for job_id in self._placeable_since if job_id not in placeable]:
                del self._placeable_since[job_id]
            for job_id in placeable:
                if now - self._placeable_since.setdefault(job_id, now) > MAX_PLACEABLE_WAIT_S:
                    self._report_violation(
                        "left_waiting",
                        f"{job_id} has been queued for {MAX_PLACEABLE_WAIT_S:g} s while free capacity fits it",
                    )
                    self._placeable_since[job_id] = now

    def _unanswered_s(self, job_id: str) -> float:
        """Return how long requests about a job have had no successful response since the last failure ended."""
        return self.now() - max(self.unanswered_since[job_id], self.failures_end_at)

    # Observations of users

    def submit_sent(self, job_id: str) -> None:
        """Record that a user has sent a submission."""
        self.submitted.add(job_id)

    def cancel_sent(self, job_id: str) -> None:
        """Record that a user has sent a cancellation."""
        self.cancel_requested.add(job_id)

    def request_sent(self, job_id: str) -> None:
        """Record that a user has sent a request about a job."""
        if job_id in self.accepted_at:
            self.unanswered_since.setdefault(job_id, self.now())

    def response_received(
        self, job_id: str, request_kind: RequestKind, status: int, body: bytes, sent_at: float | None = None
    ) -> None:
        """Record and check a response. ``sent_at`` is when its request was sent (None: now).

        A response may report an older state than another response only if its request was sent before the other
        response arrived.
        """
        now = self.now()
        sent_at = now if sent_at is None else sent_at
        if status in (400, 404, 422) and sent_at >= self.accepted_at.get(job_id, math.inf):
            self._report_violation("forgotten", f"{request_kind.value} of {job_id} got a response with status {status}")
        if status not in (200, 201):
            return
        if job_id in self.invalid_job_ids:
            self._report_violation(
                "took_impossible",
                f"{job_id} is invalid, but {request_kind.value} got a response with status {status}",
            )
            return
        if job_id not in self.submitted:
            self._report_violation("invented", f"{job_id} was never submitted")
            return
        self.accepted_at.setdefault(job_id, now)
        if job_id in self.unanswered_since:
            self.longest_unanswered_s[job_id] = max(
                self.longest_unanswered_s.get(job_id, 0.0), self._unanswered_s(job_id)
            )
            del self.unanswered_since[job_id]
        state = msgspec.json.decode(body)["status"]
        final_state, final_at = self.final_state.get(job_id, ("", math.inf))
        if final_state and state != final_state and (sent_at >= final_at or state in FINAL_STATES):
            self._report_violation("went_back", f"{job_id} was {final_state}, then reported as {state}")
        if state == "aborted" and job_id not in self.cancel_requested:
            self._report_violation("went_back", f"{job_id} is reported as cancelled, but its user did not cancel it")
        if state == "done" and len(self.completed_tasks.get(job_id, ())) < self.jobs[job_id]["portions"]:
            self._report_violation("not_done", f"{job_id} is reported as done, but not all of its tasks have completed")
        if state == "aborted":
            self.cancel_confirmed_at.setdefault(job_id, now)
        if state in FINAL_STATES:
            self.final_state.setdefault(job_id, (state, now))
        if state in FINAL_STATES or not final_state:
            self.reported_state[job_id] = state
        for callback in self.on_response:
            callback(job_id, request_kind, state)
