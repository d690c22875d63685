"""A small deployment on loopback addresses: real controller processes and simulated services around them.

The state service, the cloud, the machines and the users are the project's own simulated ones (``gladecroft.lab``). They
run in the process of the script, in real time, and are served over HTTP. Controllers are separate processes that are
started with the command of the deploy file. Every controller has ports of its own for the state service and the cloud,
so a script can treat one controller differently from the others.
"""

from __future__ import annotations

import ctypes
import itertools
import json
import os
import resource
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

import anyio  # noqa: E402
import anyio.abc  # noqa: E402

from gladecroft.coordination.events import Reply, RequestKind  # noqa: E402
from gladecroft.lab.cloud import SimulatedCloud  # noqa: E402
from gladecroft.lab.oracle import Oracle  # noqa: E402
from gladecroft.lab.placeable_jobs import find_placeable_jobs  # noqa: E402
from gladecroft.lab.simulation import ReplyCallback, Simulation, seconds  # noqa: E402
from gladecroft.lab.state_service import SimulatedStateService  # noqa: E402
from gladecroft.lab.user import SimulatedUser  # noqa: E402
from gladecroft.lab.worker import SimulatedMachineType, SimulatedWorker  # noqa: E402
from gladecroft.protocol import wire  # noqa: E402
from gladecroft.transport.client import Client  # noqa: E402
from gladecroft.transport.server import Request, Response, Server  # noqa: E402


def _loopback_host() -> str:
    """A loopback address of this process's own, so that cases that run at the same time do not share ports."""
    host = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.1"
    try:
        with socket.socket() as probe:
            probe.bind((host, 0))
    except OSError:
        return "127.0.0.1"
    return host


HOST = _loopback_host()
Json = dict[str, Any]

__all__ = [
    "Cluster",
    "ControllerProcess",
    "SimulatedMachineType",
    "Worker",
    "anyio",
    "find_placeable_jobs",
    "main",
    "run_cluster",
    "seconds",
]


#: Limits of PROTOCOL, "Controller nodes -> state service", that do not come from the settings.
MAX_TXN_BYTES = 64 * 1024
PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


def main(run: Callable[[], Any]) -> None:
    """Run a case and exit with its code; a case that fails by itself or runs out of time could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        code = anyio.run(run)
    except BaseException:
        traceback.print_exc()
        code = 2
    sys.exit(code)


_ports = itertools.count(20000 + os.getpid() % 1000)


def free_port() -> int:
    """A free port below the range from which the system takes the ports of outgoing connections."""
    for port in _ports:
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


async def run_cluster(cluster: Cluster, play: Callable[[Cluster], Any]) -> int:
    """Start the cluster, play the case on it and end all processes."""
    code = 2
    try:
        async with anyio.create_task_group() as group:
            await cluster.start(group)
            if await cluster.wait_healthy(15):
                code = await play(cluster)
            else:
                cluster.record.write("the controllers did not become healthy")
            group.cancel_scope.cancel()
    finally:
        cluster.stop()
        cluster.record.write(f"result: {code}")
    return code


class Record:
    """Writes what was sent, answered and run to ``record.txt``, one line each, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8", buffering=1)
        self._start = time.monotonic()

    def elapsed(self) -> float:
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        self._file.write(f"{self.elapsed():8.3f} {text}\n")


class ControllerProcess:
    """A controller process; also the address at which simulated machines and users reach it."""

    def __init__(self, cluster: Cluster, name: str, zone: str) -> None:
        self.cluster = cluster
        self.name = name
        self.zone = zone
        self.port, self.peer_port = free_port(), free_port()
        self.state_port = self.cloud_port = 0
        self.addr = (HOST, self.port)
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = cluster.folder / f"{name}.log"
        self.settings_path = cluster.folder / f"{name}.toml"
        self.max_files: int | None = None
        self.ended: list[int] = []

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def start(self) -> None:
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        env = {key: value for key, value in os.environ.items() if key != "GLADECROFT_PROPERTIES"}
        env["LOG_LEVEL"] = os.environ.get("LOG_LEVEL", "info")
        limit = self.max_files

        def prepare() -> None:
            _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)  # the process ends with the script, however that ends
            if limit is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

        command = [*shlex.split(run), str(self.settings_path)]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL, preexec_fn=prepare
            )
        self.cluster.record.write(f"{self.name}: started as process {self.process.pid}")

    def send_signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.cluster.record.write(f"{self.name}: {number.name} sent to process {self.process.pid}")
            self.process.send_signal(number)

    def kill(self) -> None:
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()
            self.process = None

    def handle_request(self, kind: RequestKind, body: bytes, job_id: str, on_reply: Callable[[Reply], None]) -> None:
        method, path = {
            RequestKind.REPORT: ("POST", wire.REPORT_PATH),
            RequestKind.SUBMIT: ("POST", wire.SUBMIT_PATH),
            RequestKind.POLL: ("GET", f"{wire.SUBMIT_PATH}/{job_id}"),
            RequestKind.CANCEL: ("POST", f"{wire.SUBMIT_PATH}/{job_id}/{wire.CANCEL_SUFFIX}"),
        }[kind]
        client = self.cluster.worker_side if kind is RequestKind.REPORT else self.cluster.user_side
        text = body.decode() if kind is not RequestKind.REPORT else ""

        async def send() -> None:
            if kind is not RequestKind.REPORT:
                self.cluster.record.write(f"user -> {self.name}: {method} {path} {text[:60]}")
            response = await client.request(self.addr, method, path, body or None, timedelta(seconds=5))
            if kind is not RequestKind.REPORT:
                self.cluster.record.write(
                    f"{self.name} -> user: {method} {path}: {response.status} {response.body.decode()[:120]}"
                )
            if response.status > 0:
                on_reply(Reply(0, response.status, response.body))
            elif kind is RequestKind.REPORT:
                on_reply(Reply(0, 500, b"{}"))  # a connection failure: the machine tries the next controller

        self.cluster.group.start_soon(send)


class RecordingOracle(Oracle):
    """The project's oracle; also writes the starts and ends of tasks to the record."""

    record: Record

    def task_started(self, key: Any, machine_id: str, attempt: int, *place: Any) -> None:
        self.record.write(f"{machine_id}: {key[0]}/{key[1]} attempt {attempt} starts")
        super().task_started(key, machine_id, attempt, *place)

    def task_stopped(self, key: Any, machine_id: str) -> None:
        if machine_id in self.running_on.get(key, {}):
            self.record.write(f"{machine_id}: {key[0]}/{key[1]} ends")
        super().task_stopped(key, machine_id)


class Worker(SimulatedWorker):
    """The project's simulated machine; writes the commands that it executes to the record."""

    record: Record

    def _execute(self, command: Json) -> None:
        self.record.write(f"{self.name}: command {command['verb']} {command['portion']} attempt {command['try']}")
        super()._execute(command)

    def end_task(self, job_id: str, number: int) -> None:
        """Let a running task complete now."""
        task = self.tasks.get((job_id, number))
        if task is not None and task.state == "running":
            self._finish((job_id, number), task, "done", False)

    def announce_reclaim(self, notice: timedelta) -> None:
        """Report from now on that the cloud takes the machine back after this time."""
        self.reclaim_at = self.sim.now + notice
        self._request_report()

    def free_cores(self) -> float:
        used = sum(self.job_specs[key[0]]["cores"] for key, task in self.tasks.items() if task.state != "exited")
        return self.machine_type.cpus - used if self.up and not self.hung else 0.0


class Cluster:
    """Controllers, simulated services, machines and users of one run."""

    def __init__(
        self, case: Path, *, seed: int = 1, controllers: int = 3, zones: tuple[str, ...] = ("a",),
        teams: list[Json] | None = None, workers: Json | None = None, state: Json | None = None,
        cloud: Json | None = None, resources: Json | None = None, types: dict[str, SimulatedMachineType] | None = None,
        capacity: int = 8,
    ) -> None:  # fmt: skip
        self.record = Record(case / "record.txt")
        self._temp = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temp.name)
        self.sim = Simulation(seed)
        self.jobs: dict[str, Json] = {}
        self.users: dict[str, SimulatedUser] = {}
        self.teams = teams or [{"name": "desk", "cpus": 64.0, "cpus_max": 128.0}]
        self.worker_settings = workers or {"report_s": 3.0, "lease_s": 17.0, "cancel_s": 47.0}
        self.state_settings = state or {"rps": 200.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 24}
        self.cloud_settings = cloud or {"rps": 5.0, "list_lag_s": 4.0}
        self.resources = resources or {"core_share": 1.25, "ram_mb": 266.0, "fd_limit": 1800}
        self.zones = zones
        limits = {team["name"]: team["cpus_max"] or float("inf") for team in self.teams}
        self.oracle = RecordingOracle(self.jobs, limits, self.worker_settings["cancel_s"], self.sim.elapsed)
        self.oracle.record = self.record
        self.state = SimulatedStateService(self.sim, self.state_settings["rps"], self.state_settings["write_rps"])
        machine_types = types or {"desk16": SimulatedMachineType("desk16", 16, 32, 0.7, 0.3, 5.0)}
        pools = {(name, zone, spot): capacity for name in machine_types for zone in zones for spot in (False, True)}
        self.cloud = SimulatedCloud(self.sim, machine_types, pools)
        self.cloud.list_lag = seconds(self.cloud_settings["list_lag_s"])
        self.cloud.new_worker = self._new_worker
        self.worker_side = Client(200, timedelta(seconds=1))
        self.user_side = Client(200, timedelta(seconds=1))
        self.controllers = [
            ControllerProcess(self, f"n{index}", zones[index % len(zones)]) for index in range(controllers)
        ]
        #: Commits that exceeded a limit: when, by whom, and their size.
        self.rejected_commits: list[tuple[float, str, int]] = []
        self.group: anyio.abc.TaskGroup

    def rent(self, machine_type: str, zone: str, spot: bool = False) -> Worker:
        """Start a machine that is up at once."""
        worker = self.cloud.machines[self.cloud.rent(machine_type, zone, spot, boot=timedelta())]
        assert isinstance(worker, Worker)
        return worker

    async def start(self, group: anyio.abc.TaskGroup, start_controllers: bool = True) -> None:
        self.group = group
        group.start_soon(self._advance)
        for controller in self.controllers:
            controller.state_port = await self.listen(self._state_handler(controller.name))
            controller.cloud_port = await self.listen(self._cloud_handler(controller.name))
        for controller in self.controllers:
            self.write_settings(controller)
            if start_controllers:
                controller.start()

    def stop(self) -> None:
        for controller in self.controllers:
            controller.kill()
        self._temp.cleanup()

    def write_settings(self, controller: ControllerProcess) -> None:
        lines = [
            f'label = "{controller.name}"', f'site = "{controller.zone}"', f'bind = "{HOST}:{controller.port}"',
            f'peer_bind = "{HOST}:{controller.peer_port}"',
        ]  # fmt: skip
        for other in self.controllers:
            if other is not controller:
                lines += ["[[siblings]]", f'label = "{other.name}"', f'site = "{other.zone}"',
                          f'peer_addr = "{HOST}:{other.peer_port}"']  # fmt: skip
        lines += ["[outside]", f'cloud = "{HOST}:{controller.cloud_port}"', f'state = "{HOST}:{controller.state_port}"',
                  "[settings]", f"initial_size = {len(self.controllers)}", f"zones = {json.dumps(list(self.zones))}",
                  "time_bound_ms = 250.0"]  # fmt: skip
        for team in self.teams:
            lines += ["[[settings.teams]]", *(f"{key} = {json.dumps(value)}" for key, value in team.items())]
        for table, values in (("workers", self.worker_settings), ("state", self.state_settings),
                              ("cloud", self.cloud_settings), ("resources", self.resources)):  # fmt: skip
            lines += [f"[settings.{table}]", *(f"{key} = {json.dumps(value)}" for key, value in values.items())]
        controller.settings_path.write_text("\n".join(lines) + "\n")

    async def listen(self, handler: Callable[[Request, ReplyCallback], None]) -> int:
        async def handle(request: Request) -> Response:
            done = anyio.Event()
            responses: list[Response] = []

            def reply(status: int, body: bytes) -> None:
                responses.append(Response(status, body))
                done.set()

            handler(request, reply)
            await done.wait()
            return responses[0]

        port: int = await self.group.start(Server(handle, 4000, 1 << 20).serve, HOST, free_port())
        return port

    def _state_handler(self, name: str) -> Callable[[Request, ReplyCallback], None]:
        def handle(request: Request, reply: ReplyCallback) -> None:
            if request.target.startswith("/watch"):
                after = int(request.target.split("after=")[1].split("&")[0])
                self.state.watch(name, after, seconds(10), reply)
            else:
                self.on_state_request(name, request, reply)

        return handle

    def on_state_request(self, name: str, request: Request, reply: ReplyCallback) -> None:
        """Reject what exceeds the limits of PROTOCOL; the project's simulated state service does not check them."""
        if request.target == wire.COMMIT_PATH and not self.state.outage and name not in self.state.rejected_controllers:
            fault = self._limit_exceeded(request.body)
            if fault:
                self.record.write(f"{name} -> state: POST /commit of {len(request.body)} bytes: 400 {fault}")
                self.rejected_commits.append((self.record.elapsed(), name, len(request.body)))
                reply(400, json.dumps({"error": fault}).encode())
                return
        self.state.serve(name, request.method, request.target, request.body, reply)

    def _limit_exceeded(self, body: bytes) -> str:
        txn = json.loads(body)
        ops, max_ops = txn.get("apply") or [], self.state_settings["txn_ops"]
        values = [len(json.dumps(op["data"], separators=(",", ":")).encode()) for op in ops if "write" in op]
        if len(body) > MAX_TXN_BYTES:
            return "more than 64 KiB in all"
        if len(ops) > max_ops or len(txn["if"]) > 4 * max_ops:
            return "too many changes or conditions"
        if max(values, default=0) > self.state_settings["value_kb"] * 1024:
            return "a value is too large"
        return ""

    def _cloud_handler(self, name: str) -> Callable[[Request, ReplyCallback], None]:
        return lambda request, reply: self.cloud.serve(name, request.method, request.target, request.body, reply)

    async def _advance(self) -> None:
        started_at = time.monotonic()
        last_check = 0.0
        while True:
            now = time.monotonic() - started_at
            self.sim.run_until(seconds(now))
            if now - last_check >= 0.5:
                last_check = now
                self.oracle.check_time_limits()
                for controller in self.controllers:
                    process = controller.process
                    if process is not None and process.poll() is not None and process.pid not in controller.ended:
                        controller.ended.append(process.pid)
                        self.record.write(
                            f"{controller.name}: process {process.pid} ended by itself, code {process.returncode}"
                        )
            await anyio.sleep(0.005)

    def _new_worker(self, name: str, machine_type: SimulatedMachineType, zone: str, spot: bool) -> SimulatedWorker:
        worker = Worker(
            self.sim, name, machine_type, zone, spot, self.controllers, self.oracle, self.jobs,
            seconds(self.worker_settings["lease_s"]), seconds(self.worker_settings["report_s"]),
        )  # fmt: skip
        worker.record = self.record
        port = free_port()
        worker.addr = f"{HOST}:{port}"

        async def commands(request: Request) -> Response:
            done = anyio.Event()
            responses: list[Response] = []

            def reply(status: int, body: bytes) -> None:
                responses.append(Response(status, body))
                done.set()

            worker.serve("lab", request.method, request.target, request.body, reply)
            await done.wait()
            return responses[0]

        self.group.start_soon(Server(commands, 200, 1 << 20).serve, HOST, port)
        return worker

    # Users ---------------------------------------------------------------------------------------------------

    def spec(self, job_id: str, **changes: Any) -> Json:
        spec: Json = {
            "nameId": job_id, "cohort": "reconciliation", "owner": self.teams[0]["name"], "shape": "batch",
            "urgency": "normal", "portions": 4, "cores": 4.0, "cards": 0.0, "memoryGb": 6.0, "recipe": "img",
            "imageGb": 0.3, "flavors": None, "district": None, "oneZone": False, "apart": False, "leftovers": True,
            "expectedS": 20.0, "snapshotS": 0.0, "stashS": 0.0, "dueS": None, "runS": 20.0, "broken": False,
        }  # fmt: skip
        spec.update(changes)
        if spec["shape"] == "service":
            spec.update({"expectedS": 0.0, "leftovers": False, "urgency": changes.get("urgency", "production")})
        return spec

    def submit(self, spec: Json) -> SimulatedUser:
        self.jobs[spec["nameId"]] = spec
        user = self.users[spec["nameId"]] = SimulatedUser(self.sim, self.controllers, self.oracle, spec)
        self.oracle.submit_sent(spec["nameId"])
        user.submit()
        return user

    async def http(
        self, addr: tuple[str, int], method: str, path: str, body: bytes | None = None, timeout: float = 5.0
    ) -> tuple[int, bytes]:
        response = await self.user_side.request(addr, method, path, body, timedelta(seconds=timeout))
        return response.status, response.body

    async def healthy(self, controller: ControllerProcess) -> bool:
        status, _ = await self.http(controller.addr, "GET", wire.HEALTH_PATH, timeout=1.0)
        return status == 200

    async def wait_healthy(self, timeout: float = 30.0) -> bool:
        with anyio.move_on_after(timeout):
            while True:
                states = [await self.healthy(controller) for controller in self.controllers if controller.alive]
                if states and all(states):
                    return True
                await anyio.sleep(0.2)
        return False
