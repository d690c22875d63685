"""Tests one controller on real loopback sockets with a simulated state service, cloud and workers, which use HTTP."""

from __future__ import annotations

import re
from datetime import timedelta
from typing import Any

import anyio
import anyio.abc
import msgspec
from click.testing import CliRunner

from gladecroft.cli import main
from gladecroft.lab.loopback import LoopbackCluster
from gladecroft.lab.simulation import encode_json
from gladecroft.protocol import wire
from gladecroft.protocol.settings import OperatorSettings
from gladecroft.transport.client import Client, ClientResponse

TIMEOUT_S = 60
#: A submission; most field names are explained in ``oracle``, ``fault_injection`` and ``worker`` of ``gladecroft.lab``.
JOB: dict[str, Any] = {
    "nameId": "wk-1", "cohort": "c", "owner": "kitchen", "shape": "batch", "urgency": "normal", "portions": 3,
    "cores": 2.0, "cards": 0.0, "memoryGb": 1.0, "recipe": "i", "imageGb": 0.1, "flavors": None, "district": None,
    "oneZone": False,
    "apart": False, "leftovers": False, "expectedS": 0.5, "snapshotS": 0.0, "stashS": 0.0, "dueS": None,
}  # fmt: skip


async def send_request(cluster: LoopbackCluster, method: str, path: str, body: bytes | None = None) -> ClientResponse:
    addr = ("127.0.0.1", int(cluster.controllers[0].platform.listen.rpartition(":")[2]))
    return await Client(4, timedelta(seconds=1)).request(addr, method, path, body, timedelta(seconds=5))


async def run_job_and_commands() -> None:
    cluster = LoopbackCluster(1, 1, speed=10)
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as group:
            await cluster.start(group, OperatorSettings(policies="cordon"))
            platform = cluster.controllers[0].platform
            port, peer_port = (int(addr.rpartition(":")[2]) for addr in (platform.listen, platform.peer_listen))
            while (await send_request(cluster, "GET", "/healthz")).status != 200:
                await anyio.sleep(0.05)
            await check_rejections(cluster)
            cluster.jobs["wk-1"] = {**JOB, "runS": 0.3}
            assert (await send_request(cluster, "POST", "/work", encode_json(JOB))).status == 201
            assert (await send_request(cluster, "POST", "/work", encode_json(JOB))).status == 200
            while True:
                response = await send_request(cluster, "GET", "/work/wk-1")
                assert response.status == 200
                message = msgspec.json.decode(response.body)
                if message["status"] == "done":
                    break
                await anyio.sleep(0.1)
            assert message["done"] == 3
            response = await send_request(cluster, "POST", "/work/wk-1/abort")
            assert msgspec.json.decode(response.body)["status"] == "done"
            assert cluster.oracle.violations == []
            await check_status_command(port, peer_port)
            await check_cordon_command(peer_port)
            group.cancel_scope.cancel()


async def check_rejections(cluster: LoopbackCluster) -> None:
    for method, path, body, status in (
        ("GET", "/work/wk-404", None, 404),
        ("GET", "/work/what", None, 404),
        ("POST", "/work/wk-404/abort", None, 404),
        ("GET", "/nowhere", None, 404),
        ("PUT", "/work", b"{}", 405),
        ("DELETE", "/work/wk-1", None, 405),
        ("POST", "/work", b"not json", 400),
        ("POST", "/work", b"[]", 400),
        ("POST", "/work", encode_json({**JOB, "portions": 0}), 400),
        ("POST", "/work", encode_json({**JOB, "owner": "nobody"}), 422),
        ("POST", "/work", encode_json({**JOB, "cores": 17.0}), 422),
        ("POST", "/work", b" " * (wire.MAX_BODY_BYTES + 1), 413),
        ("POST", "/agent/beat", b"{}", 400),
    ):
        response = await send_request(cluster, method, path, body)
        assert response.status == status, (method, path, response)
        assert msgspec.json.decode(response.body)["error"]


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

    async def run_cordon(*args: str, port: int = peer_port) -> tuple[int, str]:
        return await anyio.to_thread.run_sync(lambda: run(*args, port=port))

    code, text = await run_cordon("set", "zone", "a", "--why", "disks", "--until", "2100-01-01 06:00 UTC")
    assert (code, text) == (0, "zone a takes nothing new until 2100-01-01 06:00:00 UTC\n")
    code, text = await run_cordon("list")
    assert code == 0 and re.match(r"zone a: \d machines? until 2100-01-01 06:00:00 UTC \(disks", text)
    code, text = await run_cordon("list", "--json")
    assert code == 0 and [entry["name"] for entry in msgspec.json.decode(text)["cordons"]] == ["a"]
    assert (await run_cordon("lift", "zone", "a"))[0] == 0
    assert await run_cordon("list") == (0, "no cordons\n")
    for code, args in (
        (1, ("lift", "zone", "a")),
        (2, ("set", "rack", "a")),
        (2, ("set", "zone", "a", "--for", "2 fortnights")),
        (2, ("set", "zone", "a", "--for", "2h", "--until", "18:00")),
        (2, ("set", "zone", "a", "--until", "1999-01-01")),
        (2, ("set", "zone", "x" * 201)),
    ):
        assert (await run_cordon(*args))[0] == code, args


def test_a_job_from_submission_to_done() -> None:
    anyio.run(run_job_and_commands, backend_options={"use_uvloop": True})
