"""The lab's live table, by ``rich``; on what is no terminal a line a second."""

from __future__ import annotations

from typing import Any

from rich import box
from rich.columns import Columns
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table as Grid


class Table:
    def __init__(self) -> None:
        self._console = Console()
        self._live = Live(console=self._console, auto_refresh=False)
        if self._console.is_terminal:
            self._live.start()

    def show(self, snapshot: dict[str, Any]) -> None:
        if self._console.is_terminal:
            self._live.update(_drawn(snapshot), refresh=True)
        else:
            jobs = ", ".join(f"{count} {state}" for state, count in snapshot["jobs"].items())
            roles = " ".join(f"{each['name']}={each['role']}" for each in snapshot["controllers"])
            tasks, machines = snapshot["tasks"]["running"], len(snapshot["machines"])
            print(f"{snapshot['at_s']:6.1f} s  jobs: {jobs}; {tasks} tasks on {machines} machines; {roles}", flush=True)

    def close(self) -> None:
        self._live.stop()


def _drawn(snapshot: dict[str, Any]) -> Group:
    jobs = _grid("jobs", "state", "jobs")
    for state, count in snapshot["jobs"].items():
        jobs.add_row(state, str(count))
    machines = _grid(f"machines ({snapshot['booting']} booting)", "name", "type", "zone", "spot", "tasks")
    for each in snapshot["machines"]:
        machines.add_row(each["name"], each["type"], each["zone"], "yes" if each["spot"] else "", str(each["tasks"]))
    controllers = _grid("controllers", "name", "role", "epoch", "machines", "starts", "peer address")
    for each in snapshot["controllers"]:
        controllers.add_row(
            each["name"], each["role"], str(each["epoch"] or ""), str(each["machines"]), str(each["lives"]),
            each["peer_address"],
        )  # fmt: skip
    broken = len(snapshot["broken_rules"])
    line = (
        f"{snapshot['at_s']:.0f} s   state service {snapshot['state_service']}   "
        f"{snapshot['tasks']['running']} tasks run   {snapshot['kills']} controllers ended   {broken} rules broken"
    )
    return Group(line, Columns([jobs, machines]), controllers, "Ctrl-C ends the lab")


def _grid(title: str, *columns: str) -> Grid:
    grid = Grid(title=title, box=box.SIMPLE, title_justify="left")
    for column in columns:
        grid.add_column(column)
    return grid
