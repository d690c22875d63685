"""One controller over real sockets on loopback, with the stand-ins behind HTTP."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import anyio
import anyio.abc
import msgspec
from click.testing import CliRunner

from gladecroft.cli import main
from gladecroft.coordination.messages import Reply, Verb
from gladecroft.protocol import wire
from gladecroft.protocol.settings import Operator, Platform
from gladecroft.service import Service
from gladecroft.transport.client import Answer, Client
from gladecroft.transport.server import Request, Response, Server
from oracle import Oracle
from standins import Cloud, Kind, StateService, Worker
from world import World, raw, seconds

LIMIT = 60
JOB: dict[str, Any] = {
    "nameId": "wk-1", "cohort": "c", "owner": "t", "shape": "batch", "urgency": "normal", "portions": 3, "cores": 2.0,
    "cards": 0.0, "memoryGb": 1.0, "recipe": "i", "imageGb": 0.1, "flavors": None, "district": None, "oneZone": False,
    "apart": False, "leftovers": False, "expectedS": 0.5, "snapshotS": 0.0, "stashS": 0.0, "dueS": None,
}  # fmt: skip


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port: int = probe.getsockname()[1]
        return port


class Bridge:
    """Drives the stand-ins' world by the real clock and puts HTTP round them."""

    def __init__(self) -> None:
        self.world = World(1)
        self.jobs: dict[str, Any] = {}
        self.oracle = Oracle(self.jobs, {"t": 16.0}, 20.0, self.world.elapsed)
        self.state = StateService(self.world, 500, 500)
        self.cloud = Cloud(self.world, {"g": Kind("g", 16, 64, 1, 0.5, 1)}, {("g", "a", False): 1, ("g", "a", True): 0})
        self.client = Client(4, timedelta(seconds=1))
        self.group: anyio.abc.TaskGroup
        self.node_port = free_port()
        self.name = "n0"
        self.alive = True

    async def drive(self) -> None:
        began = time.monotonic()
        while True:
            self.world.run_until(seconds(time.monotonic() - began))
            await anyio.sleep(0.005)

    async def _through(self, do: Callable[[Callable[[int, bytes], None]], None]) -> Response:
        done = anyio.Event()
        got: list[Response] = []

        def reply(status: int, body: bytes) -> None:
            got.append(Response(status, body))
            done.set()

        do(reply)
        await done.wait()
        return got[0]

    async def serve_state(self, request: Request) -> Response:
        if request.path.startswith("/watch"):
            after = int(request.path.split("after=")[1].split("&")[0])
            return await self._through(lambda reply: self.state.watch("n0", after, seconds(10), reply))
        return await self._through(
            lambda reply: self.state.serve("n0", request.method, request.path, request.body, reply)
        )

    async def serve_cloud(self, request: Request) -> Response:
        return await self._through(
            lambda reply: self.cloud.serve("n0", request.method, request.path, request.body, reply)
        )

    def ask(self, verb: Verb, body: bytes, job: str, then: Callable[[Reply], None]) -> None:
        """What the worker stand-in takes for a controller."""

        async def report() -> None:
            answer = await self.to_node("POST", wire.REPORT_PATH, body)
            then(Reply(0, answer.status, answer.body))

        assert verb is Verb.REPORT
        self.group.start_soon(report)

    async def to_node(self, method: str, path: str, body: bytes | None = None) -> Answer:
        return await self.client.request(("127.0.0.1", self.node_port), method, path, body, timedelta(seconds=5))


async def listen(group: anyio.abc.TaskGroup, handler: Callable[[Request], Any]) -> int:
    port: int = await group.start(Server(handler, 50, 1 << 20).serve, "127.0.0.1", 0)
    return port


async def play() -> None:
    bridge = Bridge()
    with anyio.fail_after(LIMIT):
        async with anyio.create_task_group() as group:
            bridge.group = group
            group.start_soon(bridge.drive)
            state = await listen(group, bridge.serve_state)
            cloud = await listen(group, bridge.serve_cloud)

            def new_worker(name: str, kind: Kind, zone: str, spot: bool) -> Worker:
                worker = Worker(bridge.world, name, kind, zone, spot, [bridge], bridge.oracle, bridge.jobs,  # type: ignore[list-item]
                                seconds(6), seconds(0.5))  # fmt: skip
                port = free_port()
                worker.addr = f"127.0.0.1:{port}"

                async def commands(request: Request) -> Response:
                    return await bridge._through(
                        lambda reply: worker.direct("n0", request.method, request.path, request.body, reply)
                    )

                group.start_soon(Server(commands, 50, 1 << 20).serve, "127.0.0.1", port)
                return worker

            bridge.cloud.new_worker = new_worker
            peer_port = free_port()
            platform = msgspec.convert(
                {
                    "label": "n0",
                    "bind": f"127.0.0.1:{bridge.node_port}",
                    "peer_bind": f"127.0.0.1:{peer_port}",
                    "outside": {"cloud": f"127.0.0.1:{cloud}", "state": f"127.0.0.1:{state}"},
                    "settings": {
                        "zones": ["a"],
                        "teams": [{"name": "t", "cpus": 8.0, "cpus_max": 16.0}],
                        "workers": {"report_s": 0.5, "lease_s": 6.0, "cancel_s": 20.0},
                        "state": {"rps": 400.0, "write_rps": 400.0, "value_kb": 16.0, "txn_ops": 12},
                        "cloud": {"rps": 20.0, "list_lag_s": 1.0},
                    },
                },
                Platform,
            )
            group.start_soon(Service(platform, Operator(policies="cordon")).run)
            while (await bridge.to_node("GET", "/healthz")).status != 200:
                await anyio.sleep(0.05)
            await check_refusals(bridge)
            bridge.jobs["wk-1"] = {**JOB, "runS": 0.3}
            assert (await bridge.to_node("POST", "/work", raw(JOB))).status == 201
            assert (await bridge.to_node("POST", "/work", raw(JOB))).status == 200
            while True:
                answer = await bridge.to_node("GET", "/work/wk-1")
                assert answer.status == 200
                message = msgspec.json.decode(answer.body)
                if message["status"] == "done":
                    break
                await anyio.sleep(0.1)
            assert message["done"] == 3
            answer = await bridge.to_node("POST", "/work/wk-1/abort")
            assert msgspec.json.decode(answer.body)["status"] == "done"
            assert bridge.oracle.broken == []
            await check_status_command(bridge.node_port, peer_port)
            await check_cordon_command(peer_port)
            group.cancel_scope.cancel()


async def check_refusals(bridge: Bridge) -> None:
    for method, path, body, status in (
        ("GET", "/work/wk-404", None, 404),
        ("GET", "/work/what", None, 404),
        ("POST", "/work/wk-404/abort", None, 404),
        ("GET", "/nowhere", None, 404),
        ("PUT", "/work", b"{}", 405),
        ("DELETE", "/work/wk-1", None, 405),
        ("POST", "/work", b"not json", 400),
        ("POST", "/work", b"[]", 400),
        ("POST", "/work", raw({**JOB, "portions": 0}), 400),
        ("POST", "/work", raw({**JOB, "owner": "nobody"}), 422),
        ("POST", "/work", raw({**JOB, "cores": 17.0}), 422),
        ("POST", "/work", b" " * (wire.MAX_BODY + 1), 413),
        ("POST", "/agent/beat", b"{}", 400),
    ):
        answer = await bridge.to_node(method, path, body)
        assert answer.status == status, (method, path, answer)
        assert msgspec.json.decode(answer.body)["error"]


async def check_status_command(port: int, peer_port: int) -> None:
    def run(*args: str) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["status", *args])
        return result.exit_code, result.output

    code, text = await anyio.to_thread.run_sync(run, "--node", f"127.0.0.1:{port}", "wk-1")
    assert code == 0 and msgspec.json.decode(text)["status"] == "done"
    code, text = await anyio.to_thread.run_sync(run, "--node", f"127.0.0.1:{peer_port}", "--view")
    assert code == 0 and msgspec.json.decode(text)["role"] == "leader"
    code, _ = await anyio.to_thread.run_sync(run, "--node", f"127.0.0.1:{port}", "wk-9")
    assert code == 1


async def check_cordon_command(peer_port: int) -> None:
    def run(*args: str, port: int = peer_port) -> tuple[int, str]:
        result = CliRunner().invoke(main, ["cordon", *args, "--node", f"127.0.0.1:{port}", "--wait", "5"])
        return result.exit_code, result.output

    async def step(*args: str, port: int = peer_port) -> tuple[int, str]:
        return await anyio.to_thread.run_sync(lambda: run(*args, port=port))

    code, text = await step("set", "zone", "a", "--why", "disks", "--until", "2100-01-01 06:00 UTC")
    assert (code, text) == (0, "zone a takes nothing new until 2100-01-01 06:00:00 UTC\n")
    code, text = await step("list")
    assert code == 0 and text.startswith("zone a: 1 machine until 2100-01-01 06:00:00 UTC (disks")
    code, text = await step("list", "--json")
    assert code == 0 and [each["name"] for each in msgspec.json.decode(text)["cordons"]] == ["a"]
    assert (await step("lift", "zone", "a"))[0] == 0
    assert await step("list") == (0, "no cordons\n")
    for code, args in (
        (1, ("lift", "zone", "a")),
        (2, ("set", "rack", "a")),
        (2, ("set", "zone", "a", "--for", "2 fortnights")),
        (2, ("set", "zone", "a", "--for", "2h", "--until", "18:00")),
        (2, ("set", "zone", "a", "--until", "1999-01-01")),
        (2, ("set", "zone", "x" * 201)),
    ):
        assert (await step(*args))[0] == code, args


def test_a_job_from_submission_to_done() -> None:
    anyio.run(play, backend_options={"use_uvloop": True})
