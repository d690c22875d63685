"""A cluster that communicates over HTTP on the loopback interface, in real time.

The simulated cloud, state service, workers and users run in one process with the real controllers. Controllers can be
killed and restarted.
"""

from __future__ import annotations

import errno
import socket
import time
from collections import Counter
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import anyio
import anyio.abc
import msgspec

from gladecroft.coordination.events import Reply, RequestKind
from gladecroft.lab.cloud import SimulatedCloud
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.simulation import ReplyCallback, Simulation, seconds
from gladecroft.lab.state_service import SimulatedStateService
from gladecroft.lab.user import SimulatedUser
from gladecroft.lab.worker import SimulatedMachineType, SimulatedWorker
from gladecroft.protocol import wire
from gladecroft.protocol.settings import OperatorSettings, PlatformSettings
from gladecroft.service import ControllerService
from gladecroft.transport.client import Client
from gladecroft.transport.server import Handler, Request, Response, Server

Json = dict[str, Any]

HOST = "127.0.0.1"
#: Interval at which the simulation is advanced to the real time.
STEP_INTERVAL_S = 0.005
TEAMS: list[Json] = [
    {"name": "kitchen", "cpus": 32.0, "cpus_max": 96.0},
    {"name": "desk", "cpus": 32.0, "cpus_max": 96.0},
]
WORKER_SETTINGS = {"report_s": 1.0, "lease_s": 8.0, "cancel_s": 24.0}
STATE_SETTINGS = {"rps": 300.0, "write_rps": 120.0, "value_kb": 16.0, "txn_ops": 12}
CLOUD_SETTINGS = {"rps": 10.0, "list_lag_s": 1.0}


class LoopbackError(Exception):
    """The cluster cannot be started; the message gives the cause."""


def free_port() -> int:
    """Return a port that was free at the time of the call."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def _as_handler(serve: Callable[[Request, ReplyCallback], None]) -> Handler:
    """Return an HTTP handler for a simulated service, which replies through a callback: immediately, later or never."""

    async def handle(request: Request) -> Response:
        done = anyio.Event()
        responses: list[Response] = []

        def reply(status: int, body: bytes) -> None:
            responses.append(Response(status, body))
            done.set()

        serve(request, reply)
        await done.wait()
        return responses[0]

    return handle


class LoopbackController:
    """A controller that can be killed and restarted, and the address at which users and workers reach it."""

    def __init__(self, name: str, platform: PlatformSettings, client: Client, group: anyio.abc.TaskGroup) -> None:
        self.name = name
        self.platform = platform
        self.alive = False
        self.start_count = 0
        self._client = client
        self._group = group
        self._scope: anyio.CancelScope | None = None
        self.service: ControllerService | None = None
        host, _, port = platform.listen.rpartition(":")
        self._addr = (host, int(port))

    async def run(self, operator_settings: OperatorSettings) -> None:
        """Serve until ``kill`` is called. Raise ``LoopbackError`` if a port of the controller is in use."""
        self.start_count += 1
        self.service = ControllerService(self.platform, operator_settings)

        def started() -> None:
            self.alive = True

        with anyio.CancelScope() as self._scope:
            try:
                await self.service.run(started)
            except* OSError as errors:
                error = errors.exceptions[0]
                if isinstance(error, OSError) and error.errno == errno.EADDRINUSE:
                    raise LoopbackError(f"{self.platform.listen} or {self.platform.peer_listen} is in use") from None
                raise
        self.alive, self.service = False, None

    def kill(self) -> None:
        """Simulate a crash: the controller stops sending, and all its connections break."""
        self.alive = False
        if self._scope is not None:
            self._scope.cancel()

    def handle_request(self, kind: RequestKind, body: bytes, job_id: str, on_reply: Callable[[Reply], None]) -> None:
        """Send the request over HTTP. ``on_reply`` is not called if the connection fails or times out."""
        method, path = {
            RequestKind.REPORT: ("POST", wire.REPORT_PATH),
            RequestKind.SUBMIT: ("POST", wire.SUBMIT_PATH),
            RequestKind.POLL: ("GET", f"{wire.SUBMIT_PATH}/{job_id}"),
            RequestKind.CANCEL: ("POST", f"{wire.SUBMIT_PATH}/{job_id}/{wire.CANCEL_SUFFIX}"),
        }[kind]

        async def send() -> None:
            response = await self._client.request(self._addr, method, path, body or None, timedelta(seconds=5))
            if response.status > 0:
                on_reply(Reply(0, response.status, response.body))

        self._group.start_soon(send)


class LoopbackCluster:
    """A cluster of two zones, two teams and any number of controllers. Boot and run times are divided by ``speed``."""

    def __init__(self, seed: int, controller_count: int, speed: float = 1.0, base_port: int = 0) -> None:
        self.sim = Simulation(seed)
        self.speed = speed
        self.jobs: dict[str, Json] = {}
        self.users: dict[str, SimulatedUser] = {}
        limits = {team["name"]: team["cpus_max"] for team in TEAMS}
        self.oracle = Oracle(self.jobs, limits, WORKER_SETTINGS["cancel_s"], self.sim.elapsed)
        self.state = SimulatedStateService(self.sim, 1.1 * STATE_SETTINGS["rps"], 1.1 * STATE_SETTINGS["write_rps"])
        machine_types = {
            "g16": SimulatedMachineType("g16", 16, 64, 1.0, 0.4, 8 / speed),
            "g8": SimulatedMachineType("g8", 8, 32, 0.6, 0.25, 6 / speed),
        }
        capacity = {(name, zone, spot): 6 for name in machine_types for zone in "ab" for spot in (False, True)}
        self.cloud = SimulatedCloud(self.sim, machine_types, capacity)
        self.cloud.list_lag = seconds(CLOUD_SETTINGS["list_lag_s"])
        self.cloud.new_worker = self._new_worker
        self.controllers: list[LoopbackController] = []
        self._controller_count = controller_count
        self._base_port = base_port
        self._next_job_number = 1
        self._group: anyio.abc.TaskGroup
        self._client = Client(32, timedelta(seconds=1))
        self.kill_count = 0

    # Sockets -------------------------------------------------------------------------------------------------

    async def start(self, group: anyio.abc.TaskGroup, operator_settings: OperatorSettings) -> None:
        """Start the simulated services and the controllers in the task group.

        If a controller's port is in use, its task fails with ``LoopbackError``.
        """
        self._group = group
        group.start_soon(self._advance_simulation)
        state = await self._listen(self._serve_state)
        cloud = await self._listen(
            lambda request, reply: self.cloud.serve("lab", request.method, request.target, request.body, reply)
        )
        ports = [
            (self._base_port + 2 * index, self._base_port + 2 * index + 1)
            if self._base_port
            else (free_port(), free_port())
            for index in range(self._controller_count)
        ]
        names = [f"n{index}" for index in range(self._controller_count)]
        for index, name in enumerate(names):
            table = {
                "label": name,
                "site": "ab"[index % 2],
                "bind": f"{HOST}:{ports[index][0]}",
                "peer_bind": f"{HOST}:{ports[index][1]}",
                "siblings": [
                    {"label": other, "site": "ab"[position % 2], "peer_addr": f"{HOST}:{ports[position][1]}"}
                    for position, other in enumerate(names)
                    if other != name
                ],
                "outside": {"cloud": f"{HOST}:{cloud}", "state": f"{HOST}:{state}"},
                "settings": {
                    "zones": ["a", "b"],
                    "teams": TEAMS,
                    "workers": WORKER_SETTINGS,
                    "state": STATE_SETTINGS,
                    "cloud": CLOUD_SETTINGS,
                },
            }
            self.controllers.append(
                LoopbackController(name, msgspec.convert(table, PlatformSettings), self._client, group)
            )
        for zone in "ab":
            self.cloud.rent("g16", zone, False, boot=timedelta())
        for controller in self.controllers:
            group.start_soon(controller.run, operator_settings)

    async def _listen(self, serve: Callable[[Request, ReplyCallback], None]) -> int:
        port: int = await self._group.start(Server(_as_handler(serve), 200, 1 << 20).serve, HOST, 0)
        return port

    def _serve_state(self, request: Request, reply: ReplyCallback) -> None:
        if request.target.startswith("/watch"):
            after = int(request.target.split("after=")[1].split("&")[0])
            self.state.watch("lab", after, seconds(10), reply)
        else:
            self.state.serve("lab", request.method, request.target, request.body, reply)

    async def _advance_simulation(self) -> None:
        started_at = time.monotonic()
        while True:
            self.sim.run_until(seconds(time.monotonic() - started_at))
            await anyio.sleep(STEP_INTERVAL_S)

    def _new_worker(self, name: str, machine_type: SimulatedMachineType, zone: str, spot: bool) -> SimulatedWorker:
        worker = SimulatedWorker(self.sim, name, machine_type, zone, spot, self.controllers, self.oracle, self.jobs,
                        seconds(WORKER_SETTINGS["lease_s"]), seconds(WORKER_SETTINGS["report_s"]))  # fmt: skip
        port = free_port()
        worker.addr = f"{HOST}:{port}"
        commands = _as_handler(
            lambda request, reply: worker.serve("lab", request.method, request.target, request.body, reply)
        )
        self._group.start_soon(Server(commands, 50, 1 << 20).serve, HOST, port)
        return worker

    # Actions -------------------------------------------------------------------------------------------------

    def submit(self) -> None:
        """Submit the next job of a small mixed load: every eighth job is a service, the others are batch jobs."""
        rng = self.sim.rng
        number = self._next_job_number
        self._next_job_number += 1
        service = number % 8 == 1
        run_time = rng.uniform(3, 12) / self.speed
        spec: Json = {
            "nameId": f"wk-{number}", "cohort": "gateway" if service else "render",
            "owner": TEAMS[number % 2]["name"], "shape": "service" if service else "batch",
            "urgency": "production" if service else rng.choice(["normal", "best_effort"]),
            "portions": 2 if service else rng.randint(1, 6), "cores": 2.0, "cards": 0.0, "memoryGb": 4.0,
            "recipe": "gateway" if service else "render", "imageGb": 0.2, "flavors": None, "district": None,
            "oneZone": False, "apart": service, "leftovers": not service, "expectedS": run_time,
            "snapshotS": 0.0 if service else 2.0, "stashS": 0.0 if service else 0.5, "dueS": None, "runS": run_time,
            "broken": False,
        }  # fmt: skip
        job_id = spec["nameId"]
        self.jobs[job_id] = spec
        user = self.users[job_id] = SimulatedUser(self.sim, self.controllers, self.oracle, spec)
        self.oracle.submit_sent(job_id)
        user.submit()
        if service:
            # Services are cancelled after a while, so that the number of machines changes.
            self.sim.call_later(seconds(40 / self.speed), user.cancel)

    async def kill_random_controller(self, operator_settings: OperatorSettings, downtime: timedelta) -> str:
        """Kill a random running controller and restart it after the downtime.

        Return the controller's name, or "" if no controller runs.
        """
        alive = [controller for controller in self.controllers if controller.alive]
        if not alive:
            return ""
        controller = self.sim.rng.choice(alive)
        controller.kill()
        self.kill_count += 1

        async def restart() -> None:
            await anyio.sleep(downtime.total_seconds())
            await controller.run(operator_settings)

        self._group.start_soon(restart)
        return controller.name

    # Snapshot ------------------------------------------------------------------------------------------------

    def snapshot(self) -> Json:
        """Return the current jobs by state, machines, controllers and rule violations."""
        reported = self.oracle.reported_state
        states = Counter(
            reported.get(job_id, "refused" if self._is_rejected(job_id) else "not accepted yet") for job_id in self.jobs
        )
        machines = [worker for worker in self.cloud.machines.values() if worker.up]
        running = sum(bool(places) for places in self.oracle.running_on.values())
        return {
            "at_s": round(self.sim.elapsed(), 1),
            "jobs": {**dict(sorted(states.items())), "submitted": len(self.jobs)},
            "tasks": {"running": running, "starts": len(self.oracle.starts)},
            "machines": [
                {
                    "name": worker.name,
                    "type": worker.machine_type.name,
                    "zone": worker.zone,
                    "spot": worker.spot,
                    "tasks": sum(worker.name in places for places in self.oracle.running_on.values()),
                }
                for worker in machines
            ],
            "booting": len(self.cloud.machines) - len(machines),
            "controllers": [self._controller_snapshot(controller) for controller in self.controllers],
            "kills": self.kill_count,
            "state_service": "away" if self.state.outage else "there",
            "broken_rules": list(self.oracle.violations),
        }

    def _is_rejected(self, job_id: str) -> bool:
        return any(status in (400, 422) for _, _, status, _ in self.users[job_id].responses)

    def _controller_snapshot(self, controller: LoopbackController) -> Json:
        view = controller.service.core.view() if controller.alive and controller.service is not None else None
        return {
            "name": controller.name,
            "address": controller.platform.listen,
            "peer_address": controller.platform.peer_listen,
            "lives": controller.start_count,
            "role": "down" if view is None else view["role"],
            "epoch": None if view is None else view["epoch"],
            "machines": 0 if view is None else len(view["part"]),
        }
