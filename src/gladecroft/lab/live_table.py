"""Shows snapshots of the loopback cluster: a live table (``rich``), or one line per snapshot without a terminal."""

from __future__ import annotations

from typing import Any

from rich import box
from rich.columns import Columns
from rich.console import Console, Group
from rich.live import Live
from rich.table import Table


class LiveTable:
    """Shows the latest snapshot."""

    def __init__(self) -> None:
        self._console = Console()
        self._live = Live(console=self._console, auto_refresh=False)
        if self._console.is_terminal:
            self._live.start()

    def show(self, snapshot: dict[str, Any]) -> None:
        """Replace the table, or print one line if stdout is not a terminal."""
        if self._console.is_terminal:
            self._live.update(_render(snapshot), refresh=True)
        else:
            jobs = ", ".join(f"{count} {state}" for state, count in snapshot["jobs"].items())
            roles = " ".join(f"{row['name']}={row['role']}" for row in snapshot["controllers"])
            tasks, machines = snapshot["tasks"]["running"], len(snapshot["machines"])
            print(f"{snapshot['at_s']:6.1f} s  jobs: {jobs}; {tasks} tasks on {machines} machines; {roles}", flush=True)

    def close(self) -> None:
        """Leave the last table on the screen and restore the terminal."""
        self._live.stop()


def _render(snapshot: dict[str, Any]) -> Group:
    jobs = _new_table("jobs", "state", "jobs")
    for state, count in snapshot["jobs"].items():
        jobs.add_row(state, str(count))
    machines = _new_table(f"machines ({snapshot['booting']} booting)", "name", "type", "zone", "spot", "tasks")
    for row in snapshot["machines"]:
        machines.add_row(row["name"], row["type"], row["zone"], "yes" if row["spot"] else "", str(row["tasks"]))
    controllers = _new_table("controllers", "name", "role", "epoch", "machines", "starts", "peer address")
    for row in snapshot["controllers"]:
        controllers.add_row(
            row["name"], row["role"], str(row["epoch"] or ""), str(row["machines"]), str(row["lives"]),
            row["peer_address"],
        )  # fmt: skip
    violations = len(snapshot["broken_rules"])
    summary = (
        f"{snapshot['at_s']:.0f} s   state service {snapshot['state_service']}   "
        f"{snapshot['tasks']['running']} tasks running   {snapshot['kills']} controllers killed   "
        f"{violations} broken rules"
    )
    return Group(summary, Columns([jobs, machines]), controllers, "Ctrl-C stops the cluster")


def _new_table(title: str, *columns: str) -> Table:
    table = Table(title=title, box=box.SIMPLE, title_justify="left")
    for column in columns:
        table.add_column(column)
    return table
