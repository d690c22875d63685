"""A simulated worker: the agent of one machine, as PROTOCOL describes it.

It passes every start and end of a task to the oracle. Names on the wire: a hearth is a machine, a portion a task, a try
an attempt, a shift a session, a tally the sequence number of a report, a baton a fencing token, a steward the
controller to report to, mercy the grace period of a stop, and a recipe an image.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any

import msgspec

from gladecroft.coordination.events import Reply, RequestKind
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.simulation import ControllerEndpoint, ReplyCallback, Simulation, WorkerServer, encode_json, seconds

Json = dict[str, Any]


class SimulatedMachineType(msgspec.Struct):
    """A machine type: resources, on-demand and spot price, and the usual boot time in seconds."""

    name: str
    cpus: float
    memory: float
    price: float
    spot_price: float
    boot_s: float


class WorkerTask(msgspec.Struct):
    """An attempt of a task as its worker knows it; ``state`` and ``cause`` have the values of PROTOCOL."""

    attempt: int
    state: str
    cause: str | None = None
    saved: bool = False


class SimulatedWorker(WorkerServer):
    """One machine and its agent. ``job_specs`` holds the job descriptions, which workers fetch by themselves."""

    def __init__(
        self, sim: Simulation, name: str, machine_type: SimulatedMachineType, zone: str, spot: bool,
        controllers: Sequence[ControllerEndpoint], oracle: Oracle, job_specs: dict[str, Json], lease: timedelta,
        report_interval: timedelta,
    ) -> None:  # fmt: skip
        self.sim = sim
        self.name = name
        self.addr = f"10.1.0.{int(name[2:])}:9000"
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.controllers = controllers
        self.oracle = oracle
        self.job_specs = job_specs
        self.lease = lease
        self.report_interval = report_interval
        self.up = self.failed = self.hung = self.terminated = self.faulty = False
        self.slowdown = 1.0
        self.session = 1
        self.seq = 0
        self.token = 0
        self.reclaim_at: timedelta | None = None
        self.tasks: dict[tuple[str, int], WorkerTask] = {}
        self.images: set[str] = set()
        self.controller_index = sim.rng.randrange(len(controllers))
        self._report_id = 0
        self._awaiting_response = False
        self._next_report_at = sim.now
        self._last_report_at = sim.now
        self._report_due = False
        self._lease_renewed_at = sim.now
        self._deferred: list[Callable[[], None]] = []
        #: Probability that a report is delivered a second time, and the longest delay of the duplicate in seconds.
        self.duplicate_reports: tuple[float, float] = (0.0, 0.0)
        #: Called with each report that is sent.
        self.on_report_sent: Callable[[bytes], None] | None = None
        #: Until then the worker's reports are lost; commands from controllers arrive and are answered.
        self.reports_lost_until = sim.now

    # Boot and failures

    def boot(self) -> None:
        """Start to report, unless the machine was returned to the cloud before it was up."""
        if self.terminated:
            return
        self.up = True
        self._lease_renewed_at = self._next_report_at = self.sim.now
        self._tick()

    def terminate(self, failed: bool = False) -> None:
        """Stop the machine and all its tasks, because it was returned to the cloud or has failed."""
        self.terminated = self.terminated or not failed
        self.failed = failed or self.failed
        self.up = False
        for key in list(self.tasks):
            self._drop_task(key)

    def reboot(self, duration: timedelta) -> None:
        """Lose power, and boot after the duration with the same name and address, in a new session without tasks and
        images."""
        self.up = False
        for key in list(self.tasks):
            self._drop_task(key)
        self.images.clear()

        def restart() -> None:
            if not self.terminated:
                self.session += 1
                self.token = 0
                self._awaiting_response = False
                self.boot()

        self.sim.call_later(duration, restart)

    def hang(self, duration: timedelta) -> None:
        """Suspend the machine. Events during the suspension are handled when it resumes, after the lease check."""
        self.hung = True

        def resume() -> None:
            self.hung = False
            deferred, self._deferred = self._deferred, []
            self._check_lease()
            for callback in deferred:
                callback()

        self.sim.call_later(duration, resume)

    def _drop_task(self, key: tuple[str, int]) -> None:
        self.tasks.pop(key, None)
        self.oracle.task_stopped(key, self.name)

    def _check_lease(self) -> None:
        """End all tasks and begin a new session if the lease has expired."""
        if self.up and self.sim.now - self._lease_renewed_at > self.lease:
            for key in list(self.tasks):
                self._drop_task(key)
            self.session += 1
            self._lease_renewed_at = self.sim.now
            self._request_report()

    def _request_report(self) -> None:
        self._report_due = True

    def _tick(self) -> None:
        if not self.up:
            return
        self._check_lease()
        if not self.hung:
            now = self.sim.now
            if (
                not self._awaiting_response
                and now >= self._next_report_at
                and now - self._last_report_at >= seconds(0.5)
                or not self._awaiting_response
                and self._report_due
                and now - self._last_report_at >= seconds(0.5)
            ):
                self._send_report()
        self.sim.call_later(seconds(0.1), self._tick)

    def _build_report(self) -> Json:
        self.seq += 1
        return {
            "hearth": self.name, "endpoint": self.addr, "flavor": self.machine_type.name, "district": self.zone,
            "leftovers": self.spot, "shift": self.session, "tally": self.seq, "baton": self.token,
            "warningS": None if self.reclaim_at is None else max(0.0, (self.reclaim_at - self.sim.now).total_seconds()),
            "portions": [
                {"portion": f"{job}/{number}", "try": task.attempt, "status": task.state, "cause": task.cause,
                 "saved": task.saved}
                for (job, number), task in self.tasks.items()
            ],
        }  # fmt: skip

    def _send_report(self) -> None:
        now = self.sim.now
        self._awaiting_response, self._report_due = True, False
        self._last_report_at = now
        self._next_report_at = now + self.report_interval * self.sim.rng.uniform(0.75, 1.25)
        self._report_id += 1
        report_id, session = self._report_id, self.session
        controller = self.controllers[self.controller_index]
        body = encode_json(self._build_report())
        sent_at = now

        def give_up() -> None:
            if report_id == self._report_id and self._awaiting_response:
                self._switch_controller(None)

        def handle_response(status: int, reply: bytes) -> None:
            if not self.up:
                return
            if self.hung:
                self._deferred.append(lambda: handle_response(status, reply))
                return
            if report_id != self._report_id or not self._awaiting_response:
                return
            if status == 200:
                self._awaiting_response = False
                message = msgspec.json.decode(reply)
                if session == self.session and message.get("baton", -1) >= self.token:
                    self._adopt_token(message["baton"])
                    self._lease_renewed_at = max(self._lease_renewed_at, sent_at)
                    for command in message["orders"]:
                        self._execute(command)
            elif status == 421:
                self._switch_controller(msgspec.json.decode(reply).get("steward"))
            else:
                self._switch_controller(None)

        def arrive() -> None:
            if not controller.alive:
                self.sim.send(controller.name, self.name, lambda: handle_response(-1, b""))
                return

            def send_response(reply: Reply) -> None:
                self.sim.send(controller.name, self.name, lambda: handle_response(reply.status, reply.body))

            controller.handle_request(RequestKind.REPORT, body, "", send_response)

        self.sim.call_later(seconds(4), give_up)
        if self.on_report_sent is not None:
            self.on_report_sent(body)
        if now < self.reports_lost_until:
            return
        self.sim.send(self.name, controller.name, arrive)
        if self.sim.rng.random() < self.duplicate_reports[0]:
            # The duplicate reaches a random controller later, if that one is up then; its response is ignored.
            other = self.sim.rng.choice(list(self.controllers))
            delay = seconds(self.sim.rng.uniform(1.0, self.duplicate_reports[1]))
            self.sim.call_later(
                delay,
                lambda: other.handle_request(RequestKind.REPORT, body, "", lambda reply: None) if other.alive else None,
            )

    def _switch_controller(self, report_target: str | None) -> None:
        """Send the next report to the given controller as soon as possible.

        If none is given, or if it is unknown or the current one, choose the next one in turn, after a pause.
        """
        self._awaiting_response = False
        names = [controller.name for controller in self.controllers]
        if report_target in names and names.index(report_target) != self.controller_index:
            self.controller_index = names.index(report_target)
            self._next_report_at = self.sim.now
        else:
            self.controller_index = (self.controller_index + 1) % len(names)
            self._next_report_at = self.sim.now + seconds(1)
            self._last_report_at = max(self._last_report_at, self.sim.now + seconds(0.5))

    def _adopt_token(self, token: int) -> None:
        if token > self.token:
            self.token = token
            self._request_report()

    def serve(self, node: str, method: str, path: str, body: bytes, reply: ReplyCallback) -> None:
        """Handle a status request, or execute commands if they carry the current session and no outdated token."""
        if self.hung:
            self._deferred.append(lambda: self.serve(node, method, path, body, reply))
            return
        if not self.up:
            return
        if method == "GET":
            reply(200, encode_json(self._build_report()))
            return
        message = msgspec.json.decode(body)
        if message["baton"] < self.token or message["shift"] != self.session:
            reply(409, encode_json(self._build_report()))
            return
        self._adopt_token(message["baton"])
        for command in message["orders"]:
            self._execute(command)
        reply(200, encode_json(self._build_report()))

    # Tasks

    def _execute(self, command: Json) -> None:
        job, _, number_text = command["portion"].rpartition("/")
        key = (job, int(number_text))
        task = self.tasks.get(key)
        command_type, attempt = command["verb"], command["try"]
        if command_type == "start":
            if task is not None and task.attempt == attempt:
                return
            self._request_report()
            if task is not None:
                if task.state == "exited":
                    self.tasks[key] = WorkerTask(attempt, "exited", "busy")
                return
            if job not in self.job_specs or key[1] >= self.job_specs[job]["portions"]:
                self.tasks[key] = WorkerTask(attempt, "exited", "no_such")
                return
            spec = self.job_specs[job]
            used = sum(self.job_specs[k[0]]["cores"] for k, t in self.tasks.items() if t.state != "exited")
            memory = sum(self.job_specs[k[0]]["memoryGb"] for k, t in self.tasks.items() if t.state != "exited")
            if (
                used + spec["cores"] > self.machine_type.cpus + 1e-9
                or memory + spec["memoryGb"] > self.machine_type.memory + 1e-9
            ):
                self.tasks[key] = WorkerTask(attempt, "exited", "full")
                return
            fetching = self.tasks[key] = WorkerTask(attempt, "fetching")
            duration = 0.0 if spec["recipe"] in self.images else spec["imageGb"]
            self.sim.call_later(seconds(duration), lambda: self._start_running(key, fetching))
        elif task is None or task.attempt != attempt:
            return
        elif command_type == "halt":
            if task.state == "exited":
                return
            spec = self.job_specs[job]
            if task.state == "running" and spec["snapshotS"] > 0 and command.get("mercyS", 0) >= spec["stashS"]:
                task.state = "flushing"
                self._request_report()
                self.sim.call_later(seconds(spec["stashS"]), lambda: self._finish(key, task, "halted", True))
            elif task.state != "flushing" or command.get("mercyS", 0) == 0:
                self._finish(key, task, "halted", False)
        elif command_type == "reap" and task.state == "exited":
            del self.tasks[key]
            self._request_report()

    def _start_running(self, key: tuple[str, int], task: WorkerTask) -> None:
        if self.hung:
            self._deferred.append(lambda: self._start_running(key, task))
            return
        if self.tasks.get(key) is not task or task.state != "fetching":
            return
        spec = self.job_specs[key[0]]
        self.images.add(spec["recipe"])
        task.state = "running"
        self._request_report()
        self.oracle.task_started(key, self.name, task.attempt, self.machine_type.name, self.zone, self.spot)
        if self.faulty or spec.get("broken"):
            self.sim.call_later(seconds(0.5), lambda: self._finish(key, task, "error", False))
        elif spec["shape"] != "service":
            self.sim.call_later(seconds(spec["runS"] * self.slowdown), lambda: self._finish(key, task, "done", False))

    def _finish(self, key: tuple[str, int], task: WorkerTask, cause: str, saved: bool) -> None:
        if self.hung:
            self._deferred.append(lambda: self._finish(key, task, cause, saved))
            return
        if self.tasks.get(key) is not task or task.state == "exited":
            return
        if cause == "done" and task.state != "running":
            return
        task.state, task.cause, task.saved = "exited", cause, saved
        self.oracle.task_stopped(key, self.name)
        if cause == "done":
            self.oracle.task_completed(key)
        self._request_report()
