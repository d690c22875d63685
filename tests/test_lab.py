"""The lab: scenarios that can't be played say where, and real controllers on loopback are ended while work goes on."""

from __future__ import annotations

import socket
from datetime import timedelta
from pathlib import Path

import anyio
import msgspec
import pytest
from click.testing import CliRunner

from gladecroft.cli import main
from gladecroft.lab.loopback import Lab
from gladecroft.lab.oracle import Oracle
from gladecroft.lab.scenario import Scenario, ScenarioError
from gladecroft.protocol.settings import OperatorSettings

SMALL = "team t cpus=16 max=16\ntype g16 cpus=16 memory=64 boot=5\nup g16\n"
LIMIT = 90


@pytest.mark.parametrize(
    ("line", "says"),
    [
        ("at 1 sumbit wk-1 team=t", "unknown deed 'sumbit'"),
        ("at 1 submit wk-1 team=t cpu=4", "submit knows no 'cpu'"),
        ("at 1 late-writes share=0.2 for=5 at_once=true", "late-writes: at_once is yes or no, not 'true'"),
        ("at 1 cancel-at-end share=20 for=5", "cancel-at-end: share is a part from 0 to 1, not 20"),
        ("at 1 close-looks for=5 cancel=0.2", "close-looks knows no 'cancel'"),
        ("at 1 cancel-now hang=5", "no such 'count'"),
        ("at 1 submit wk-1 team=u", "no team 'u'"),
        ("at 1 crash n7 for=2", "no controller 'n7'"),
        ("at 1 die 9", "no machine '9' at that time"),
        ("at 1 cancel wk-9", "no job 'wk-9' at that time"),
        ("up g17", "no such 'g17'"),
        ("at 1 crash n0 for=soon", "could not convert string to float: 'soon'"),
        ("exepct wk-1 done", "unknown word 'exepct'"),
    ],
)
def test_a_scenario_that_can_not_be_played_names_the_line_and_the_word(line: str, says: str) -> None:
    with pytest.raises(ScenarioError) as error:
        Scenario(SMALL + line + "\nrun 5", 1).run()
    assert str(error.value).startswith(f"line 4: {line!r}: {says}")


def test_play_tells_good_from_bad_by_its_exit_code(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    def run(text: str, *more: str) -> tuple[int, str]:
        path = tmp_path / "x.txt"
        path.write_text(SMALL + text)
        result = CliRunner().invoke(main, ["lab", "play", str(path), *more])
        return result.exit_code, result.output

    load = "at 1 submit wk-1 team=t tasks=2 cpus=2 run=5\nrun 30\n"
    code, text = run(load + "expect wk-1 done")
    assert code == 0 and "seed 1: good, 2 starts" in text
    again = [run(load + "expect wk-1 done", "--seed", "7", "--json") for _ in range(2)]
    assert again[0] == again[1] and msgspec.json.decode(again[0][1])["seed"] == 7
    code, text = run(load + "expect wk-1 starts is 3")
    assert code == 1 and "not as expected: wk-1 starts is 3" in text
    assert run("at 1 fly n0\nrun 3")[0] == 2
    assert CliRunner().invoke(main, ["lab", "play", str(tmp_path / "none.txt")]).exit_code == 2
    # A broken rule is told together with what came before it.
    monkeypatch.setattr(Oracle, "completed", lambda oracle, key: oracle._break("ran_twice", "for the test"))
    code, text = run(load)
    assert code == 1 and "broken rule: ran_twice" in text and "wk-1/0#1 starts on m-000001" in text


async def until(lab: Lab, done: int) -> None:
    """Submit and wait until so many jobs in all are done."""
    while sum(state == "done" for state in lab.oracle.told.values()) < done:
        finished = sum(state in ("done", "aborted") for state in lab.oracle.told.values())
        if len(lab.jobs) - finished < 6:
            lab.submit()
        await anyio.sleep(0.1)


async def killed() -> None:
    lab, other, operator_settings = Lab(1, 3, speed=10), Lab(2, 1, speed=10), OperatorSettings()
    with anyio.fail_after(LIMIT):
        async with anyio.create_task_group() as group:
            await lab.start(group, operator_settings)
            await other.start(group, operator_settings)
            await until(lab, 2)
            await until(other, 1)  # two labs at once do not meet
            name = await lab.kill_one(operator_settings, timedelta(seconds=1))
            # The state service goes for longer than any lease; what runs meanwhile is the controllers' own affair.
            lab.state.set_outage(True)
            await anyio.sleep(10)
            lab.state.set_outage(False)
            await until(lab, 6)
            (door,) = (door for door in lab.doors if door.name == name)
            while not door.alive:
                await anyio.sleep(0.1)
            assert door.lives == 2 and lab.oracle.broken == [] and other.oracle.broken == []
            assert msgspec.json.encode(lab.snapshot())
            group.cancel_scope.cancel()


def test_jobs_finish_while_a_controller_is_ended_and_the_state_service_is_away() -> None:
    anyio.run(killed, backend_options={"use_uvloop": True})


def test_a_port_in_use_is_said_in_one_line() -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        port = str(taken.getsockname()[1])
        args = ["lab", "up", "--for", "5", "--controllers", "1", "--json", "--port", port]
        result = CliRunner().invoke(main, args)
    assert result.exit_code == 2
    assert f"gladecroft: 127.0.0.1:{port} or 127.0.0.1:{int(port) + 1} is in use" in result.output


def test_troubles_of_one_machine_that_overlap_are_over_when_both_are() -> None:
    # Put back in the order in which they began, the second left the first in force for good.
    scenario = Scenario(
        "set machine.idle=3600\nteam t cpus=8 max=8\ntype g16 cpus=16 memory=64\nup g16 count=1\n"
        "at 5 held busiest by=30 for=10\nat 6 deaf busiest direct=yes for=10\nrun 20",
        1,
    ).run()
    (worker,) = scenario.cloud.machines.values()
    answers: list[int] = []
    worker.direct("n0", "GET", "/status", b"", lambda status, body: answers.append(status))
    assert answers == [200]
