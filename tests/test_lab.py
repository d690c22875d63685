"""Tests the lab: errors in scenarios, ``lab play``, overlapping faults and a loopback cluster with failures."""

from __future__ import annotations

import socket
from datetime import timedelta
from pathlib import Path

import anyio
import msgspec
import pytest
from click.testing import CliRunner

from gladecroft.cli import main
from gladecroft.lab.loopback import LoopbackCluster
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.scenario import Scenario
from gladecroft.lab.scenario_syntax import ScenarioError
from gladecroft.lab.simulation import Simulation
from gladecroft.lab.state_service import SimulatedStateService
from gladecroft.protocol.settings import OperatorSettings

SMALL_CLUSTER = "team t cpus=16 max=16\ntype g16 cpus=16 memory=64 boot=5\nup g16\n"
TIMEOUT_S = 90


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("at 1 sumbit wk-1 team=t", "unknown deed 'sumbit'"),
        ("at 1 submit wk-1 team=t cpu=4", "submit knows no 'cpu'"),
        ("at 1 late-writes share=0.2 for=5 at_once=true", "late-writes: at_once is yes or no, not 'true'"),
        ("at 1 cancel-at-end share=20 for=5", "cancel-at-end: share is a part from 0 to 1, not 20"),
        ("at 1 close-looks for=5 cancel=0.2", "close-looks knows no 'cancel'"),
        ("at 1 cancel-now hang=5", "no such 'count'"),
        (
            "at 1 request-copies machine share=1 late=9 for=5",
            "request-copies knows no machine (known: machines, state,",
        ),
        ("at 1 request-copies share=1 late=9 for=5", "request-copies needs a target (known: machines, state, cloud,"),
        ("at 1 request-copies machines share=1 for=5", "no such 'late'"),
        ("at 1 submit wk-1 team=u", "no team 'u'"),
        ("at 1 crash n7 for=2", "no controller 'n7'"),
        ("at 1 die 9", "no machine '9' at that time"),
        ("at 1 cancel wk-9", "no job 'wk-9' at that time"),
        ("up g17", "no such 'g17'"),
        ("at 1 crash n0 for=soon", "could not convert string to float: 'soon'"),
        ("exepct wk-1 done", "unknown word 'exepct'"),
    ],
)
def test_error_of_an_invalid_scenario_names_the_line_and_the_word(line: str, message: str) -> None:
    with pytest.raises(ScenarioError) as error:
        Scenario(SMALL_CLUSTER + line + "\nrun 5", 1).run()
    assert str(error.value).startswith(f"line 4: {line!r}: {message}")


def test_exit_code_and_output_of_play(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def run(text: str, *args: str) -> tuple[int, str]:
        path = tmp_path / "x.txt"
        path.write_text(SMALL_CLUSTER + text)
        result = CliRunner().invoke(main, ["lab", "play", str(path), *args])
        return result.exit_code, result.output

    load = "at 1 submit wk-1 team=t tasks=2 cpus=2 run=5\nrun 30\n"
    code, text = run(load + "expect wk-1 done")
    assert code == 0 and "seed 1: good, 2 starts" in text
    repeated = [run(load + "expect wk-1 done", "--seed", "7", "--json") for _ in range(2)]
    assert repeated[0] == repeated[1] and msgspec.json.decode(repeated[0][1])["seed"] == 7
    code, text = run(load + "expect wk-1 starts is 3")
    assert code == 1 and "not as expected: wk-1 starts is 3" in text
    assert run("at 1 fly n0\nrun 3")[0] == 2
    assert CliRunner().invoke(main, ["lab", "play", str(tmp_path / "none.txt")]).exit_code == 2
    # A rule violation is printed together with the preceding events.
    monkeypatch.setattr(
        Oracle, "task_completed", lambda oracle, key: oracle._report_violation("ran_twice", "for the test")
    )
    code, text = run(load)
    assert code == 1 and "broken rule: ran_twice" in text and "wk-1/0#1 starts on m-000001" in text


async def submit_until_done(cluster: LoopbackCluster, done: int) -> None:
    """Submit jobs, at most six unfinished at a time, until ``done`` jobs are done in total."""
    while sum(state == "done" for state in cluster.oracle.reported_state.values()) < done:
        finished = sum(state in ("done", "aborted") for state in cluster.oracle.reported_state.values())
        if len(cluster.jobs) - finished < 6:
            cluster.submit()
        await anyio.sleep(0.1)


async def run_with_failures() -> None:
    cluster, other, operator_settings = (
        LoopbackCluster(1, 3, speed=10),
        LoopbackCluster(2, 1, speed=10),
        OperatorSettings(),
    )
    with anyio.fail_after(TIMEOUT_S):
        async with anyio.create_task_group() as group:
            await cluster.start(group, operator_settings)
            await other.start(group, operator_settings)
            await submit_until_done(cluster, 2)
            await submit_until_done(other, 1)  # the two clusters do not affect each other
            name = await cluster.kill_random_controller(operator_settings, timedelta(seconds=1))
            # The outage lasts longer than any lease.
            cluster.state.set_outage(True)
            await anyio.sleep(10)
            cluster.state.set_outage(False)
            await submit_until_done(cluster, 6)
            (controller,) = (controller for controller in cluster.controllers if controller.name == name)
            while not controller.alive:
                await anyio.sleep(0.1)
            assert controller.start_count == 2 and cluster.oracle.violations == [] and other.oracle.violations == []
            assert msgspec.json.encode(cluster.snapshot())
            group.cancel_scope.cancel()


def test_jobs_finish_despite_a_controller_kill_and_a_state_service_outage() -> None:
    anyio.run(run_with_failures, backend_options={"use_uvloop": True})


def test_port_in_use_is_reported_with_exit_code_2() -> None:
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = str(listener.getsockname()[1])
        args = ["lab", "up", "--for", "5", "--controllers", "1", "--json", "--port", port]
        result = CliRunner().invoke(main, args)
    assert result.exit_code == 2
    assert f"gladecroft: 127.0.0.1:{port} or 127.0.0.1:{int(port) + 1} is in use" in result.output


def test_overlapping_command_faults_of_one_machine_both_end() -> None:
    # If each fault restored the method that it had replaced, in the order of their starts, the first fault would stay
    # in effect permanently.
    scenario = Scenario(
        "set machine.idle=3600\nteam t cpus=8 max=8\ntype g16 cpus=16 memory=64\nup g16 count=1\n"
        "at 5 held busiest by=30 for=10\nat 6 deaf busiest direct=yes for=10\nrun 20",
        1,
    ).run()
    (worker,) = scenario.cloud.machines.values()
    statuses: list[int] = []
    worker.serve("n0", "GET", "/status", b"", lambda status, body: statuses.append(status))
    assert statuses == [200]


def test_open_watches_get_every_change_or_status_410_when_the_log_is_cut() -> None:
    # Guards against a simulated state service that skips changes: a controller that misses some may run a task twice.
    sim = Simulation(1)
    state = SimulatedStateService(sim, 100.0, 100.0)
    state.max_log_entries = 0
    state.rejected_controllers.add("n1")
    replies: dict[str, tuple[int, bytes]] = {}

    def open_watch(node: str) -> None:
        def keep_reply(status: int, body: bytes) -> None:
            replies[node] = (status, body)

        state.watch(node, 1, timedelta(seconds=10), keep_reply)

    open_watch("n0")
    open_watch("n1")
    commit = msgspec.json.encode({"if": [], "apply": [{"write": "k", "data": 5}]})
    state.serve("n0", "POST", "/commit", commit, lambda status, body: None)
    sim.run_until(timedelta(seconds=1))
    state.rejected_controllers.clear()
    sim.run_until(timedelta(seconds=11))
    assert replies["n0"][0] == 200 and b'"write":"k"' in replies["n0"][1]
    assert replies["n1"][0] == 410
