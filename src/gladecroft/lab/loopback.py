"""The lab over real HTTP on loopback, in real time: stand-ins in one process, and controllers that may be ended."""

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
from gladecroft.lab.cloud import Cloud
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.simulation import Replier, World, seconds
from gladecroft.lab.state_service import StateService
from gladecroft.lab.user import User
from gladecroft.lab.worker import Kind, Worker
from gladecroft.protocol import wire
from gladecroft.protocol.settings import OperatorSettings, PlatformSettings
from gladecroft.service import ControllerService
from gladecroft.transport.client import Client
from gladecroft.transport.server import Handler, Request, Response, Server

Json = dict[str, Any]

HOST = "127.0.0.1"
#: How often the stand-ins' world is brought up to the real time.
STEP_S = 0.005
TEAMS: list[Json] = [
    {"name": "kitchen", "cpus": 32.0, "cpus_max": 96.0},
    {"name": "desk", "cpus": 32.0, "cpus_max": 96.0},
]
WORKERS = {"report_s": 1.0, "lease_s": 8.0, "cancel_s": 24.0}
STATE = {"rps": 300.0, "write_rps": 120.0, "value_kb": 16.0, "txn_ops": 12}
CLOUD = {"rps": 10.0, "list_lag_s": 1.0}


class LabError(Exception):
    """The lab can't be started; the text says why."""


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


def _answered(serve: Callable[[Request, Replier], None]) -> Handler:
    """An HTTP handler round a stand-in that replies when it likes."""

    async def handle(request: Request) -> Response:
        done = anyio.Event()
        got: list[Response] = []

        def reply(status: int, body: bytes) -> None:
            got.append(Response(status, body))
            done.set()

        serve(request, reply)
        await done.wait()
        return got[0]

    return handle


class Door:
    """A controller's address, through which users and workers ask; and the controller, while it lives."""

    def __init__(self, name: str, platform: PlatformSettings, client: Client, group: anyio.abc.TaskGroup) -> None:
        self.name = name
        self.platform = platform
        self.alive = False
        self.lives = 0
        self._client = client
        self._group = group
        self._scope: anyio.CancelScope | None = None
        self.service: ControllerService | None = None
        host, _, port = platform.listen.rpartition(":")
        self._addr = (host, int(port))

    async def run(self, operator_settings: OperatorSettings) -> None:
        """Serve until ``kill``. ``LabError`` if its port is in use."""
        self.lives += 1
        self.service = ControllerService(self.platform, operator_settings)

        def started() -> None:
            self.alive = True

        with anyio.CancelScope() as self._scope:
            try:
                await self.service.run(started)
            except* OSError as errors:
                error = errors.exceptions[0]
                if isinstance(error, OSError) and error.errno == errno.EADDRINUSE:
                    raise LabError(f"{self.platform.listen} or {self.platform.peer_listen} is in use") from None
                raise
        self.alive, self.service = False, None

    def kill(self) -> None:
        """End the controller as a crash does: nothing is said, every connection breaks."""
        self.alive = False
        if self._scope is not None:
            self._scope.cancel()

    def ask(self, verb: RequestKind, body: bytes, job: str, then: Callable[[Reply], None]) -> None:
        method, path = {
            RequestKind.REPORT: ("POST", wire.REPORT_PATH),
            RequestKind.SUBMIT: ("POST", wire.SUBMIT_PATH),
            RequestKind.POLL: ("GET", f"{wire.SUBMIT_PATH}/{job}"),
            RequestKind.CANCEL: ("POST", f"{wire.SUBMIT_PATH}/{job}/{wire.CANCEL_SUFFIX}"),
        }[verb]

        async def carry() -> None:
            answer = await self._client.request(self._addr, method, path, body or None, timedelta(seconds=5))
            if answer.status > 0:
                then(Reply(0, answer.status, answer.body))

        self._group.start_soon(carry)


class Lab:
    """Two zones, two teams, N controllers. Machines' boots and tasks' run times are divided by ``speed``."""

    def __init__(self, seed: int, controllers: int, speed: float = 1.0, base_port: int = 0) -> None:
        self.world = World(seed)
        self.speed = speed
        self.jobs: dict[str, Json] = {}
        self.users: dict[str, User] = {}
        limits = {team["name"]: team["cpus_max"] for team in TEAMS}
        self.oracle = Oracle(self.jobs, limits, WORKERS["cancel_s"], self.world.elapsed)
        self.state = StateService(self.world, 1.1 * STATE["rps"], 1.1 * STATE["write_rps"])
        kinds = {"g16": Kind("g16", 16, 64, 1.0, 0.4, 8 / speed), "g8": Kind("g8", 8, 32, 0.6, 0.25, 6 / speed)}
        capacity = {(name, zone, spot): 6 for name in kinds for zone in "ab" for spot in (False, True)}
        self.cloud = Cloud(self.world, kinds, capacity)
        self.cloud.lag = seconds(CLOUD["list_lag_s"])
        self.cloud.new_worker = self._new_worker
        self.doors: list[Door] = []
        self._count = controllers
        self._base_port = base_port
        self._next_job = 1
        self._group: anyio.abc.TaskGroup
        self._client = Client(32, timedelta(seconds=1))
        self.kills = 0

    # Sockets -------------------------------------------------------------------------------------------------

    async def start(self, group: anyio.abc.TaskGroup, operator_settings: OperatorSettings) -> None:
        """Bring all up. ``LabError`` if a port is in use."""
        self._group = group
        group.start_soon(self._drive)
        state = await self._listen(self._to_state)
        cloud = await self._listen(
            lambda request, reply: self.cloud.serve("lab", request.method, request.path, request.body, reply)
        )
        ports = [
            (self._base_port + 2 * index, self._base_port + 2 * index + 1)
            if self._base_port
            else (free_port(), free_port())
            for index in range(self._count)
        ]
        names = [f"n{index}" for index in range(self._count)]
        for index, name in enumerate(names):
            table = {
                "label": name,
                "site": "ab"[index % 2],
                "bind": f"{HOST}:{ports[index][0]}",
                "peer_bind": f"{HOST}:{ports[index][1]}",
                "siblings": [
                    {"label": other, "site": "ab"[at % 2], "peer_addr": f"{HOST}:{ports[at][1]}"}
                    for at, other in enumerate(names)
                    if other != name
                ],
                "outside": {"cloud": f"{HOST}:{cloud}", "state": f"{HOST}:{state}"},
                "settings": {"zones": ["a", "b"], "teams": TEAMS, "workers": WORKERS, "state": STATE, "cloud": CLOUD},
            }
            self.doors.append(Door(name, msgspec.convert(table, PlatformSettings), self._client, group))
        for zone in "ab":
            self.cloud.rent("g16", zone, False, boot=timedelta())
        for door in self.doors:
            group.start_soon(door.run, operator_settings)

    async def _listen(self, serve: Callable[[Request, Replier], None]) -> int:
        port: int = await self._group.start(Server(_answered(serve), 200, 1 << 20).serve, HOST, 0)
        return port

    def _to_state(self, request: Request, reply: Replier) -> None:
        if request.path.startswith("/watch"):
            after = int(request.path.split("after=")[1].split("&")[0])
            self.state.watch("lab", after, seconds(10), reply)
        else:
            self.state.serve("lab", request.method, request.path, request.body, reply)

    async def _drive(self) -> None:
        began = time.monotonic()
        while True:
            self.world.run_until(seconds(time.monotonic() - began))
            await anyio.sleep(STEP_S)

    def _new_worker(self, name: str, kind: Kind, zone: str, spot: bool) -> Worker:
        worker = Worker(self.world, name, kind, zone, spot, self.doors, self.oracle, self.jobs,
                        seconds(WORKERS["lease_s"]), seconds(WORKERS["report_s"]))  # fmt: skip
        port = free_port()
        worker.addr = f"{HOST}:{port}"
        commands = _answered(
            lambda request, reply: worker.direct("lab", request.method, request.path, request.body, reply)
        )
        self._group.start_soon(Server(commands, 50, 1 << 20).serve, HOST, port)
        return worker

    # Deeds ---------------------------------------------------------------------------------------------------

    def submit(self) -> None:
        """One more job of a small mixed load: mostly arrays, now and then a service."""
        draw = self.world.random
        number = self._next_job
        self._next_job += 1
        service = number % 8 == 1
        span = draw.uniform(3, 12) / self.speed
        spec: Json = {
            "nameId": f"wk-{number}", "cohort": "gateway" if service else "render",
            "owner": TEAMS[number % 2]["name"], "shape": "service" if service else "batch",
            "urgency": "production" if service else draw.choice(["normal", "best_effort"]),
            "portions": 2 if service else draw.randint(1, 6), "cores": 2.0, "cards": 0.0, "memoryGb": 4.0,
            "recipe": "gateway" if service else "render", "imageGb": 0.2, "flavors": None, "district": None,
            "oneZone": False, "apart": service, "leftovers": not service, "expectedS": span,
            "snapshotS": 0.0 if service else 2.0, "stashS": 0.0 if service else 0.5, "dueS": None, "runS": span,
            "broken": False,
        }  # fmt: skip
        job = spec["nameId"]
        self.jobs[job] = spec
        user = self.users[job] = User(self.world, self.doors, self.oracle, spec)
        self.oracle.submit_sent(job)
        user.submit()
        if service:
            # So that services come and go, and the fleet with them.
            self.world.later(seconds(40 / self.speed), user.cancel)

    async def kill_one(self, operator_settings: OperatorSettings, down: timedelta) -> str:
        """End one controller that lives, and start it again after a while; its name, or "" if none lives."""
        live = [door for door in self.doors if door.alive]
        if not live:
            return ""
        door = self.world.random.choice(live)
        door.kill()
        self.kills += 1

        async def back() -> None:
            await anyio.sleep(down.total_seconds())
            await door.run(operator_settings)

        self._group.start_soon(back)
        return door.name

    # What is to be seen --------------------------------------------------------------------------------------

    def snapshot(self) -> Json:
        """Jobs by state, machines by zone, controllers, as they are; rules that are broken."""
        told = self.oracle.told
        states = Counter(told.get(job, "refused" if self._refused(job) else "not accepted yet") for job in self.jobs)
        machines = [worker for worker in self.cloud.machines.values() if worker.up]
        running = sum(bool(places) for places in self.oracle.where.values())
        return {
            "at_s": round(self.world.elapsed(), 1),
            "jobs": {**dict(sorted(states.items())), "submitted": len(self.jobs)},
            "tasks": {"running": running, "starts": len(self.oracle.starts)},
            "machines": [
                {
                    "name": worker.name,
                    "type": worker.kind.name,
                    "zone": worker.zone,
                    "spot": worker.spot,
                    "tasks": sum(worker.name in places for places in self.oracle.where.values()),
                }
                for worker in machines
            ],
            "booting": len(self.cloud.machines) - len(machines),
            "controllers": [self._controller(door) for door in self.doors],
            "kills": self.kills,
            "state_service": "away" if self.state.outage else "there",
            "broken_rules": list(self.oracle.broken),
        }

    def _refused(self, job: str) -> bool:
        return any(status in (400, 422) for _, _, status, _ in self.users[job].answers)

    def _controller(self, door: Door) -> Json:
        view = door.service.core.view() if door.alive and door.service is not None else None
        return {
            "name": door.name,
            "address": door.platform.listen,
            "peer_address": door.platform.peer_listen,
            "lives": door.lives,
            "role": "down" if view is None else view["role"],
            "epoch": None if view is None else view["epoch"],
            "machines": 0 if view is None else len(view["part"]),
        }
